//! Load probes: a call probes the load of a few endpoints and goes to the least loaded of those
//! that reply in time (Prequal: Wydrowski et al., "Load is not what you should balance", NSDI
//! 2024). Balancers that have fewer calls in flight than there are endpoints use probes, because
//! their own counts of calls say little about an endpoint's load.

use super::concurrency_limit::{INITIAL_CONCURRENCY, MAX_BACKOFF_DOUBLINGS};
use super::{Actions, Balancer, SMOOTHING};
use crate::api::{Action, CallId, EndpointId, LoadReport, Micros, Outcome, ReportMode};
use crate::call::Call;
use crate::endpoint_index::{AllowedEndpoints, CandidateSet};

/// Upper bound of the score cost of one call's probes.
const PROBE_COST_LIMIT: f64 = 0.02;
/// Maximum number of endpoints probed in one round.
pub(super) const MAX_PROBES: usize = 4;
/// Probe timeout as a share of the call's latency objective.
const PROBE_TIMEOUT_SHARE: f64 = 0.05;
/// An endpoint counts as full if its load makes a call take longer than this share of the latency
/// objective.
const LOAD_LIMIT_SHARE: f64 = 0.3;

/// Exponentially decaying sums of the latencies of attempts at probed endpoints and of the loads
/// reported by those endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbedAnswers {
    latency: f64,
    load: f64,
}

impl ProbedAnswers {
    /// Adds an answer; roughly the last twenty count.
    pub(super) fn record(&mut self, latency: f64, load: f64) {
        let decay = 1.0 - SMOOTHING / 2.0;
        self.latency = self.latency * decay + latency;
        self.load = self.load * decay + load;
    }
}

impl Balancer {
    /// The endpoints to probe before this call is sent. `None` means that the call is sent without
    /// probes, and an empty list that it waits until it may probe again.
    pub(super) fn endpoints_to_probe(
        &mut self,
        now: Micros,
        id: CallId,
        with_capacity: &[usize],
    ) -> Option<Vec<usize>> {
        let call = &self.calls[&id];
        let affordable =
            (PROBE_COST_LIMIT / self.settings.costs.probe.max(f64::MIN_POSITIVE)) as usize;
        if !self.may_probe() || affordable < 2 || !self.probes_in_time(now, call) {
            // A call whose probes found all endpoints full is never sent without probes.
            return (call.full_probe_rounds > 0).then(Vec::new);
        }
        // All calls probe once the load reaches half of the capacity. An idle fleet needs fewer
        // probes, but some calls always probe in order to notice rising load.
        let probe_share = (self.probe_pressure * 2.0).powi(2).max(SMOOTHING);
        if call.full_probe_rounds == 0 && call.admission_draw > probe_share {
            return None;
        }
        let count = if call.next_probe_at > now {
            0
        } else {
            affordable.min(MAX_PROBES)
        };
        Some(self.draw(with_capacity, count))
    }

    /// Whether endpoints report their load in probe replies and this balancer needs probes.
    fn may_probe(&self) -> bool {
        let reporting = self.settings.load_reporting;
        self.settings.limits.probes
            && reporting.mode == ReportMode::OnProbe
            && reporting.includes_in_flight
            && self.is_sparse()
    }

    /// Whether an answer can still be expected within the objective after one round of probes.
    fn probes_in_time(&self, now: Micros, call: &Call) -> bool {
        let expected = self.expected_latency(call.class_id, call.class.latency_objective);
        (now + self.probe_timeout(call)) as f64 + expected < call.objective_deadline() as f64
    }

    /// Whether there are so many balancers that an even share of an endpoint's initial concurrency
    /// is less than one call. The balancer's own calls in flight then say little about an
    /// endpoint's load.
    pub(super) fn is_sparse(&self) -> bool {
        let balancers = f64::from(self.settings.balancers);
        balancers > INITIAL_CONCURRENCY && balancers > self.endpoints.listed_count() as f64
    }

    /// The time that a call waits for the replies to its probes.
    pub(super) fn probe_timeout(&self, call: &Call) -> Micros {
        ((call.class.latency_objective as f64 * PROBE_TIMEOUT_SHARE) as Micros)
            .max(self.settings.tick)
    }

    /// Sends probes to these endpoints; the call waits for the replies.
    pub(super) fn start_probing(
        &mut self,
        now: Micros,
        id: CallId,
        slots: &[usize],
        actions: &mut Actions,
    ) {
        let timeout_at = now + self.probe_timeout(&self.calls[&id]);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.probed_endpoints = slots.iter().map(|&slot| self.endpoints[slot].id).collect();
        call.probes_sent_at = now;
        let probes = call.probed_endpoints.iter();
        actions.extend(probes.map(|&endpoint| Action::Probe { endpoint }));
        self.probing_calls.push(id);
        self.timers.set(id, Some(timeout_at));
    }

