//! Schema, parser and validation of the operator's file (TOML). A file is validated completely before the proxy starts.
//! The crate opens no sockets and reads no clock; the file is its only input.
//!
//! [`parse`] reports all mistakes at once, each with its line, column and key, what was found and what is allowed.
//!
//! ```
//! let text = "listen = 'nowhere'\n[limit]\n";
//! let mistakes = badgerramp_config::parse("my.toml", text).expect_err("the file has mistakes");
//! assert!(mistakes.iter().any(|m| m.key == "limit" && m.allowed.contains("limits")));
//! assert!(mistakes.to_string().contains("my.toml:1:10"));
//! ```
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod dedup_scope;
mod default_keys;
mod expressions;
mod file;
mod log;
mod peers;
mod platform;
mod policy;
mod response_rules;
mod subset;
mod timing;
mod upstream;
mod values;

pub use dedup_scope::MissingDedupScope;
pub use timing::TimingValue;

pub use badgerramp_toml_diagnostics::{Diagnostic, Diagnostics};
pub use file::{Class, Config, Deployment, Limits, NoRoute};
pub use log::{Format, Level, Log};
pub use peers::PeersSettings;
pub use platform::narrow;
pub use policy::PolicySettings;
pub use subset::{ListSettings, SubsetSettings};
pub use upstream::{read_upstream, Endpoint, Upstream};

use file::UnsafeSettings;
use std::path::Path;

/// Time reserved for sending the final response to the client, in microseconds. A call may last at most as long as its
/// client waits, less this time.
pub const RESPONSE_RESERVE: badgerramp_decisions::Micros = 2_000;
/// File descriptors that are used neither for clients nor for endpoints: standard streams, the async runtime, the
/// listener and discovery.
pub const RESERVED_DESCRIPTORS: usize = 48;

/// The number of client connections that fit into this number of file descriptors. The larger part is left for
/// connections to endpoints.
pub fn max_client_connections(descriptors: usize) -> usize {
    let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(8);
    (descriptors * 3 / 10).min(available / 2)
}

/// Idle connections that all proxies together may keep to one endpoint.
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT: usize = 60;
/// Smallest and largest number of idle connections that one proxy keeps to an endpoint.
const IDLE_CONNECTIONS_PER_PROXY: (usize, usize) = (4, 16);

/// The maximum number of idle connections that each of `proxies` proxies keeps to an endpoint. Connections in use are
/// not counted.
pub fn max_idle_connections(proxies: u32) -> usize {
    (MAX_IDLE_CONNECTIONS_PER_ENDPOINT / proxies.max(1) as usize)
        .clamp(IDLE_CONNECTIONS_PER_PROXY.0, IDLE_CONNECTIONS_PER_PROXY.1)
}

/// Parses and validates the text of a file. Diagnostics refer to the file as `name`.
///
/// # Errors
/// Returns all mistakes in the file.
pub fn parse(name: &str, text: &str) -> Result<Config, Diagnostics> {
    file::parse(name, text, UnsafeSettings::Refuse)
}

/// Parses the text of a file that was accepted before, maybe by an earlier release, and is in force since. Proofs and keys
/// of requests that would let calls be sent again are left out, with a warning each, where [`parse`] refuses the file: a
/// fleet could not be upgraded if it could not be read.
///
/// # Errors
/// Returns all other mistakes in the file.
pub fn parse_stored(name: &str, text: &str) -> Result<Config, Diagnostics> {
    file::parse(name, text, UnsafeSettings::LeaveOut)
}

/// Reads, parses and validates a file.
///
/// # Errors
/// Returns all mistakes in the file, or a diagnostic that says why it can't be read.
pub fn load(path: &Path) -> Result<Config, Diagnostics> {
    let name = path.display().to_string();
    match std::fs::read(path) {
        Ok(bytes) => match String::from_utf8(bytes) {
            Ok(text) => parse(&name, &text),
            Err(error) => Err(Diagnostics::unreadable(
                &name,
                &format!("it is not UTF-8: {error}"),
            )),
        },
        Err(error) => Err(Diagnostics::unreadable(&name, &error.to_string())),
    }
}
