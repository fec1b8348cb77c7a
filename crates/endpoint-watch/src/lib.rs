//! When the list of hosts is asked for, when silence is doubted, and which answer holds. No I/O and no clock: the time
//! comes with each input.
//!
//! A drain counts as told to a proxy whether or not it hears of it. [`Budget`] derives from the protocol's clocks how
//! long a watch may wait so that a proxy that is told has heard; [`Watch`] asks by it, bears the silence of a watch, and
//! takes an answer at most once.
#![forbid(unsafe_code)]

mod budget;
mod pause;
mod stall;
mod watch;

pub use budget::{
    Budget, Source, Terms, CONNECT, FETCH, SERVICE_ANSWERS, TOLD_AFTER_SILENCE, TOLD_AFTER_WAIT,
};
pub use stall::Stall;
pub use watch::{Input, Odd, Output, QuestionId, Watch};

/// Microseconds.
pub type Micros = u64;
