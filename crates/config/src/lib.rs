//! The operator's file (TOML): its schema, its reading and its checks against the rules, all before anything starts.
//! Nothing here opens a socket or reads a clock; the only input is the file.
//!
//! [`parse`] tells all mistakes at once, each with line, column, key, what was found and what is allowed.
//!
//! ```
//! let text = "listen = 'nowhere'\n[limit]\n";
//! let mistakes = badgerramp_config::parse("my.toml", text).expect_err("it is not good");
//! assert!(mistakes.iter().any(|m| m.key == "limit" && m.allowed.contains("limits")));
//! assert!(mistakes.to_string().contains("my.toml:1:10"));
//! ```
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod expressions;
mod file;
mod log;
mod peers;
mod platform;
mod policy;
mod subset;
mod timing;
mod values;

pub use timing::Figure;

pub use badgerramp_toml_diagnostics::{Diagnostic, Diagnostics};
pub use file::{read_upstream, Class, Config, Endpoint, Limits, NoRoute, Upstream, Use};
pub use log::{Format, Level, Log};
pub use peers::PeersTerms;
pub use platform::narrow;
pub use policy::PolicyTerms;
pub use subset::{ListTerms, SubsetTerms};

use std::path::Path;

/// Time that is kept for the way of the final answer to the client: no call may take longer than its client waits, less
/// this. In microseconds.
pub const ANSWER_ROOM: badgerramp_decisions::Micros = 2_000;
/// Descriptors that are no client's and no host's: standard streams, the runtime's own, the listener, discovery.
pub const DESCRIPTORS_RESERVED: usize = 48;

/// How many clients' connections so many descriptors bear: the way to the hosts needs the larger part.
pub fn clients_borne(descriptors: usize) -> usize {
    let room = descriptors.saturating_sub(DESCRIPTORS_RESERVED).max(8);
    (descriptors * 3 / 10).min(room / 2)
}

/// Connections that all proxies may keep idle at an endpoint between them, and the bounds of a part.
const KEPT_OF_ALL: usize = 60;
const KEPT: (usize, usize) = (4, 16);

/// How many idle connections one of so many proxies keeps to an endpoint at the most; those in use come on top.
pub fn connections_kept(proxies: u32) -> usize {
    (KEPT_OF_ALL / proxies.max(1) as usize).clamp(KEPT.0, KEPT.1)
}

/// Reads and checks a file's text; `name` is what its mistakes call it.
///
/// # Errors
/// All that is wrong with it.
pub fn parse(name: &str, text: &str) -> Result<Config, Diagnostics> {
    file::parse(name, text)
}

/// Reads and checks a file.
///
/// # Errors
/// All that is wrong with it, or that it can't be read.
pub fn load(path: &Path) -> Result<Config, Diagnostics> {
    let name = path.display().to_string();
    match std::fs::read(path) {
        Ok(bytes) => match String::from_utf8(bytes) {
            Ok(text) => parse(&name, &text),
            Err(fault) => Err(Diagnostics::unreadable(
                &name,
                &format!("it is not UTF-8: {fault}"),
            )),
        },
        Err(fault) => Err(Diagnostics::unreadable(&name, &fault.to_string())),
    }
}
