//! Decides when one proxy polls the list service.

use super::backoff::backoff;
use super::known::{KnownPollers, PollerCounts, StatusUpdate};
use super::status::{KnownPoller, PeerId, PollerStatus, MAX_STATUSES, UNREACHABLE_AFTER_FAILURES};
use super::takeover::{
    TakeoverDelay, RELAXED_TAKEOVER_SPAN, SEED_TAKEOVER_SPAN, TAKEOVER_SPAN,
    UNREACHABLE_TAKEOVER_SPAN,
};
use super::{Mechanism, TARGET_POLLERS};
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Time without contact with any peer after which a proxy is isolated, and no longer relies on what it knows of
/// pollers. In a converged fleet each proxy receives about four messages a second.
pub(super) const ISOLATED_AFTER: Micros = 3_000_000;

/// Time for which a proxy does not take over again after it has stepped down because its polls failed.
pub(super) const TAKEOVER_PAUSE: Micros = 30_000_000;

/// Maximum number of consecutive failures in a status.
const MAX_FAILURES: u32 = 1_000;

/// Maximum latency of the service in a status, in milliseconds.
const MAX_LATENCY_MS: Micros = 60_000;

/// Decides when one proxy polls the list service.
///
/// All times are in microseconds on the caller's clock. The caller reports what it learns of other pollers and the
/// result of each poll, and calls [`PollScheduler::start_poll`] whenever [`PollScheduler::next_deadline`] has passed.
#[derive(Clone, Debug)]
pub struct PollScheduler {
    pub(super) own: PollerStatus,
    pub(super) others: KnownPollers,
    /// Whether other proxies contact this one when they start.
    is_seed: bool,
    random: Pcg32,
    /// Whether a poll is in flight.
    pub(super) in_flight: bool,
    /// When the next poll starts; `None` while this proxy leaves polling to others.
    next_poll: Option<Micros>,
    /// The distribution that `next_poll` was drawn from.
    takeover_delay: Option<TakeoverDelay>,
    /// When a message from a peer was last received; `None` if never.
    last_contact: Option<Micros>,
    has_list: bool,
    disabled: Option<Mechanism>,
    /// Time before which this proxy does not take over.
    takeover_paused_until: Micros,
    /// Time before which the service has asked this proxy not to poll.
    retry_after_until: Micros,
}

impl PollScheduler {
    /// Creates the scheduler of a proxy. `is_seed` tells that other proxies contact this one when they start.
    pub fn new(id: PeerId, is_seed: bool) -> Self {
        let own = PollerStatus {
            id,
            version: 0,
            active: false,
            failures: PollerStatus::NEVER_ANSWERED,
            latency_ms: 0,
        };
        PollScheduler {
            own,
            others: KnownPollers::default(),
            is_seed,
            random: Pcg32::seed_from_u64(id.0),
            in_flight: false,
            next_poll: None,
            takeover_delay: None,
            last_contact: None,
            has_list: false,
            disabled: None,
            takeover_paused_until: 0,
            retry_after_until: 0,
        }
    }

    /// Disables a mechanism, or none.
    #[must_use]
    pub fn with_disabled(mut self, mechanism: Option<Mechanism>) -> Self {
        self.disabled = mechanism;
        self
    }

    /// Whether this proxy is one of the pollers.
    pub fn is_poller(&self) -> bool {
        self.own.active
    }

    /// Whether this proxy is one of the pollers and its last poll was answered.
    pub fn is_healthy_poller(&self) -> bool {
        self.own.is_healthy()
    }

    /// Whether a poller is known, this proxy included, whose last poll was answered.
    pub fn knows_healthy_poller(&self) -> bool {
        self.own.is_healthy() || self.others.any_healthy()
    }

    /// Returns the statuses to include in a message, this proxy's own first. If `announce` is set and this proxy is a
    /// poller, its status gets a new version.
    pub fn statuses(&mut self, now: Micros, announce: bool) -> Vec<PollerStatus> {
        let has_been_poller = self.own.active || self.own.version > 0;
        if announce && self.own.active {
            self.own.version += 1;
        }
        let own = has_been_poller.then_some(self.own);
        own.into_iter()
            .chain(self.others.to_gossip(now))
            .take(MAX_STATUSES)
            .collect()
    }

