//! Calls and their attempts.

use crate::api::*;
use crate::endpoint::Endpoint;

/// What an attempt may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
    pub(crate) is_trial: bool,
    /// What its server held for its size, where it had told.
    pub(crate) load_at_send: f64,
    pub(crate) execution: Execution,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) policy: CallPolicy,
    pub(crate) arrived_at: Micros,
    /// When its client first asked, as far as can be told.
    pub(crate) first_tried_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// It may still draw a cold server.
    pub(crate) may_draw_slow_start: bool,
    /// From 0 to 1: it goes to groups of at least this share.
    pub(crate) admission_draw: f64,
    /// Servers asked for their load, and since when; the call goes to one of them.
    pub(crate) probed_endpoints: Vec<EndpointId>,
    pub(crate) probes_sent_at: Micros,
    /// It asks again from then on, and how often it has found all full.
    pub(crate) next_probe_at: Micros,
    pub(crate) full_probe_rounds: u32,
    pub(crate) queued: bool,
    /// It pauses between two attempts.
    pub(crate) backing_off: bool,
    pub(crate) streaming: bool,
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

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| a.execution != Execution::NotExecuted)
    }

    /// Until when an answer earns something.
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
