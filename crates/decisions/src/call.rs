//! The state of calls and their attempts.

use crate::api::{CallPolicy, CellId, Class, EndpointId, Micros, ZoneId};
use crate::endpoint::Endpoint;

/// Whether an attempt was executed, as far as its outcome proves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// Proved not to have been executed; a retry is harmless.
    NotExecuted,
    /// The attempt may have been executed.
    MaybeExecuted,
}

/// One attempt to execute a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
    /// Whether the attempt may exceed its endpoint's concurrency limit, or is the trial of an
    /// ejected endpoint.
    pub(crate) is_trial: bool,
    /// The endpoint's projected load at the time of sending, from a recent probe; 0 if there was
    /// none.
    pub(crate) load_at_send: f64,
    pub(crate) execution: Execution,
}

/// A call, from its arrival until it has ended and no attempt is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) policy: CallPolicy,
    pub(crate) arrived_at: Micros,
    /// Estimated time of the client's first try.
    pub(crate) first_tried_at: Micros,
    pub(crate) deadline: Micros,
    /// Whether the exit of the process makes the deadline earlier than that of the client.
    pub(crate) ends_at_exit: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the call may still draw an endpoint in slow start.
    pub(crate) may_draw_slow_start: bool,
    /// A random number, 0 to 1, that decides the call's admission. A group of endpoints admits the
    /// call if its admitted share is at least this number, and the call is shed if the shed
    /// probability is above it.
    pub(crate) admission_draw: f64,
    /// Endpoints probed for this call; it goes to one of them.
    pub(crate) probed_endpoints: Vec<EndpointId>,
    /// Time at which these probes were sent.
    pub(crate) probes_sent_at: Micros,
    /// Time from which the call may probe again.
    pub(crate) next_probe_at: Micros,
    /// Number of probe rounds that found all endpoints full.
    pub(crate) full_probe_rounds: u32,
    /// Whether the call is in the wait queue.
    pub(crate) queued: bool,
    /// Whether the call waits for the backoff before its next attempt.
    pub(crate) backing_off: bool,
    /// Whether the response has started streaming.
    pub(crate) streaming: bool,
    /// Whether the call has ended for its client.
    pub(crate) ended: bool,
}

impl Call {
    /// The number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.execution == Execution::InFlight)
            .count()
    }

    /// The first attempt that may have been executed. It determines the dedup scope and window of a
    /// keyed call.
    pub(crate) fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| a.execution != Execution::NotExecuted)
    }

    /// Time until which an answer counts for the score.
    pub(crate) fn objective_deadline(&self) -> Micros {
        let objective = if self.class.late_value > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline
            .min(self.first_tried_at.saturating_add(objective))
    }

    /// Whether none of the call's attempts went to this endpoint.
    pub(crate) fn has_not_tried(&self, endpoint: &Endpoint) -> bool {
        self.attempts.iter().all(|a| a.endpoint != endpoint.id)
    }
}
