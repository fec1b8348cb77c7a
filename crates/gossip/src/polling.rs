//! Which proxies poll the list service, and when.
//!
//! [`TARGET_POLLERS`] proxies ask for all. Nobody appoints them: a proxy that hears of fewer draws a time and asks when it is up,
//! unless it has heard of enough by then. The law of the draw is that of the feedback timers of TFMCC (RFC 4654, 2.5.1):
//! most times are long and few are short, so that some begin early and are heard before the rest begin, be they five
//! or ten thousand. Where more ask than are wanted, those of the lowest rank (a hash of the number that a proxy has drawn
//! at its start) stop.
//!
//! One that has met no peer at all (its seeds are down) can't be heard and hears nobody: then each asks for itself, at a
//! time whose logarithm is drawn evenly, so that a few who are alone wait for four seconds in the middle, and hundreds do
//! not come together.
//!
//! One that fails pauses for longer each time, never for less than the service has said, and for longer where the service
//! takes long for an answer. While any are known to try, others leave it to them: so the sum of questions to a service
//! that is down does not grow with the number of proxies. Only if all that try have failed for long, others take a
//! turn, rarely: those that ask may be cut off from the service, and others not.

use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Proxies that ask: one may die and another be cut off at the same moment.
pub const TARGET_POLLERS: usize = 3;
/// The law of the draw holds for up to so many proxies (RFC 4654's own figure).
const MAX_PROXIES: f64 = 10_000.0;
/// Span of the draw of one that has no list, has met a peer and knows of nobody who asks. A question, its answer and their way to the
/// others take about a tenth of it, so that few begin in vain.
const TAKEOVER_SPAN: Micros = 1_000_000;
/// Earliest and latest time of one that has met no peer. Machines that are switched on together come up within a
/// second, seeds among them: who asks before has not waited for any. 300 that are alone are 75 questions for the list in
/// the second after, and fewer in each later one.
const ISOLATED_DELAY: (Micros, Micros) = (1_000_000, 16_000_000);
/// ... of a seed, which is asked by those that start: it is the first to need the list.
const SEED_TAKEOVER_SPAN: Micros = 100_000;
/// ... of one that has a list, or knows somebody who asks.
const RELAXED_TAKEOVER_SPAN: Micros = 4_000_000;
/// ... of one that knows that all who ask fail.
const UNREACHABLE_TAKEOVER_SPAN: Micros = 8_000_000;
/// Failures in a row after which one that asks counts as cut off.
pub const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Pause after the first failure, and the longest, if the service answers quickly.
const MIN_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 2_000_000;
/// The longest pause in times of an answer, where that is more: a service that takes a second for an answer gets a
/// question from each that asks in twenty.
const MAX_BACKOFF_PER_LATENCY: u64 = 20;
/// One that asks is forgotten when nothing new was heard of it for so long: an announcement a second from each takes about seven
/// rounds to reach two thousand.
pub const STATUS_LIFETIME: Micros = 15_000_000;
/// ... of one that does not hear the service: it tells of itself each second, and at once when its standing changes. To
/// take one for dead that is not costs a question or two; to wait for a dead one costs a start its time.
const UNHEALTHY_STATUS_LIFETIME: Micros = 4_000_000;
/// One that has heard no peer at all for so long counts as cut off from them: in calm about four messages a second come
/// to each. What it knows of who asks holds no longer, and it asks for itself in its own time ([`ISOLATED_DELAY`]).
const ISOLATED_AFTER: Micros = 3_000_000;
/// After its turn was in vain a proxy leaves it to others for so long.
const TAKEOVER_PAUSE: Micros = 30_000_000;
/// Most statuses in a message: more pollers need not be told apart.
pub const MAX_STATUSES: usize = 8;
/// Most that are remembered, with those that have stopped or gone. One that was forgotten while others still tell of it
/// would come back as a new one, and be waited for. Room is taken as they come; beyond it those that do not ask go first.
const MAX_KNOWN_POLLERS: usize = 4_096;

/// The number that a proxy has drawn at its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PeerId(pub u64);

/// What can be left out, to measure what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// The law by which few times are short: all are alike.
    BiasedDelay,
    /// A seed asks sooner than others.
    SeedPriority,
    /// A new list goes to some others at once.
    EagerPush,
    /// News of those that ask goes on at once.
    StatusForwarding,
}

