//! Endpoint selection: the less loaded of two random endpoints with capacity ("The power of two
//! choices", Mitzenmacher, 2001), drawn with probability proportional to size.

use super::concurrency_limit::MAX_BACKOFF_DOUBLINGS;
use super::load_probe::MAX_PROBES;
use super::Balancer;
use crate::api::{CallId, EndpointRules, Micros};
use crate::call::Call;
use crate::endpoint::Endpoint;
use crate::endpoint_index::{AllowedEndpoints, CandidateSet, Candidates};
use crate::latency::EndpointGroups;
use crate::load_feedback::shed_probability;
use rand::seq::SliceRandom;

/// Number of preferred endpoints of a balancer with few calls; enough for two rounds of probes.
const PREFERRED_ENDPOINTS: usize = 2 * MAX_PROBES;
/// Decay time of the weight of an endpoint's own latency ratio against that of its group, in
/// multiples of the longest latency objective.
const OWN_LATENCY_MEMORY: f64 = 8.0;

/// The routing decision for a call.
#[derive(Clone, Debug)]
pub(super) enum Route {
    /// Send the call to this endpoint. A trial may exceed its concurrency limit.
    Send { slot: usize, trial: bool },
    /// Probe these endpoints and send the call to the least loaded one.
    Probe { slots: Vec<usize> },
    /// Keep the call in the wait queue.
    Queue,
    /// Reject the call because every endpoint is ejected.
    Reject { retry_after: Micros },
    /// Reject the call because the endpoints are congested.
    Shed { retry_after: Micros },
}

/// The parameters of one endpoint selection.
#[derive(Debug)]
struct Selection {
    now: Micros,
    rules: EndpointRules,
    id: CallId,
    allowed: AllowedEndpoints,
    /// The sets to draw from: available endpoints, and those of them with capacity.
    available: CandidateSet,
    with_capacity: CandidateSet,
    /// Whether endpoints that the call has already tried are excluded; only set if there are
    /// others.
    untried_only: bool,
}

impl Selection {
    fn is_eligible(&self, call: &Call, endpoint: &Endpoint) -> bool {
        endpoint.is_usable(self.now) && (!self.untried_only || call.has_not_tried(endpoint))
    }

    fn has_capacity(&self, endpoint: &Endpoint) -> bool {
        !endpoint.at_limit(self.now, &self.rules)
    }
}

/// Whether the endpoint's group admits this call. A group with high latency admits only a share of
/// the calls.
fn group_admits(groups: &EndpointGroups, call: &Call, endpoint: &Endpoint) -> bool {
    groups
        .get(&(endpoint.zone, endpoint.kind))
        .is_none_or(|group| group.admitted_share >= call.admission_draw)
}

impl Balancer {
    /// Decides where to send a call now, or whether it waits or is rejected.
    pub(super) fn route(&mut self, now: Micros, id: CallId) -> Route {
        let listed = self.endpoints.listed_count();
        if listed > 0 && self.endpoints.ejected_count() == listed {
            let wait = self.endpoints.first_recovery_at().saturating_sub(now);
            return Route::Reject {
                retry_after: wait.max(self.first_backoff()),
            };
        }
        let candidate_count = self.endpoints.count(CandidateSet::WithCapacity)
            + self.endpoints.count(CandidateSet::TrialAllowed)
            + self.endpoints.count(CandidateSet::SlowStart);
        if candidate_count == 0 {
            return Route::Queue;
        }
        if let Some(slot) = self.draw_slow_start(now, id) {
            return Route::Send { slot, trial: false };
        }
        let Some(allowed) = self.allowed_endpoints(now, id) else {
            return Route::Queue;
        };
        let selection = self.selection(now, id, allowed);
        if self.is_sparse() {
            self.select_preferred(&selection)
        } else {
            self.select_of_all(&selection)
        }
    }

    fn selection(&self, now: Micros, id: CallId, allowed: AllowedEndpoints) -> Selection {
        // Endpoints in slow start are used only if no other endpoint is listed. It is not enough
        // that the others are failing or full: all proxies would notice at the same time and send
        // the load of the whole fleet to the few endpoints with the least capacity.
        let slow_start_only =
            self.endpoints.count(CandidateSet::SlowStart) == self.endpoints.listed_count();
        let (available, with_capacity) = if slow_start_only {
            (CandidateSet::SlowStart, CandidateSet::SlowStart)
        } else {
            (CandidateSet::Available, CandidateSet::WithCapacity)
        };
        let untried_only = self.has_untried_endpoint(&self.calls[&id], available, &allowed);
        Selection {
            now,
            rules: self.settings.rules,
            id,
            allowed,
            available,
            with_capacity,
            untried_only,
        }
    }

    /// Draws two of the available endpoints. If the less loaded one is full, draws again from those
    /// with capacity.
    fn select_of_all(&mut self, selection: &Selection) -> Route {
        let eligible = self.draw_two(selection, selection.available, |call, endpoint| {
            selection.is_eligible(call, endpoint)
        });
        let mut selected = self
            .least_loaded(selection.now, &eligible)
            .filter(|&slot| selection.has_capacity(&self.endpoints[slot]));
        if selected.is_none() {
            let eligible = self.draw_two(selection, selection.with_capacity, |call, endpoint| {
                selection.is_eligible(call, endpoint) && selection.has_capacity(endpoint)
            });
            selected = self.least_loaded(selection.now, &eligible);
        }
        match selected {
            Some(slot) => Route::Send { slot, trial: false },
            None => self.select_trial(selection, |_, _, _| true),
        }
    }

