//! Attempts at endpoints and the connections they go over. A connection is driven by the attempt that uses it:
//! there is no task behind it, so dropping the attempt closes it, and nothing is ever sent twice.

mod attempt;
mod body;
mod connection;
mod exchange;
mod headers;
mod idle_failures;
mod load_report;
mod pool;
#[cfg(test)]
mod tests;
mod write_tracking;

pub use attempt::attempt;
pub use exchange::{
    AttemptOptions, AttemptResult, AttemptTarget, Client, Request, UpstreamResponse,
};
pub use headers::strip_hop_by_hop;
pub use pool::{ConnectionPool, IdleLimits};