    /// The active pollers that this proxy knows, including itself.
    pub fn pollers(&self, now: Micros) -> Vec<KnownPoller> {
        let own = self.own.active.then_some(KnownPoller {
            status: self.own,
            age: 0,
        });
        own.into_iter().chain(self.others.active(now)).collect()
    }

    /// Records statuses of pollers from a peer. Returns whether one of them should be forwarded immediately, because a
    /// poller has started or stopped, or its health has changed.
    pub fn handle_statuses(&mut self, now: Micros, statuses: &[PollerStatus]) -> bool {
        let mut significant = false;
        self.last_contact = Some(now);
        let received = statuses.iter().take(MAX_STATUSES);
        for &status in received.filter(|status| status.id != self.own.id) {
            let update = self.others.update(now, status);
            significant |= update == StatusUpdate::Significant;
            if update != StatusUpdate::Stale && self.own.latency_ms == 0 {
                self.own.latency_ms = status.latency_ms;
            }
        }
        self.others.evict_excess();
        self.reschedule(now);
        significant
    }

    /// Records that a message from a peer has arrived.
    pub fn record_contact(&mut self, now: Micros) {
        if self.last_contact.replace(now).is_none() {
            self.reschedule(now);
        }
    }

    /// Records that a peer has left or crashed.
    pub fn peer_down(&mut self, now: Micros, id: PeerId) {
        self.others.mark_stopped(id);
        self.reschedule(now);
    }

    /// Whether no message from a peer has arrived for [`ISOLATED_AFTER`], or ever.
    fn is_isolated(&self, now: Micros) -> bool {
        self.last_contact
            .is_none_or(|at| at + ISOLATED_AFTER <= now)
    }

    /// Counts the other active pollers; zero while this proxy is isolated.
    fn other_pollers(&self, now: Micros) -> PollerCounts {
        if self.is_isolated(now) {
            PollerCounts::default()
        } else {
            self.others.counts(now)
        }
    }

    /// The distribution of this proxy's takeover delay; `None` if it leaves polling to others.
    fn takeover_delay(&self, now: Micros) -> Option<TakeoverDelay> {
        let others = self.other_pollers(now);
        let enough = others.healthy + others.trying >= TARGET_POLLERS;
        if enough || (others.healthy == 0 && others.trying > 0) {
            return None;
        }
        if others.healthy > 0 {
            return Some(TakeoverDelay::Within(RELAXED_TAKEOVER_SPAN));
        }
        if others.unreachable > 0 {
            return Some(TakeoverDelay::Within(UNREACHABLE_TAKEOVER_SPAN));
        }
        let is_starting_seed = self.is_seed && self.last_contact.is_none();
        if self.is_isolated(now) && !is_starting_seed {
            return Some(TakeoverDelay::Isolated);
        }
        let has_seed_priority = self.is_seed && self.disabled != Some(Mechanism::SeedPriority);
        let span = if self.has_list {
            RELAXED_TAKEOVER_SPAN
        } else if has_seed_priority {
            SEED_TAKEOVER_SPAN
        } else {
            TAKEOVER_SPAN
        };
        Some(TakeoverDelay::Within(span))
    }

    /// Sets or cancels the time at which this proxy becomes a poller. A time that was drawn before is kept as long as
    /// the distribution of the delay stays the same.
    fn reschedule(&mut self, now: Micros) {
        if self.own.active {
            return;
        }
        let Some(delay) = self.takeover_delay(now) else {
            self.next_poll = None;
            return;
        };
        if self.next_poll.is_some() && self.takeover_delay == Some(delay) {
            return;
        }
        self.takeover_delay = Some(delay);
        let biased = self.disabled != Some(Mechanism::BiasedDelay);
        let at = now + delay.sample(&mut self.random, biased);
        self.next_poll = Some(
            at.max(self.takeover_paused_until)
                .max(self.retry_after_until),
        );
    }

    /// Returns whether the service is to be polled now. The poll is then in flight until
    /// [`PollScheduler::poll_answered`], [`PollScheduler::poll_failed`] or [`PollScheduler::source_changed`] is called.
    /// `has_list` tells whether this proxy has a list.
    pub fn start_poll(&mut self, now: Micros, has_list: bool) -> bool {
        self.has_list = has_list;
        self.others.remove_expired(now);
        if self.own.active {
            self.step_down_if_redundant(now);
        }
        self.reschedule(now);
        if self.in_flight || self.next_poll.is_none_or(|at| now < at) {
            return false;
        }
        if !self.own.active {
            self.own.active = true;
            self.own.failures = PollerStatus::NEVER_ANSWERED;
            self.own.version += 1;
        }
        self.next_poll = None;
        self.in_flight = true;
        true
    }

