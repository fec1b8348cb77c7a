//! Attempts of a call.

use super::*;

impl Balancer {
    pub(super) fn finish(&mut self, id: CallId) {
        self.timers.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.ended = true;
        call.probed_endpoints.clear();
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.wait_queue.iter().position(|&held| held == id) {
                self.wait_queue.remove(index);
            }
        }
    }

    pub(super) fn cancel_attempts(&mut self, id: CallId, but: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else {
            return;
        };
        let out = (0..)
            .zip(&call.attempts)
            .filter(|(n, a)| a.execution == Execution::InFlight && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    pub(super) fn remove_if_finished(&mut self, id: CallId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|c| c.ended && c.attempts_in_flight() == 0)
        {
            self.calls.remove(&id);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: CallId,
        slot: usize,
        trial: bool,
        actions: &mut Actions,
    ) {
        let fresh_for = self.probe_timeout(&self.calls[&id]);
        let endpoint = &mut self.endpoints[slot];
        let fresh = endpoint.probed_at != 0
            && endpoint.reported_in_flight < f64::MAX
            && endpoint.probed_at + fresh_for > now;
        let load = if fresh {
            endpoint.projected_load(now, &self.settings.rules)
        } else {
            0.0
        };
        endpoint.in_flight += 1;
        endpoint.reported_in_flight += 1.0;
        endpoint.limit.trial_in_flight |= trial;
        self.update_state(now, slot);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let &Endpoint {
            id: endpoint,
            zone,
            cell,
            ..
        } = &self.endpoints[slot];
        let effect = Execution::InFlight;
        let start_by = match (call.first_maybe_executed(), call.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => {
                Some(first.sent_at.saturating_add(window))
            }
            _ => None,
        };
        call.attempts.push(Attempt {
            endpoint,
            zone,
            cell,
            sent_at: now,
            is_trial: trial,
            load_at_send: load,
            execution: effect,
        });
        let (attempt_count, class_id, policy) = (call.attempts.len(), call.class_id, call.policy);
        // An answer after the aim is worth little: its server is better used by others.
        let (objective, arrived) = (call.objective_deadline(), call.arrived_at);
        let (deadline, expected) = (
            call.deadline,
            self.expected_latency(class_id, self.calls[&id].class.latency_objective),
        );
        let until =
            (objective < deadline && objective as f64 > now as f64 + expected).then_some(objective);
        let most = Some(now.saturating_add(policy.attempt_timeout)).filter(|&at| at < deadline);
        let until = until.into_iter().chain(most).min();
        actions.push(Action::Send {
            call: id,
            endpoint,
            attempt_deadline: until,
            start_by,
        });
        // A second copy as late as can be in time, but not before the first is slow.
        let copy_at =
            (objective as f64 - LATENCY_MARGIN * expected).max(arrived as f64 + 1.5 * expected);
        let auto = (!self.is_sparse() && copy_at + expected <= objective as f64)
            .then_some(copy_at as Micros);
        let share = |share| {
            self.class_latencies
                .get(class_id)
                .and_then(|p| p.quantile(share))
        };
        let copy_at = match policy.hedge {
            Hedge::Never => None,
            Hedge::Auto => auto,
            Hedge::After(wait) => Some(now.saturating_add(wait)),
            Hedge::Quantile(part) => {
                share(part).map_or(auto, |wait| Some(now.saturating_add(wait as Micros)))
            }
        };
        let copy = copy_at.filter(|&at| attempt_count == 1 && at < deadline);
        self.timers.set(id, copy.map(|at| at.max(now + 1)));
    }
}
