//! The I/O around the decisions: sockets, clock, timers, HTTP and gossip. All decisions are made by the crates without
//! I/O.

pub mod admission_gate;
mod body;
pub mod client_connection;
pub mod clock;
mod descriptors;
pub mod discovery;
pub mod driver;
pub mod memory_budget;
pub mod peers;
pub mod rules;
pub mod server;
pub mod socket;
pub mod upstream;

pub use descriptors::{Descriptor, Descriptors};
pub use memory_budget::{MemoryBudget, Reservation};
