//! Endpoint selection.

use super::*;

/// Servers that a balancer keeps to: enough for two rounds of asking.
pub(super) const PREFERRED_ENDPOINTS: usize = 2 * MAX_PROBES;
/// Longest aims after which a server's own times count less than those of its kind.
pub(super) const OWN_LATENCY_MEMORY: f64 = 8.0;

/// Where a call goes.
pub(super) enum Route {
    Send {
        endpoint: usize,
        trial: bool,
    },
    Probe {
        candidates: Vec<usize>,
    },
    Queue,
    Reject {
        retry_after: Micros,
    },
    /// Refused, as the servers are crowded.
    Shed {
        retry_after: Micros,
    },
}

impl Balancer {
    pub(super) fn route(&mut self, now: Micros, id: CallId) -> Route {
        let rules = self.settings.rules;
        let listed = self.endpoints.listed_count();
        if listed > 0 && self.endpoints.ejected_count() == listed {
            let wait = self.endpoints.first_recovery_at().saturating_sub(now);
            return Route::Reject {
                retry_after: wait.max(self.first_backoff()),
            };
        }
        let open = self.endpoints.count(CandidateSet::WithCapacity)
            + self.endpoints.count(CandidateSet::TrialAllowed)
            + self.endpoints.count(CandidateSet::SlowStart);
        if open == 0 {
            return Route::Queue;
        }
        if let Some(endpoint) = self.draw_slow_start(now, id) {
            return Route::Send {
                endpoint,
                trial: false,
            };
        }
        let Some(allowed) = self.allowed_endpoints(now, id) else {
            return Route::Queue;
        };
        // Cold ones only if no other is listed. That the others fail or are full for now is no reason: all
        // proxies find so together, and what the whole fleet bears would go to the few that bear least.
        let (up, room) = match self.endpoints.count(CandidateSet::SlowStart) {
            cold if cold == listed => (CandidateSet::SlowStart, CandidateSet::SlowStart),
            _ => (CandidateSet::Available, CandidateSet::WithCapacity),
        };
        let fresh = self.has_untried_endpoint(&self.calls[&id], up, &allowed);
        let sparse = self.is_sparse();
        let Balancer {
            endpoints,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Endpoint| {
            let endpoint_group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.admitted_share >= call.admission_draw)
            };
            s.is_usable(now) && (!fresh || call.has_not_tried(s)) && (!sparse || endpoint_group())
        };
        let with_room = |s: &Endpoint| fits(s) && !s.at_limit(now, &rules);
        // A stable few, more when they were full: they bound connections, and what they show is fresh.
        let few = PREFERRED_ENDPOINTS << call.full_probe_rounds.min(MAX_BACKOFF_DOUBLINGS);
        // Not the own zone first: what a zone's proxies ask for is no measure of what its servers bear, no
        // proxy sees the others', and full servers cost more than crossing does.
        let stable = if sparse {
            endpoints.by_own_preference((room, &allowed), few, with_room)
        } else {
            Vec::new()
        };
        let first = if sparse {
            if let Some(candidates) = (!stable.is_empty())
                .then(|| self.endpoints_to_probe(now, id, &stable))
                .flatten()
            {
                return if candidates.is_empty() {
                    Route::Queue
                } else {
                    Route::Probe { candidates }
                };
            }
            self.two_choices(now, &stable)
        } else {
            // Two of all that are up; one that is full is redrawn among those with room.
            let pair = endpoints.draw(random, (up, &allowed), 2, fits);
            let first = self
                .least_loaded(now, &pair)
                .filter(|&endpoint| !self.endpoints[endpoint].at_limit(now, &rules));
            first.or_else(|| {
                let Balancer {
                    endpoints,
                    calls,
                    random,
                    ..
                } = self;
                let call = &calls[&id];
                let fits = |s: &Endpoint| {
                    s.is_usable(now)
                        && (!fresh || call.has_not_tried(s))
                        && !s.at_limit(now, &rules)
                };
                let pair = endpoints.draw(random, (room, &allowed), 2, fits);
                self.least_loaded(now, &pair)
            })
        };
        if let Some(endpoint) = first {
            let (slot, call) = (&self.endpoints[endpoint], &self.calls[&id]);
            let congestion = self
                .load_feedback
                .expected_congestion(now, slot.last_sample);
            if sparse
                && call.attempts.is_empty()
                && call.admission_draw < shed_probability(congestion)
            {
                return Route::Shed {
                    retry_after: self.first_backoff(),
                };
            }
            return Route::Send {
                endpoint,
                trial: false,
            };
        }
        let Balancer {
            endpoints,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Endpoint| {
            let endpoint_group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.admitted_share >= call.admission_draw)
            };
            (!fresh || call.has_not_tried(s)) && (!sparse || endpoint_group())
        };
        let pair = endpoints.draw(random, (CandidateSet::TrialAllowed, &allowed), 2, fits);
        self.least_loaded(now, &pair)
            .map_or(Route::Queue, |endpoint| Route::Send {
                endpoint,
                trial: true,
            })
    }

    pub(super) fn two_choices(&mut self, now: Micros, set: &[usize]) -> Option<usize> {
        let pair = self.draw(set, 2);
        self.least_loaded(now, &pair)
    }

    /// Random servers, each with a chance in proportion to its size.
    pub(super) fn draw(&mut self, set: &[usize], count: usize) -> Vec<usize> {
        let Balancer {
            endpoints, random, ..
        } = self;
        let drawn = set.choose_multiple_weighted(random, count, |&i| endpoints[i].size);
        drawn
            .map(|slots| slots.copied().collect())
            .unwrap_or_default()
    }

    /// The less loaded by own calls in flight; what servers told, then the strain expected break ties.
    pub(super) fn least_loaded(&self, now: Micros, set: &[usize]) -> Option<usize> {
        let rules = &self.settings.rules;
        let load = |i: usize| {
            let endpoint = &self.endpoints[i];
            (
                endpoint.in_flight,
                endpoint.projected_load(now, rules),
                self.expected_latency_ratio(now, endpoint),
            )
        };
        set.iter()
            .copied()
            .reduce(|a, b| if load(b) < load(a) { b } else { a })
    }

    /// The strain to expect: a server's own of late, its group's the longer ago that was.
    pub(super) fn expected_latency_ratio(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let known = (-(now.saturating_sub(endpoint.last_ended_at) as f64)
            / (OWN_LATENCY_MEMORY * self.longest_objective()))
        .exp();
        let endpoint_group = self
            .groups
            .get(&(endpoint.zone, endpoint.kind))
            .map_or(0.0, |g| g.latency_ratio);
        endpoint.latency_ratio * known + endpoint_group * (1.0 - known)
    }
}
