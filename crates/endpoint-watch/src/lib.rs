//! The long-poll watch on the endpoint list: when the list is polled, when a response is overdue, and which response is
//! accepted.
//!
//! The list service's protocol has deadlines: a proxy counts as notified of a draining endpoint some time after the
//! change, whether or not its watch has received it. This crate ensures that a proxy that counts as notified has
//! received the change in time to act on it:
//!
//! - [`Timeouts`] derives from the protocol's deadlines how long a poll may wait at the source.
//! - [`Watch`] is the state machine. It sends one poll at a time, and a second one over a new connection when the
//!   response is overdue. It accepts at most one of the two responses.
//! - [`PollSchedule`] spreads the polls of a large fleet of proxies that share one list service.
//! - [`StallDetector`] detects that the process was stopped, so that it reads pending responses before it sends
//!   requests.
//!
//! The crate owns the state of one watch. It never does I/O, reads no clock and does not keep the list itself: the
//! caller passes each input with the current time, and carries out the outputs.
//!
//! ```
//! use badgerramp_endpoint_watch::{Input, Output, Source, TimeoutConfig, Timeouts, Watch};
//!
//! let timeouts = Timeouts::derive(TimeoutConfig {
//!     source: Source::Service,
//!     drain_grace: 1_000_000,
//!     wait: None,
//! });
//! let (current_index, seed) = (Some(41), 7);
//! let mut watch = Watch::new(timeouts, current_index, None, seed);
//! let mut outputs = Vec::new();
//! watch.handle(0, Input::Start, false, &mut outputs);
//! let Some(Output::Send { poll, index: Some(41), .. }) = outputs.pop() else {
//!     panic!("the watch starts with a poll for changes after the current index");
//! };
//!
//! // The response arrives 0.7 s later: it is accepted, and the watch continues with the next poll.
//! let response = Input::Response { poll, index: 42, complete: false };
//! watch.handle(700_000, response, false, &mut outputs);
//! assert_eq!(outputs[0], Output::Accept);
//! assert!(matches!(outputs[1], Output::Send { index: Some(42), .. }));
//! ```
#![forbid(unsafe_code)]

mod backoff;
mod event;
mod pacing;
mod poll_schedule;
mod stall_detector;
mod timeouts;
mod watch;

pub use backoff::BackoffBounds;
pub use event::{Input, Output, PollId, ProtocolViolation};
pub use poll_schedule::{PollConfig, PollSchedule};
pub use stall_detector::StallDetector;
pub use timeouts::{
    Source, TimeoutConfig, Timeouts, CONNECT_TIMEOUT, FETCH_TIMEOUT, NOTIFIED_AFTER_SILENCE,
    NOTIFIED_AFTER_WAIT, SERVICE_RESPONSE_TIMEOUT,
};
pub use watch::Watch;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
