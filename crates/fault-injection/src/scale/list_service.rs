//! The list service as a process of its own, so that what it spends can be measured.

use crate::start::service::Service;
use std::net::SocketAddr;
use std::path::Path;

/// Questions a second that it bears.
const CAPACITY: f64 = 5_000.0;

/// Lists the addresses of a file, one a line, until the process ends. Where it listens is written to standard error.
///
/// # Errors
/// If the file can't be read, or no port can be had.
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
