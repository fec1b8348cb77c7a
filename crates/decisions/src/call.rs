//! Calls and their attempts.

use crate::api::{CallPolicy, CellId, Class, EndpointId, Micros, ZoneId};
use crate::endpoint::Endpoint;

/// Whether an attempt was executed, as far as its end proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// It has not ended.
    InFlight,
    /// Proved not to have run: a repeat is harmless.
    NotExecuted,
    /// It may have run.
    MaybeExecuted,
}

/// One sending of a call to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
    /// It may pass its endpoint's limit, or tries an ejected one.
    pub(crate) is_trial: bool,
    /// Load that a fresh probe had shown of its endpoint; 0: none had.
    pub(crate) load_at_send: f64,
    pub(crate) execution: Execution,
}

/// A call from its arrival until it has ended and no attempt is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) policy: CallPolicy,
    pub(crate) arrived_at: Micros,
    /// When its client first tried, as far as can be told.
    pub(crate) first_tried_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// It may still draw an endpoint in slow start.
    pub(crate) may_draw_slow_start: bool,
    /// A random number from 0 to 1 that decides its admission: it goes to groups of at least this
    /// admitted share, and is shed below the shed probability.
    pub(crate) admission_draw: f64,
    /// Endpoints probed for their load; the call goes to one of them.
    pub(crate) probed_endpoints: Vec<EndpointId>,
    /// When these probes went out.
    pub(crate) probes_sent_at: Micros,
    /// It probes again from then on.
    pub(crate) next_probe_at: Micros,
    /// Rounds of probes that found all endpoints full.
    pub(crate) full_probe_rounds: u32,
    /// It is in the wait queue.
    pub(crate) queued: bool,
    /// It waits out the backoff before its next attempt.
    pub(crate) backing_off: bool,
    /// Its answer has begun to flow.
    pub(crate) streaming: bool,
    /// Nothing more is owed to its client.
    pub(crate) ended: bool,
}

impl Call {
    /// Attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.execution == Execution::InFlight)
            .count()
    }

    /// The first attempt that may have run: a keyed call is bound to the endpoints and the window
    /// of that one.
    pub(crate) fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| a.execution != Execution::NotExecuted)
    }

    /// Until when an answer counts for the score.
    pub(crate) fn objective_deadline(&self) -> Micros {
        let objective = if self.class.late_value > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline
            .min(self.first_tried_at.saturating_add(objective))
    }

    /// Has none of its attempts gone there?
    pub(crate) fn has_not_tried(&self, endpoint: &Endpoint) -> bool {
        self.attempts.iter().all(|a| a.endpoint != endpoint.id)
    }
}
