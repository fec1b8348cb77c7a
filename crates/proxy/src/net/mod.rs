//! The program round the decisions: sockets, clock and timers. It decides nothing.

pub mod admission_gate;
pub mod client_connection;
pub mod clock;
mod descriptors;
pub mod discovery;
pub mod driver;
mod memory_budget;
pub mod peers;
pub mod rules;
pub mod server;
pub mod socket;
pub mod upstream;

pub use descriptors::{Descriptor, Descriptors};
pub use memory_budget::{MemoryBudget, Reservation};
