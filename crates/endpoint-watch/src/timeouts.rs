//! The times of a watch, each derived from the protocol's clocks and the settings.

use crate::Micros;

/// A change that a silent watch misses counts as told so long after it fell silent (the protocol's figures).
pub const NOTIFIED_AFTER_SILENCE: Micros = 6_000_000;
/// ... and no sooner than so long after its wait is over.
pub const NOTIFIED_AFTER_WAIT: Micros = 2_000_000;
/// A service that works through questions in turn gives one up that waited for longer.
pub const SERVICE_RESPONSE_TIMEOUT: Micros = 3_000_000;
/// A connection to the service that is not up by then has failed: one that has vanished refuses nobody.
pub const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Patience with a question for the whole list: the service's own, and half a second of ways and work.
pub const FETCH_TIMEOUT: Micros = SERVICE_RESPONSE_TIMEOUT + 500_000;

/// The least and the most that an answer may be late before its watch is doubted. A little under the least is what a
/// proxy with almost no processor time is late by itself; the most is half of a usual grace.
const DOUBT: (Micros, Micros) = (100_000, 500_000);
/// Bounds of the wait at an agent: it costs nothing, yet a proxy should sleep between questions.
const AGENT_WAIT: (Micros, Micros) = (100_000, 500_000);

/// Where lists come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An agent on the proxy's own machine, which is sent them. It answers at once and at no cost, and is silent while
    /// the list service is down; what it has counts as told.
    Agent,
    /// One service for all proxies, which works through new questions in turn. To go on with a watch costs it little.
    Service,
}

/// What the times are derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutConfig {
    /// Where lists come from.
    pub source: Source,
    /// Time in which sends to a host that drains must end, from when that counts as told.
    pub drain_grace: Micros,
    /// How long a watch waits, where an operator says so. What a silent one misses is then heard later than it counts
    /// as told.
    pub wait: Option<Micros>,
}

/// The times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Where lists come from.
    pub source: Source,
    /// How long a question waits at the source for news.
    pub wait: Micros,
    /// An answer that is so much later than its wait is doubted: another question goes out beside it.
    pub response_slack: Micros,
    /// The least and the most of a pause after a question that failed.
    pub backoff: (Micros, Micros),
}

impl Timeouts {
    /// Half of the grace is left for the last step, from the list to what is being written; the other half bounds the
    /// doubt. At a service the wait is what remains after a fresh connection that hangs and an answer that takes as long
    /// as the service bears: `wait + doubt + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT <= NOTIFIED_AFTER_SILENCE + grace / 2`. What follows a
    /// question that failed has the same time, as a change counts as told so long after the service could be reached
    /// again: two pauses, as a service that comes back to many callers may refuse once more, a connection that hangs, and
    /// an answer. At an agent, where the return of the service counts as told at once, wait and doubt together stay
    /// within the grace.
    pub fn derive(config: TimeoutConfig) -> Self {
        let doubt = (config.drain_grace / 2).clamp(DOUBT.0, DOUBT.1);
        match config.source {
            Source::Agent => {
                let (derived, doubt) = (
                    (config.drain_grace / 2).clamp(AGENT_WAIT.0, AGENT_WAIT.1),
                    doubt / 2,
                );
                Timeouts {
                    source: Source::Agent,
                    wait: config.wait.unwrap_or(derived),
                    response_slack: doubt,
                    backoff: (doubt, doubt),
                }
            }
            Source::Service => {
                let spare = NOTIFIED_AFTER_SILENCE + config.drain_grace / 2
                    - CONNECT_TIMEOUT
                    - SERVICE_RESPONSE_TIMEOUT;
                let derived = spare.saturating_sub(doubt).min(NOTIFIED_AFTER_SILENCE / 3);
                let pause = (doubt.min(spare / 2), spare / 2);
                Timeouts {
                    source: Source::Service,
                    wait: config.wait.unwrap_or(derived),
                    response_slack: doubt,
                    backoff: pause,
                }
            }
        }
    }

    /// When a change that a watch misses counts as told at the earliest, after the watch's question went out and silence
    /// began `silence` later.
    pub fn earliest_notification(&self, silence: Micros) -> Micros {
        (silence + NOTIFIED_AFTER_SILENCE).max(self.wait + NOTIFIED_AFTER_WAIT)
    }

    /// When a change is heard at the latest, after the question of a watch that falls silent went out, if a fresh
    /// connection serves.
    pub fn latest_receipt(&self) -> Micros {
        self.wait + self.response_slack + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT
    }
}