    /// Records the result of a probe. An endpoint that does not reply counts as the most loaded.
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
        let reported = load
            .in_flight
            .filter(|in_flight| outcome == Outcome::Served && in_flight.is_finite());
        let endpoint = &mut self.endpoints[slot];
        endpoint.reported_in_flight = reported.map_or(f64::MAX, |in_flight| in_flight.max(0.0));
        endpoint.probed_at = now;
        for call_id in std::mem::take(&mut self.probing_calls) {
            match self.calls.get(&call_id) {
                Some(call) if call.probed_endpoints.is_empty() => {}
                Some(call) if self.awaits_probe(call) => self.probing_calls.push(call_id),
                Some(_) => self.finish_probing(now, call_id, actions),
                None => {}
            }
        }
    }

    /// Whether a probe of this call is still unanswered.
    fn awaits_probe(&self, call: &Call) -> bool {
        call.probed_endpoints.iter().any(|&id| {
            let slot = self.endpoints.slot(id);
            slot.is_some_and(|slot| self.endpoints[slot].probed_at < call.probes_sent_at)
        })
    }

    /// Called when all probe replies are in or the probe timeout has expired: sends the call to the
    /// least loaded probed endpoint with capacity.
    pub(super) fn finish_probing(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let probed = std::mem::take(&mut call.probed_endpoints);
        let probes_sent_at = call.probes_sent_at;
        let load_limit = self.load_limit(id);
        let allowed = self.allowed_endpoints(now, id);
        // An endpoint that has restarted meanwhile is in slow start and only gets the calls that
        // draw it at random.
        let slow_start_only =
            self.endpoints.count(CandidateSet::SlowStart) == self.endpoints.listed_count();
        let mut candidates = Vec::new();
        for endpoint in probed {
            let Some(slot) = self.endpoints.slot(endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[slot];
            if endpoint.probed_at < probes_sent_at {
                endpoint.reported_in_flight = f64::MAX;
                endpoint.probed_at = now;
            }
            let has_capacity = self.record_probed_load(now, slot, load_limit);
            let is_allowed = |allowed: &AllowedEndpoints| allowed.contains(slot);
            if has_capacity
                && self.is_candidate_after_probe(now, slot, slow_start_only)
                && allowed.as_ref().is_some_and(is_allowed)
            {
                candidates.push(slot);
            }
        }
        match self.least_loaded(now, &candidates) {
            Some(slot) => self.send(now, id, slot, false, actions),
            None if self.calls[&id].attempts_in_flight() > 0 => {}
            None => self.wait_for_next_probes(now, id),
        }
    }

    /// Updates the probe pressure with a probed endpoint's load. Returns whether the endpoint has
    /// capacity. The reported calls of all balancers count against the limit, otherwise every
    /// balancer would add one call of its own.
    fn record_probed_load(&mut self, now: Micros, slot: usize, load_limit: f64) -> bool {
        let rules = self.settings.rules;
        let endpoint = &self.endpoints[slot];
        let load = endpoint.projected_load(now, &rules);
        let in_flight = endpoint.reported_in_flight;
        let occupied = in_flight / (in_flight + 1.0);
        self.probe_pressure +=
            ((occupied * load / load_limit).min(1.0) - self.probe_pressure) * SMOOTHING;
        !endpoint.at_limit(now, &rules) && (load <= load_limit || in_flight < 1.0)
    }

    fn is_candidate_after_probe(&self, now: Micros, slot: usize, slow_start_only: bool) -> bool {
        let endpoint = &self.endpoints[slot];
        let is_warm = endpoint.slow_start_capacity(now, &self.settings.rules) >= 1.0;
        (slow_start_only || is_warm) && endpoint.is_usable(now)
    }

    /// Returns the call to the front of the queue because all probed endpoints were full. The wait
    /// doubles with each such round.
    fn wait_for_next_probes(&mut self, now: Micros, id: CallId) {
        let wait = self.probe_timeout(&self.calls[&id]);
        if let Some(call) = self.calls.get_mut(&id) {
            call.next_probe_at = now + (wait << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS));
            call.full_probe_rounds += 1;
        }
        self.requeue(now, id);
    }

    /// The load, in calls per unit of endpoint size, at which this call would take too long. It is
    /// learned from the answers of all endpoints together, starting from the assumption that
    /// endpoints at their initial concurrency just meet the target.
    fn load_limit(&self, id: CallId) -> f64 {
        let initial_load = INITIAL_CONCURRENCY * self.endpoints.listed_count() as f64
            / self.endpoints.total_size().max(f64::MIN_POSITIVE);
        let target = self.calls[&id].class.latency_objective as f64 * LOAD_LIMIT_SHARE;
        let latency = self.probed_answers.latency + target / SMOOTHING;
        let load = self.probed_answers.load + initial_load / SMOOTHING;
        target * load / latency.max(1.0)
    }
}
