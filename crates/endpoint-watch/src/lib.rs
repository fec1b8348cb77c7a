//! When the list of hosts is asked for, when silence is doubted, and which answer holds. No I/O and no clock: the time
//! comes with each input.
//!
//! A drain counts as told to a proxy whether or not it hears of it. [`Timeouts`] derives from the protocol's clocks how
//! long a watch may wait so that a proxy that is told has heard; [`Watch`] asks by it, bears the silence of a watch, and
//! takes an answer at most once.
#![forbid(unsafe_code)]

mod backoff;
mod event;
mod poll_schedule;
mod stall_detector;
mod timeouts;
mod watch;

pub use event::{Input, Output, PollId, ProtocolViolation};
pub use poll_schedule::{PollConfig, PollSchedule};
pub use stall_detector::StallDetector;
pub use timeouts::{
    Source, TimeoutConfig, Timeouts, CONNECT_TIMEOUT, FETCH_TIMEOUT, NOTIFIED_AFTER_SILENCE,
    NOTIFIED_AFTER_WAIT, SERVICE_RESPONSE_TIMEOUT,
};
pub use watch::Watch;

/// Microseconds.
pub type Micros = u64;
