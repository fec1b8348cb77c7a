//! Load probes.

use super::*;

/// Points of the result that asking servers for their load may cost, and the most servers asked for a call.
pub(super) const PROBE_COST_LIMIT: f64 = 0.02;
pub(super) const MAX_PROBES: usize = 4;
/// Share of its aim that a call waits for the answers.
pub(super) const PROBE_TIMEOUT_SHARE: f64 = 0.05;
/// Share of its aim that a call may be expected to take where it goes: more in hand there is a full budget.
pub(super) const LOAD_LIMIT_SHARE: f64 = 0.3;

impl Balancer {
    /// Servers to ask before this call goes: a balancer of little traffic knows nothing fresh of nearly all.
    pub(super) fn endpoints_to_probe(
        &mut self,
        now: Micros,
        id: CallId,
        room: &[usize],
    ) -> Option<Vec<usize>> {
        let (limits, reports) = (self.settings.limits, self.settings.load_reporting);
        let told =
            limits.probes && reports.mode == ReportMode::OnProbe && reports.includes_in_flight;
        let most = (PROBE_COST_LIMIT / self.settings.costs.probe.max(f64::MIN_POSITIVE)) as usize;
        let call = &self.calls[&id];
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        let in_time =
            (now + self.probe_timeout(call)) as f64 + expected < call.objective_deadline() as f64;
        if !told || !self.is_sparse() || most < 2 || !in_time {
            // What has found all full does not go blindly in the end.
            return (call.full_probe_rounds > 0).then(Vec::new);
        }
        // Half full, all calls ask. An idle fleet needs less; some ask all the same, to learn when that ends.
        if call.full_probe_rounds == 0
            && call.admission_draw > (self.probe_pressure * 2.0).powi(2).max(SMOOTHING)
        {
            return None;
        }
        Some(self.draw(
            room,
            if call.next_probe_at > now {
                0
            } else {
                most.min(MAX_PROBES)
            },
        ))
    }

    /// Is an even part of a server's calls under one? Then own calls in flight tell little.
    pub(super) fn is_sparse(&self) -> bool {
        let balancers = f64::from(self.settings.balancers);
        balancers > INITIAL_CONCURRENCY && balancers > self.endpoints.listed_count() as f64
    }

    pub(super) fn probe_timeout(&self, call: &Call) -> Micros {
        ((call.class.latency_objective as f64 * PROBE_TIMEOUT_SHARE) as Micros)
            .max(self.settings.tick)
    }

    pub(super) fn start_probing(
        &mut self,
        now: Micros,
        id: CallId,
        candidates: &[usize],
        actions: &mut Actions,
    ) {
        let wake = now + self.probe_timeout(&self.calls[&id]);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        (call.probed_endpoints, call.probes_sent_at) = (
            candidates.iter().map(|&i| self.endpoints[i].id).collect(),
            now,
        );
        actions.extend(
            call.probed_endpoints
                .iter()
                .map(|&endpoint| Action::Probe { endpoint }),
        );
        self.probing_calls.push(id);
        self.timers.set(id, Some(wake));
    }

    /// A server told its load, or did not answer: then it is taken for the most loaded.
    pub(super) fn on_probe_completed(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: Outcome,
        load: LoadReport,
        actions: &mut Actions,
    ) {
        let Some(slot) = self.endpoints.slot(id) else {
            return;
        };
        let told = load
            .in_flight
            .filter(|l| outcome == Outcome::Served && l.is_finite());
        let endpoint = &mut self.endpoints[slot];
        (endpoint.reported_in_flight, endpoint.probed_at) =
            (told.map_or(f64::MAX, |l| l.max(0.0)), now);
        for call in std::mem::take(&mut self.probing_calls) {
            let Some(c) = self
                .calls
                .get(&call)
                .filter(|c| !c.probed_endpoints.is_empty())
            else {
                continue;
            };
            let waits = |&id: &EndpointId| {
                self.endpoints
                    .slot(id)
                    .is_some_and(|p| self.endpoints[p].probed_at < c.probes_sent_at)
            };
            if c.probed_endpoints.iter().any(waits) {
                self.probing_calls.push(call);
            } else {
                self.finish_probing(now, call, actions);
            }
        }
    }

    /// The servers asked have told their load, or time is up: the call goes to the less loaded.
    pub(super) fn finish_probing(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (asked, since) = (
            std::mem::take(&mut call.probed_endpoints),
            call.probes_sent_at,
        );
        let (rules, most, allowed) = (
            self.settings.rules,
            self.load_limit(id),
            self.allowed_endpoints(now, id),
        );
        // One that has started anew meanwhile is cold: it gets lots, and no more.
        let cold_only =
            self.endpoints.count(CandidateSet::SlowStart) == self.endpoints.listed_count();
        let mut slots = Vec::new();
        for endpoint in asked {
            let Some(slot) = self.endpoints.slot(endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[slot];
            if endpoint.probed_at < since {
                (endpoint.reported_in_flight, endpoint.probed_at) = (f64::MAX, now);
            }
            let (endpoint, load) = (
                &self.endpoints[slot],
                self.endpoints[slot].projected_load(now, &rules),
            );
            let held = endpoint.reported_in_flight / (endpoint.reported_in_flight + 1.0);
            self.probe_pressure +=
                ((held * load / most).min(1.0) - self.probe_pressure) * SMOOTHING;
            // What all balancers hold there counts against the budget of all: else each adds its one call.
            let room = !endpoint.at_limit(now, &rules)
                && (load <= most || endpoint.reported_in_flight < 1.0);
            let warm = cold_only || endpoint.slow_start_capacity(now, &rules) >= 1.0;
            if warm
                && room
                && endpoint.is_usable(now)
                && allowed.as_ref().is_some_and(|d| d.contains(slot))
            {
                slots.push(slot);
            }
        }
        match self.least_loaded(now, &slots) {
            Some(endpoint) => self.send(now, id, endpoint, false, actions),
            None if self.calls[&id].attempts_in_flight() > 0 => {}
            None => {
                let wait = self.probe_timeout(&self.calls[&id]);
                if let Some(call) = self.calls.get_mut(&id) {
                    call.next_probe_at =
                        now + (wait << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS));
                    call.full_probe_rounds += 1;
                }
                self.enqueue(now, id, true);
            }
        }
    }

    /// Calls in hand for a server's size at which this call would take too long, learned from all servers'
    /// answers as one. It starts as if some had shown the start figure: all come before it is learned.
    pub(super) fn load_limit(&self, id: CallId) -> f64 {
        let start = INITIAL_CONCURRENCY * self.endpoints.listed_count() as f64
            / self.endpoints.total_size().max(f64::MIN_POSITIVE);
        let objective = self.calls[&id].class.latency_objective as f64 * LOAD_LIMIT_SHARE;
        let (time, load) = (
            self.answer_totals.0 + objective / SMOOTHING,
            self.answer_totals.1 + start / SMOOTHING,
        );
        objective * load / time.max(1.0)
    }
}
