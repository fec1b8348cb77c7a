//! Endpoint membership and reconfiguration: which endpoints take calls, the state of each endpoint,
//! and how changes of the list or of the settings are applied.

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

/// The initial backoff after a failed list poll is the poll interval divided by this.
const LIST_BACKOFF_PART: Micros = 32;
/// Number of doublings after which the list poll backoff stops growing.
const MAX_LIST_BACKOFF_DOUBLINGS: u32 = 3;

impl Endpoint {
    /// The endpoint's state at `now`. `expected_latency` is the usual latency of answers.
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
            // Recovery trials wait for the end of slow start: those of all balancers together could
            // overload the endpoint.
            recovery_at: self
                .limit
                .backoff_until
                .max(self.paused_until)
                .max(slow_start_end),
            slow_start_since: (self.listed && !is_warm).then_some(self.started_at.min(now)),
            next_change: self.next_state_change(now, rules, expected_latency, trial_possible),
        }
    }

    /// The time at which the state next changes without any event; `Micros::MAX` if never.
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
    /// Applies an update of the endpoint list.
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
            for slot in self.endpoints.missing_from_full_list() {
                self.set_listed(now, slot, false);
            }
        }
        self.endpoints.remove_departed();
    }

    /// Schedules the next poll of the list with exponential backoff. Jitter keeps balancers that
    /// lost the list at the same time from polling in step.
    fn back_off_list_poll(&mut self, now: Micros) {
        let first = self.settings.rules.list_poll_interval / LIST_BACKOFF_PART;
        let wait = first << self.list_poll_failures.min(MAX_LIST_BACKOFF_DOUBLINGS);
        self.list_poll_failures += 1;
        if self.settings.poll_endpoint_list {
            self.next_list_poll_at = now + wait / 2 + (self.random_unit() * wait as f64) as Micros;
        }
    }

    /// Returns the slot of a list entry's endpoint, creating it if needed. A restart under the same
    /// id is a new process in slow start: the learned state is discarded, and only the calls in
    /// flight carry over.
    fn slot_for(&mut self, entry: &EndpointEntry) -> usize {
        let existing = self.endpoints.slot(entry.endpoint);
        let same_process =
            existing.filter(|&slot| entry.started <= self.endpoints[slot].started_at);
        if let Some(slot) = same_process {
            return slot;
        }
        let limit = ConcurrencyLimit::new(self.settings.balancers);
        let mut endpoint = Endpoint::new(entry, self.settings.weight_source, limit);
        if let Some(old) = existing.map(|slot| &self.endpoints[slot]) {
            endpoint.in_flight = old.in_flight;
            endpoint.limit.trial_in_flight = old.limit.trial_in_flight;
        }
        endpoint.preference = self.random.gen();
        self.endpoints.insert(endpoint)
    }

    /// Sets whether an endpoint takes calls according to the list.
    fn set_listed(&mut self, now: Micros, slot: usize, listed: bool) {
        self.endpoints[slot].listed = listed;
        if !listed {
            self.endpoints.mark_departing(slot);
        }
        self.update_state(now, slot);
    }

    /// Recomputes an endpoint's state and updates the index.
    pub(super) fn update_state(&mut self, now: Micros, slot: usize) {
        let expected_latency = self.longest_expected_latency();
        let state = self.endpoints[slot].state(now, &self.settings.rules, expected_latency);
        self.endpoints.set_state(slot, state);
    }

    /// Applies new settings. Classes that remain keep their statistics. Open calls keep the class
    /// and the policy that they arrived with.
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
