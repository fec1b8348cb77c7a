//! The endpoint list.

use super::*;

impl Endpoint {
    /// Where it stands at `now`, where answers usually take no longer than `usual`.
    pub(super) fn state(&self, now: Micros, rules: &EndpointRules, expected: f64) -> EndpointState {
        let (aside, paused) = (
            self.listed && self.limit.steps == 0,
            now < self.paused_until,
        );
        let warm_at = if self.started_at == 0 {
            0
        } else {
            self.started_at.saturating_add(rules.slow_start_duration)
        };
        let (warm, backing_off) = (now >= warm_at, now < self.limit.backoff_until);
        let up = self.is_usable(now) && warm;
        let full = up && self.at_limit(now, rules);
        let settled = self.limit_changed_at == 0 || self.has_enough_answers(now, expected);
        let may_be_tried = full && !self.limit.trial_in_flight && self.latency_ratio <= 1.0;
        // Times at which it stands elsewhere though nothing happened to it.
        let settles_at = self
            .limit_changed_at
            .saturating_add((2.0 * expected) as Micros + 1);
        let times = [
            (paused, self.paused_until),
            (!warm, warm_at),
            (
                (may_be_tried || aside) && backing_off,
                self.limit.backoff_until,
            ),
            (
                may_be_tried && !settled && self.answers_since_change >= self.in_flight.max(1),
                settles_at.max(now + 1),
            ),
        ];
        let due = times
            .iter()
            .filter(|t| self.listed && t.0)
            .map(|t| t.1)
            .min();
        EndpointState {
            listed: self.listed,
            available: up,
            has_capacity: up && !full,
            trial_allowed: may_be_tried && !backing_off && settled,
            is_outlier: self.listed && (aside || self.failure_rate > FAILURE_RATE_LIMIT),
            ejected: aside,
            recovery_trial_out: self.limit.trial_in_flight,
            // All balancers' trials together could push a cold server over.
            recovery_at: self.limit.backoff_until.max(self.paused_until).max(warm_at),
            slow_start_since: (self.listed && !warm).then_some(self.started_at.min(now)),
            next_change: due.unwrap_or(Micros::MAX),
        }
    }
}

impl Balancer {
    pub(super) fn update_endpoint_list(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        entries: &[EndpointEntry],
    ) {
        if kind == ListUpdateKind::Failed {
            // Jitter keeps balancers that lost the list together from asking together again.
            let wait =
                (self.settings.rules.list_poll_interval / 32) << self.list_poll_failures.min(3);
            self.list_poll_failures += 1;
            if self.settings.poll_endpoint_list {
                self.next_list_poll_at =
                    now + wait / 2 + (self.random_unit() * wait as f64) as Micros;
            }
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.list_poll_failures = 0;
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints.begin_full_list();
        }
        for entry in entries {
            let found = self.endpoints.slot(entry.endpoint);
            // A restart under the same number is a new, cold process: nothing learned of the old one holds.
            let same = found.filter(|&slot| entry.started <= self.endpoints[slot].started_at);
            let slot = same.unwrap_or_else(|| {
                let limit = ConcurrencyLimit::new(self.settings.balancers);
                let mut endpoint = Endpoint::new(entry, self.settings.weight_source, limit);
                if let Some(old) = found.map(|slot| &self.endpoints[slot]) {
                    (endpoint.in_flight, endpoint.limit.trial_in_flight) =
                        (old.in_flight, old.limit.trial_in_flight);
                }
                endpoint.preference = self.random.gen();
                self.endpoints.insert(endpoint)
            });
            self.endpoints.mark_listed(slot);
            self.endpoints.relocate(slot, entry.zone, entry.cell);
            self.set_listed(now, slot, entry.status == EndpointStatus::Ready);
        }
        if kind != ListUpdateKind::Delta {
            for slot in self.endpoints.not_in_full_list() {
                self.set_listed(now, slot, false);
            }
        }
        self.endpoints.remove_departed();
    }

    /// Whether a server takes calls, by the list.
    pub(super) fn set_listed(&mut self, now: Micros, slot: usize, listed: bool) {
        self.endpoints[slot].listed = listed;
        if !listed {
            self.endpoints.mark_departing(slot);
        }
        self.update_state(now, slot);
    }

    /// Notes where a server stands after a change to it.
    pub(super) fn update_state(&mut self, now: Micros, slot: usize) {
        let state =
            self.endpoints[slot].state(now, &self.settings.rules, self.longest_expected_latency());
        self.endpoints.set_state(slot, state);
    }

    /// Classes that stay keep what was learned of them. Open calls carry their own class and terms with them.
    pub(super) fn reconfigure(&mut self, now: Micros, settings: Settings, fresh: &[ClassId]) {
        let known = self.class_latencies.len();
        self.class_latencies.extend(
            settings
                .classes
                .iter()
                .skip(known)
                .map(ClassLatency::unknown),
        );
        for &ClassId(slot) in fresh {
            if let (Some(latency), Some(class)) = (
                self.class_latencies.get_mut(slot),
                settings.classes.get(slot),
            ) {
                *latency = ClassLatency::unknown(class);
            }
        }
        self.settings = settings;
        for slot in self.endpoints.slots() {
            self.update_state(now, slot);
        }
    }
}
