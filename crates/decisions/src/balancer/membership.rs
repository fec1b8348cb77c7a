//! The endpoint list and the settings: which endpoints take calls, where each stands, and what
//! holds after a change.

use super::concurrency_limit::ConcurrencyLimit;
use super::outlier_detection::FAILURE_RATE_LIMIT;
use super::Balancer;
use crate::api::{
    ClassId, EndpointEntry, EndpointRules, EndpointStatus, ListUpdateKind, Micros, Settings,
};
use crate::endpoint::Endpoint;
use crate::endpoint_index::EndpointState;
use crate::latency::ClassLatency;
use rand::Rng;

/// First pause after a failed poll of the list, as a part of the poll interval.
const LIST_BACKOFF_PART: Micros = 32;
/// Doublings of that pause up to its cap.
const MAX_LIST_BACKOFF_DOUBLINGS: u32 = 3;

impl Endpoint {
    /// Where it stands at `now`, where answers usually take no longer than `expected_latency`.
    fn state(&self, now: Micros, rules: &EndpointRules, expected_latency: f64) -> EndpointState {
        let slow_start_end = self.slow_start_end(rules);
        let is_warm = now >= slow_start_end;
        let ejected = self.listed && self.limit.steps == 0;
        let available = self.is_usable(now) && is_warm;
        let is_full = available && self.at_limit(now, rules);
        let is_settled =
            self.limit_changed_at == 0 || self.has_enough_answers(now, expected_latency);
        let trial_possible = is_full && !self.limit.trial_in_flight && self.latency_ratio <= 1.0;
        let backing_off = now < self.limit.backoff_until;
        EndpointState {
            listed: self.listed,
            available,
            has_capacity: available && !is_full,
            trial_allowed: trial_possible && !backing_off && is_settled,
            is_outlier: self.listed && (ejected || self.failure_rate > FAILURE_RATE_LIMIT),
            ejected,
            recovery_trial_out: self.limit.trial_in_flight,
            // All balancers' trials together could push an endpoint in slow start over.
            recovery_at: self
                .limit
                .backoff_until
                .max(self.paused_until)
                .max(slow_start_end),
            slow_start_since: (self.listed && !is_warm).then_some(self.started_at.min(now)),
            next_change: self.next_state_change(now, rules, expected_latency, trial_possible),
        }
    }

    /// When it stands elsewhere though nothing happens to it; `Micros::MAX`: never.
    fn next_state_change(
        &self,
        now: Micros,
        rules: &EndpointRules,
        expected_latency: f64,
        trial_possible: bool,
    ) -> Micros {
        let mut next_change = Micros::MAX;
        if !self.listed {
            return next_change;
        }
        let mut change_at = |at: Micros| next_change = next_change.min(at);
        if now < self.paused_until {
            change_at(self.paused_until);
        }
        let slow_start_end = self.slow_start_end(rules);
        if now < slow_start_end {
            change_at(slow_start_end);
        }
        let ejected = self.limit.steps == 0;
        if (trial_possible || ejected) && now < self.limit.backoff_until {
            change_at(self.limit.backoff_until);
        }
        let is_settled =
            self.limit_changed_at == 0 || self.has_enough_answers(now, expected_latency);
        if trial_possible && !is_settled && self.answers_since_change >= self.in_flight.max(1) {
            let settled_at = self
                .limit_changed_at
                .saturating_add((2.0 * expected_latency) as Micros + 1);
            change_at(settled_at.max(now + 1));
        }
        next_change
    }
}

impl Balancer {
    /// Takes in an update of the endpoint list.
    pub(super) fn update_endpoint_list(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        entries: &[EndpointEntry],
    ) {
        if kind == ListUpdateKind::Failed {
            self.back_off_list_poll(now);
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.list_poll_failures = 0;
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints.begin_full_list();
        }
        for entry in entries {
            let slot = self.slot_for(entry);
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

    /// Polls the list again after a pause that doubles with each failure in a row. Jitter keeps
    /// balancers that lost the list together from polling together again.
    fn back_off_list_poll(&mut self, now: Micros) {
        let first = self.settings.rules.list_poll_interval / LIST_BACKOFF_PART;
        let wait = first << self.list_poll_failures.min(MAX_LIST_BACKOFF_DOUBLINGS);
        self.list_poll_failures += 1;
        if self.settings.poll_endpoint_list {
            self.next_list_poll_at = now + wait / 2 + (self.random_unit() * wait as f64) as Micros;
        }
    }

    /// The slot of the endpoint that an entry names, which may be new. A restart under the same
    /// number is a new process in slow start: nothing learned of the old one holds, but what is in
    /// flight there.
    fn slot_for(&mut self, entry: &EndpointEntry) -> usize {
        let found = self.endpoints.slot(entry.endpoint);
        let same = found.filter(|&slot| entry.started <= self.endpoints[slot].started_at);
        if let Some(slot) = same {
            return slot;
        }
        let limit = ConcurrencyLimit::new(self.settings.balancers);
        let mut endpoint = Endpoint::new(entry, self.settings.weight_source, limit);
        if let Some(old) = found.map(|slot| &self.endpoints[slot]) {
            endpoint.in_flight = old.in_flight;
            endpoint.limit.trial_in_flight = old.limit.trial_in_flight;
        }
        endpoint.preference = self.random.gen();
        self.endpoints.insert(endpoint)
    }

    /// Whether an endpoint takes calls, by the list.
    fn set_listed(&mut self, now: Micros, slot: usize, listed: bool) {
        self.endpoints[slot].listed = listed;
        if !listed {
            self.endpoints.mark_departing(slot);
        }
        self.update_state(now, slot);
    }

    /// Files where an endpoint stands after a change to it.
    pub(super) fn update_state(&mut self, now: Micros, slot: usize) {
        let expected_latency = self.longest_expected_latency();
        let state = self.endpoints[slot].state(now, &self.settings.rules, expected_latency);
        self.endpoints.set_state(slot, state);
    }

    /// Takes in other settings. Classes that stay keep what was learned of them; open calls carry
    /// their own class and policy with them.
    pub(super) fn reconfigure(&mut self, now: Micros, settings: Settings, redefined: &[ClassId]) {
        let known = self.class_latencies.len();
        let new_classes = settings.classes.iter().skip(known);
        self.class_latencies
            .extend(new_classes.map(ClassLatency::unknown));
        for &ClassId(class_id) in redefined {
            let latency = self.class_latencies.get_mut(class_id);
            if let (Some(latency), Some(class)) = (latency, settings.classes.get(class_id)) {
                *latency = ClassLatency::unknown(class);
            }
        }
        self.settings = settings;
        for slot in self.endpoints.slots() {
            self.update_state(now, slot);
        }
    }
}