impl Mechanism {
    /// The names of all.
    pub const NAMES: [&'static str; 4] = ["law", "seeds", "push", "words"];

    /// The one of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [
            Self::BiasedDelay,
            Self::SeedPriority,
            Self::EagerPush,
            Self::StatusForwarding,
        ];
        all.into_iter()
            .zip(Self::NAMES)
            .find(|(_, n)| *n == name)
            .map(|(one, _)| one)
    }
}

/// The status of one proxy that polls the list service, as peers pass it on. ("Asks" stands for "polls" in its fields,
/// which are part of the report that a proxy prints.)
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollerStatus {
    /// The proxy.
    pub id: PeerId,
    /// Version of the status: grows each time that the proxy itself announces it; 0 for never.
    #[serde(rename = "count")]
    pub version: u32,
    /// It polls the service; else it has stopped.
    #[serde(rename = "asks")]
    pub active: bool,
    /// Failures since the service last answered it; [`u32::MAX`]: it has not heard it yet.
    pub failures: u32,
    /// The time that the service takes for an answer, in milliseconds, as learned.
    #[serde(rename = "answer_ms")]
    pub latency_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownPoller {
    status: PollerStatus,
    heard: Micros,
}

impl KnownPoller {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.heard
            + if self.status.failures == 0 {
                STATUS_LIFETIME
            } else {
                UNHEALTHY_STATUS_LIFETIME
            }
    }
}

/// The distribution that a delay is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delay {
    /// Within a span, by the law of RFC 4654.
    Within(Micros),
    /// See [`ISOLATED_DELAY`].
    Isolated,
}

/// Decides when this proxy polls the list service.
#[derive(Clone, Debug)]
pub struct PollScheduler {
    id: PeerId,
    seed: bool,
    random: Pcg32,
    others: BTreeMap<PeerId, KnownPoller>,
    own: PollerStatus,
    /// A request to the list service is pending.
    pending: bool,
    /// When it would send its next request.
    due: Option<Micros>,
    /// The distribution that `due` was drawn from.
    delay: Option<Delay>,
    /// When a peer was last heard; `None`: never.
    last_heard: Option<Micros>,
    /// This proxy has a list.
    listed: bool,
    disabled: Option<Mechanism>,
    rest_until: Micros,
    /// No request may be sent before this moment.
    not_before: Micros,
}

impl PollScheduler {
    /// The scheduler of a proxy; `seed`: other proxies contact it when they start.
    pub fn new(id: PeerId, seed: bool) -> Self {
        let own = PollerStatus {
            id,
            version: 0,
            active: false,
            failures: u32::MAX,
            latency_ms: 0,
        };
        PollScheduler {
            id,
            seed,
            random: Pcg32::seed_from_u64(id.0),
            others: BTreeMap::new(),
            own,
            pending: false,
            due: None,
            delay: None,
            last_heard: None,
            listed: false,
            disabled: None,
            rest_until: 0,
            not_before: 0,
        }
    }

    /// Leaves a mechanism out.
    #[must_use]
    pub fn with_disabled(mut self, mechanism: Option<Mechanism>) -> Self {
        self.disabled = mechanism;
        self
    }

    /// Does this proxy ask for all?
    pub fn is_poller(&self) -> bool {
        self.own.active
    }

    /// Does it hear the service?
    pub fn is_healthy_poller(&self) -> bool {
        self.own.active && self.own.failures == 0
    }

    /// Is anybody known who hears the service, this proxy included?
    pub fn knows_healthy_poller(&self) -> bool {
        self.is_healthy_poller()
            || self
                .others
                .values()
                .any(|o| o.status.active && o.status.failures == 0)
    }

    /// The statuses of pollers that a message carries, this proxy's own first; `tick`: as a new version.
    pub fn statuses(&mut self, now: Micros, tick: bool) -> Vec<PollerStatus> {
        let tell_own = self.own.active || self.own.version > 0;
        if tick && self.own.active {
            self.own.version += 1;
        }
        let own = tell_own.then_some(self.own);
        // Those that ask before those that have stopped, then those that were heard of last. Nobody tells of one of whom
        // he has heard nothing new for long: the dead would be told of for ever.
        let mut others: Vec<&KnownPoller> =
            self.others.values().filter(|o| o.is_fresh(now)).collect();
        others.sort_by_key(|o| std::cmp::Reverse((o.status.active, o.heard)));
        own.into_iter()
            .chain(others.into_iter().map(|o| o.status))
            .take(MAX_STATUSES)
            .collect()
    }

    /// Those known to ask, this proxy included, and since when nothing was heard of them.
    pub fn pollers(&self, now: Micros) -> Vec<(PollerStatus, Micros)> {
        let own = self.own.active.then_some((self.own, 0));
        let others = self.others.values().filter(|o| o.status.active);
        own.into_iter()
            .chain(others.map(|o| (o.status, now.saturating_sub(o.heard))))
            .collect()
    }

