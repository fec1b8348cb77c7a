//! The interface of the balancer: settings, events and actions. Times are whole microseconds.

mod action;
mod call_class;
mod endpoint_list;
mod event;
mod ids;
mod settings;

pub use action::*;
pub use call_class::*;
pub use endpoint_list::*;
pub use event::*;
pub use ids::*;
pub use settings::*;
