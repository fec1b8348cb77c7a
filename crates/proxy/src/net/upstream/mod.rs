//! Attempts at endpoints and the connections they go over.
//!
//! A connection is driven by the attempt that uses it: there is no task behind it, so dropping the attempt closes it,
//! and nothing is ever sent twice. This module owns the connections; it neither picks an endpoint nor retries.
//!
//! - `attempt`: one attempt, from taking a connection to classifying the response.
//! - `pool`: idle connections, and opening new ones.
//! - `connection`: one exchange, and whether a connection can be used again.
//! - `idle_failures`: how long idle connections stay usable, learned from those that broke.
//! - `write_tracking`: whether a request was written to its last byte.
//! - `body`, `headers`, `load_report`: the parts of a message.
//! - `exchange`: the types that the driver passes in and gets back.

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
pub use headers::{strip_hop_by_hop, strip_hop_by_hop_and_listed};
pub use pool::{ConnectionPool, IdleLimits};