    /// A peer tells of those that ask. True: somebody has begun to ask, hears the service now or does so no more.
    pub fn handle_statuses(&mut self, now: Micros, statuses: &[PollerStatus]) -> bool {
        let mut news = false;
        self.last_heard = Some(now);
        for &status in statuses
            .iter()
            .take(MAX_STATUSES)
            .filter(|w| w.id != self.id)
        {
            let old = self.others.get(&status.id).map(|o| o.status);
            if old.is_some_and(|o| o.version >= status.version) {
                continue;
            }
            let state = |w: PollerStatus| {
                (
                    w.active,
                    w.failures == 0,
                    w.failures >= UNREACHABLE_AFTER_FAILURES,
                )
            };
            news |= old.map(state) != Some(state(status)) && (status.active || old.is_some());
            self.others
                .insert(status.id, KnownPoller { status, heard: now });
            if self.own.latency_ms == 0 {
                self.own.latency_ms = status.latency_ms;
            }
        }
        while self.others.len() > MAX_KNOWN_POLLERS {
            let oldest = self
                .others
                .values()
                .min_by_key(|o| (o.status.active, o.heard))
                .map(|o| o.status.id);
            oldest.map(|id| self.others.remove(&id));
        }
        self.reschedule(now);
        news
    }

    /// A peer was heard.
    pub fn record_contact(&mut self, now: Micros) {
        if self.last_heard.replace(now).is_none() {
            self.reschedule(now);
        }
    }

    /// A peer has gone.
    pub fn peer_down(&mut self, now: Micros, id: PeerId) {
        if let Some(other) = self.others.get_mut(&id) {
            // Remembered, so that an old status still in circulation does not bring it back.
            other.status.active = false;
        }
        self.reschedule(now);
    }

    /// Nobody was heard, ever or for long.
    fn is_isolated(&self, now: Micros) -> bool {
        self.last_heard.is_none_or(|at| at + ISOLATED_AFTER <= now)
    }

    /// Others that ask: those that hear the service, those that have not heard it yet or only just failed, and those that
    /// are cut off.
    fn standing(&self, now: Micros) -> (usize, usize, usize) {
        let mut counts = (0, 0, 0);
        if self.is_isolated(now) {
            return counts;
        }
        for other in self
            .others
            .values()
            .filter(|o| o.status.active && o.is_fresh(now))
        {
            match other.status.failures {
                0 => counts.0 += 1,
                failures if failures < UNREACHABLE_AFTER_FAILURES || failures == u32::MAX => {
                    counts.1 += 1
                }
                _ => counts.2 += 1,
            }
        }
        counts
    }

    /// What this proxy's time is drawn from; `None`: others ask.
    fn takeover_delay(&self, now: Micros) -> Option<Delay> {
        let (hearing, trying, cut_off) = self.standing(now);
        if hearing + trying >= TARGET_POLLERS || (hearing == 0 && trying > 0) {
            return None;
        }
        let span = match (hearing, cut_off) {
            (1.., _) => RELAXED_TAKEOVER_SPAN,
            (0, 0) if self.is_isolated(now) && !(self.seed && self.last_heard.is_none()) => {
                return Some(Delay::Isolated)
            }
            (0, 0) if self.listed => RELAXED_TAKEOVER_SPAN,
            (0, 0) if self.seed && self.disabled != Some(Mechanism::SeedPriority) => {
                SEED_TAKEOVER_SPAN
            }
            (0, 0) => TAKEOVER_SPAN,
            (0, _) => UNREACHABLE_TAKEOVER_SPAN,
        };
        Some(Delay::Within(span))
    }

    fn draw(&mut self, delay: Delay) -> Micros {
        let share: f64 = self.random.gen_range(f64::MIN_POSITIVE..=1.0);
        match delay {
            Delay::Within(span) if self.disabled == Some(Mechanism::BiasedDelay) => {
                (span as f64 * share) as Micros
            }
            Delay::Within(span) => {
                (span as f64 * (1.0 + share.ln() / MAX_PROXIES.ln()).max(0.0)) as Micros
            }
            Delay::Isolated => {
                (ISOLATED_DELAY.0 as f64
                    * (ISOLATED_DELAY.1 as f64 / ISOLATED_DELAY.0 as f64).powf(share))
                    as Micros
            }
        }
    }