    /// When [`PollScheduler::start_poll`] should be called next; `None` while a poll is in flight, or while this proxy
    /// leaves polling to others.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.next_poll.filter(|_| !self.in_flight)
    }

    /// Stops polling if there are enough other pollers.
    fn step_down_if_redundant(&mut self, now: Micros) {
        let Some(redundancy) = self.redundancy(now) else {
            return;
        };
        if redundancy == Redundancy::OthersRetry {
            self.takeover_paused_until = now + TAKEOVER_PAUSE;
        }
        if !self.in_flight {
            self.own.active = false;
            self.own.version += 1;
            self.next_poll = None;
        }
    }

    /// The reason why this poller is not needed; `None` if it is needed.
    fn redundancy(&self, now: Micros) -> Option<Redundancy> {
        let healthy = self.others.healthy_ids(now);
        let has_enough_healthy = healthy.len() >= TARGET_POLLERS;
        match self.own.failures {
            0 => {
                let own_rank = rank(self.own.id);
                let ahead = healthy.iter().filter(|id| rank(**id) > own_rank).count();
                (ahead >= TARGET_POLLERS).then_some(Redundancy::Replaced)
            }
            PollerStatus::NEVER_ANSWERED => has_enough_healthy.then_some(Redundancy::Replaced),
            // After this poller's first failure, the others may have failed as well without having announced it yet. If
            // it stepped down now, all pollers could stop at the same time.
            failures if failures > 1 && has_enough_healthy => Some(Redundancy::Replaced),
            failures if failures >= UNREACHABLE_AFTER_FAILURES => {
                let others = self.other_pollers(now);
                let others_retry = others.trying > 0 || others.unreachable >= TARGET_POLLERS;
                others_retry.then_some(Redundancy::OthersRetry)
            }
            _ => None,
        }
    }

    /// Records that the poll in flight was answered: the next one may start immediately. `latency` is the time that the
    /// service took, or `None` if it held the poll until the list changed.
    pub fn poll_answered(&mut self, now: Micros, latency: Option<Micros>) {
        self.in_flight = false;
        self.own.failures = 0;
        self.own.version += 1;
        if let Some(latency) = latency {
            self.record_latency(latency);
        }
        self.next_poll = Some(now);
    }

    /// Adds a measurement to the smoothed latency of the service.
    fn record_latency(&mut self, latency: Micros) {
        let measured = (latency / 1_000).clamp(1, MAX_LATENCY_MS) as u32;
        self.own.latency_ms = if self.own.latency_ms == 0 {
            measured
        } else {
            (3 * self.own.latency_ms + measured) / 4
        };
    }

    /// Records that the poll in flight has failed. `retry_after` is the delay before the next poll that the service
    /// asked for, if any.
    pub fn poll_failed(&mut self, now: Micros, retry_after: Option<Micros>) {
        self.in_flight = false;
        self.own.version += 1;
        self.own.failures = match self.own.failures {
            PollerStatus::NEVER_ANSWERED => 1,
            failures => (failures + 1).min(MAX_FAILURES),
        };
        let latency = Micros::from(self.own.latency_ms) * 1_000;
        let backoff = backoff(self.own.failures, latency, &mut self.random);
        self.retry_after_until = now + retry_after.unwrap_or(0);
        self.next_poll = Some((now + backoff).max(self.retry_after_until));
    }

    /// Records that the service was replaced by another one: a poll in flight is abandoned, and the next one may start
    /// immediately.
    pub fn source_changed(&mut self, now: Micros) {
        if std::mem::take(&mut self.in_flight) {
            self.next_poll = Some(now);
        }
    }

    /// Delays the next poll until `at`, if it would start earlier.
    pub fn delay_until(&mut self, at: Micros) {
        self.next_poll = self.next_poll.map(|next_poll| next_poll.max(at));
    }
}

/// Why a poller is not needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Redundancy {
    /// Enough other pollers are healthy.
    Replaced,
    /// This poller's polls fail, and other pollers keep retrying.
    OthersRetry,
}

/// The rank of a proxy. If there are too many pollers, those with the highest ranks continue.
fn rank(id: PeerId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&id.0.to_le_bytes())
}
