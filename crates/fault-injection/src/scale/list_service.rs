//! The list service as a separate process, so that its resource usage can be measured.

use crate::start::service::Service;
use std::net::SocketAddr;
use std::path::Path;

/// Maximum rate of requests that the service handles, per second.
const CAPACITY: f64 = 5_000.0;

/// Serves a list of the addresses in a file, one per line, until the process ends. Writes its listen address to standard
/// error.
///
/// # Errors
/// If the file can't be read or parsed, or the service can't bind a port.
pub async fn serve(file: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let read = |line: &str| {
        line.parse::<SocketAddr>()
            .map_err(|e| format!("{line:?}: {e}"))
    };
    let addresses = text.lines().map(read).collect::<Result<Vec<_>, _>>()?;
    let listed = addresses
        .into_iter()
        .enumerate()
        .map(|(host, address)| (host, Some((address, false, 0))));
    let service = Service::start(listed.collect(), CAPACITY).await?;
    eprintln!("listening on {}", service.address);
    std::future::pending().await
}