    /// Sets or takes back the time at which this proxy would begin to ask.
    fn reschedule(&mut self, now: Micros) {
        if self.own.active {
            return;
        }
        match self.takeover_delay(now) {
            None => self.due = None,
            Some(delay) if self.due.is_none() || Some(delay) != self.delay => {
                self.delay = Some(delay);
                let wait = self.draw(delay);
                self.due = Some((now + wait).max(self.rest_until).max(self.not_before));
            }
            Some(_) => {}
        }
    }

    /// Should the service be asked now? `listed`: this proxy has a list. True: the question counts as out.
    pub fn start_poll(&mut self, now: Micros, listed: bool) -> bool {
        self.listed = listed;
        self.others
            .retain(|_, o| now < o.heard + 4 * STATUS_LIFETIME);
        if self.own.active {
            self.step_down_if_redundant(now);
        }
        self.reschedule(now);
        if self.pending || self.due.is_none_or(|due| now < due) {
            return false;
        }
        if !self.own.active {
            self.own = PollerStatus {
                active: true,
                failures: u32::MAX,
                version: self.own.version + 1,
                ..self.own
            };
        }
        (self.due, self.pending) = (None, true);
        true
    }

    /// When [`PollScheduler::start_poll`] should be looked at again.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.due.filter(|_| !self.pending)
    }

    /// Leaves it to others where more ask than are wanted.
    fn step_down_if_redundant(&mut self, now: Micros) {
        let is_fresh = |o: &&KnownPoller| o.status.active && o.is_fresh(now);
        let hearing: Vec<PeerId> = self
            .others
            .values()
            .filter(is_fresh)
            .filter(|o| o.status.failures == 0)
            .map(|o| o.status.id)
            .collect();
        let rank = |id: PeerId| xxhash_rust::xxh3::xxh3_64(&id.0.to_le_bytes());
        let before = |ids: &[PeerId]| ids.iter().filter(|id| rank(**id) > rank(self.id)).count();
        let stops = match self.own.failures {
            0 => before(&hearing) >= TARGET_POLLERS,
            // It has not heard the service yet.
            u32::MAX => hearing.len() >= TARGET_POLLERS,
            failures => {
                let (_, trying, cut_off) = self.standing(now);
                // At its first failure the others may have failed as well, and be about to tell: all that asked must
                // not stop together.
                let enough = failures > 1 && hearing.len() >= TARGET_POLLERS;
                let in_turn = failures >= UNREACHABLE_AFTER_FAILURES
                    && (trying > 0 || cut_off >= TARGET_POLLERS);
                if in_turn && !enough {
                    self.rest_until = now + TAKEOVER_PAUSE;
                }
                enough || in_turn
            }
        };
        if stops && !self.pending {
            self.own = PollerStatus {
                active: false,
                version: self.own.version + 1,
                ..self.own
            };
            self.due = None;
        }
    }

    /// The service has answered: a watch may follow at once. `took`: for an answer that did not wait for news.
    pub fn poll_answered(&mut self, now: Micros, took: Option<Micros>) {
        self.pending = false;
        self.own.failures = 0;
        self.own.version += 1;
        if let Some(took) = took {
            let ms = (took / 1_000).clamp(1, 60_000) as u32;
            self.own.latency_ms = if self.own.latency_ms == 0 {
                ms
            } else {
                (3 * self.own.latency_ms + ms) / 4
            };
        }
        self.due = Some(now);
    }

    /// The question has failed; `told`: the service has said when to come back.
    pub fn poll_failed(&mut self, now: Micros, told: Option<Micros>) {
        self.pending = false;
        self.own.version += 1;
        self.own.failures = match self.own.failures {
            u32::MAX => 1,
            failures => (failures + 1).min(1_000),
        };
        let answer = Micros::from(self.own.latency_ms) * 1_000;
        let most = MAX_BACKOFF.max(MAX_BACKOFF_PER_LATENCY * answer);
        let pause = (MIN_BACKOFF << (self.own.failures - 1).min(8))
            .min(most)
            .max(2 * answer);
        let pause = pause / 2 + self.random.gen_range(0..=pause / 2);
        self.not_before = now + told.unwrap_or(0);
        self.due = Some((now + pause).max(self.not_before));
    }

    /// There is another service: a question that is out concerns nobody.
    pub fn source_changed(&mut self, now: Micros) {
        if std::mem::take(&mut self.pending) {
            self.due = Some(now);
        }
    }

    /// The next question is not to come before this moment.
    pub fn delay_until(&mut self, at: Micros) {
        self.due = self.due.map(|due| due.max(at));
    }
}

#[cfg(test)]
mod tests;
