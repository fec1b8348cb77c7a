//! Hedged requests.

use super::*;

/// Usual answer times that must be left before the aim for a second copy, and for a protected call to wait.
pub(super) const LATENCY_MARGIN: f64 = 2.0;

impl Balancer {
    /// A second copy for a call that is late on a server that may have stalled.
    pub(super) fn hedge(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let more = call.may_have_another_attempt() && call.attempts_in_flight() == 1;
        let spare = self.retry_tokens >= 1.0 && self.wait_queue.is_empty() && !call.streaming;
        if !more || !spare {
            return;
        }
        match self.route(now, id) {
            Route::Send {
                endpoint,
                trial: false,
            } => self.send(now, id, endpoint, false, actions),
            _ => return,
        }
        self.retry_tokens -= 1.0;
    }
}
