//! Attempts at endpoints and the connections they go over.
//!
//! A connection is driven by the attempt that uses it and has no task of its own, so that dropping the attempt closes
//! the connection. This module owns the connections. It neither picks endpoints nor retries: no request is sent twice.
//!
//! - `attempt`: one attempt, from checking out a connection to classifying the response.
//! - `pool`: idle connections, and opening new ones.
//! - `connection`: one exchange, and whether a connection can be used again.
//! - `trailing_data`: data that follows a response on its connection.
//! - `idle_failures`: estimates how long idle connections stay usable, from the failures of reused connections.
//! - `write_tracking`: tracks whether a request was written completely.
//! - `body`, `headers`, `load_report`: handling of the parts of a message.
//! - `exchange`: the types of the interface to the driver.

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
mod trailing_data;
mod write_tracking;

pub use attempt::attempt;
pub use exchange::{
    AttemptOptions, AttemptResult, AttemptTarget, Client, Request, UpstreamResponse,
};
pub use headers::{strip_hop_by_hop, strip_hop_by_hop_and_listed};
pub use pool::{ConnectionPool, IdleLimits};
