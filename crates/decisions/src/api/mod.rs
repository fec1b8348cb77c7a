//! The public interface of the balancer: settings, events and actions. All times are integers in
//! microseconds.

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