    /// Selects among a small stable subset of endpoints, using load probes. The subset grows with
    /// each round of probes that found it full. A small subset limits the number of connections and
    /// keeps the learned state fresh.
    fn select_preferred(&mut self, selection: &Selection) -> Route {
        let &Selection { now, id, .. } = selection;
        let call = &self.calls[&id];
        let count = PREFERRED_ENDPOINTS << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS);
        // Endpoints of the own zone are not preferred: the demand of a zone's proxies need not
        // match the capacity of its endpoints, no proxy sees the others' demand, and full endpoints
        // cost more than cross-zone calls.
        let set = (selection.with_capacity, &selection.allowed);
        let preferred = self.endpoints.in_preference_order(set, count, |endpoint| {
            selection.is_eligible(call, endpoint)
                && group_admits(&self.groups, call, endpoint)
                && selection.has_capacity(endpoint)
        });
        if !preferred.is_empty() {
            match self.endpoints_to_probe(now, id, &preferred) {
                Some(slots) if slots.is_empty() => return Route::Queue,
                Some(slots) => return Route::Probe { slots },
                None => {}
            }
        }
        let pair = self.draw(&preferred, 2);
        match self.least_loaded(now, &pair) {
            Some(slot) if self.is_shed(now, id, slot) => Route::Shed {
                retry_after: self.first_backoff(),
            },
            Some(slot) => Route::Send { slot, trial: false },
            None => self.select_trial(selection, group_admits),
        }
    }

    /// Whether to shed a new call because of the congestion expected at its endpoint.
    fn is_shed(&self, now: Micros, id: CallId, slot: usize) -> bool {
        let call = &self.calls[&id];
        let sample = self.endpoints[slot].last_sample;
        let congestion = self.load_feedback.expected_congestion(now, sample);
        call.attempts.is_empty() && call.admission_draw < shed_probability(congestion)
    }

    /// Selects a full endpoint whose limit the call may exceed as its single trial; otherwise the
    /// call stays queued.
    fn select_trial(
        &mut self,
        selection: &Selection,
        admits: impl Fn(&EndpointGroups, &Call, &Endpoint) -> bool,
    ) -> Route {
        let Balancer {
            endpoints,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&selection.id];
        let set = (CandidateSet::TrialAllowed, &selection.allowed);
        let pair = endpoints.draw(random, set, 2, |endpoint| {
            (!selection.untried_only || call.has_not_tried(endpoint))
                && admits(groups, call, endpoint)
        });
        match self.least_loaded(selection.now, &pair) {
            Some(slot) => Route::Send { slot, trial: true },
            None => Route::Queue,
        }
    }

    fn draw_two(
        &mut self,
        selection: &Selection,
        set: CandidateSet,
        predicate: impl Fn(&Call, &Endpoint) -> bool,
    ) -> Candidates {
        let Balancer {
            endpoints,
            calls,
            random,
            ..
        } = self;
        let call = &calls[&selection.id];
        endpoints.draw(random, (set, &selection.allowed), 2, |endpoint| {
            predicate(call, endpoint)
        })
    }

    /// Draws random endpoints from `slots`, with probability proportional to size.
    pub(super) fn draw(&mut self, slots: &[usize], count: usize) -> Vec<usize> {
        let Balancer {
            endpoints, random, ..
        } = self;
        let drawn = slots.choose_multiple_weighted(random, count, |&slot| endpoints[slot].size);
        drawn
            .map(|slots| slots.copied().collect())
            .unwrap_or_default()
    }

    /// The endpoint with the fewest calls in flight from this balancer. Ties are broken by the
    /// projected load from probes, then by the expected latency ratio.
    pub(super) fn least_loaded(&self, now: Micros, slots: &[usize]) -> Option<usize> {
        let load = |slot: usize| {
            let endpoint = &self.endpoints[slot];
            (
                endpoint.in_flight,
                endpoint.projected_load(now, &self.settings.rules),
                self.expected_latency_ratio(now, endpoint),
            )
        };
        slots
            .iter()
            .copied()
            .reduce(|a, b| if load(b) < load(a) { b } else { a })
    }

    /// The expected latency ratio. The weight shifts from the endpoint's own ratio to that of its
    /// group as the endpoint's last answer ages.
    fn expected_latency_ratio(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let age = now.saturating_sub(endpoint.last_ended_at) as f64;
        let own_weight = (-age / (OWN_LATENCY_MEMORY * self.longest_objective())).exp();
        let group = self.groups.get(&(endpoint.zone, endpoint.kind));
        let group_ratio = group.map_or(0.0, |group| group.latency_ratio);
        endpoint.latency_ratio * own_weight + group_ratio * (1.0 - own_weight)
    }
}
