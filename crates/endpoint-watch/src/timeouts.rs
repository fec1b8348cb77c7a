//! Timeouts of a watch, derived from the protocol's deadlines and the drain grace period.

use crate::backoff::BackoffBounds;
use crate::Micros;

/// Time after a watch went silent at which its proxy counts as notified of a change. Defined by the protocol of the
/// list service.
pub const NOTIFIED_AFTER_SILENCE: Micros = 6_000_000;
/// Minimum time after the end of a poll's wait at which a proxy whose watch went silent counts as notified of a change.
/// Defined by the protocol of the list service.
pub const NOTIFIED_AFTER_WAIT: Micros = 2_000_000;
/// Maximum time that a poll stays in the queue of the list service, which drops polls that have waited longer.
pub const SERVICE_RESPONSE_TIMEOUT: Micros = 3_000_000;
/// Maximum time to establish a connection to the source. A timeout is needed because a host that is down does not
/// refuse connections.
pub const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Maximum time to fetch the complete list: the time in the service's queue, and half a second for the transfer and the
/// processing.
pub const FETCH_TIMEOUT: Micros = SERVICE_RESPONSE_TIMEOUT + 500_000;

/// Minimum lateness of a response or a tick that is treated as a fault. A process that gets almost no processor time is
/// itself late by a little less than this.
const MIN_LATENESS_TOLERANCE: Micros = 100_000;
/// Maximum lateness of a response or a tick that is tolerated: half of the usual drain grace period.
const MAX_LATENESS_TOLERANCE: Micros = 500_000;
/// Minimum wait of a poll at an agent. Frequent polls cost the agent nothing, but the proxy should sleep between them.
const MIN_AGENT_WAIT: Micros = 100_000;
/// Maximum wait of a poll at an agent.
const MAX_AGENT_WAIT: Micros = 500_000;

/// The source of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An agent on the proxy's own machine, to which lists are pushed. It responds immediately and at no cost, and does
    /// not respond while the list service is down. A proxy counts as notified of every change that its agent has
    /// received.
    Agent,
    /// A service that all proxies share, and that handles new polls one after the other. Continuing a watch costs it
    /// little.
    Service,
}

/// Input of [`Timeouts::derive`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutConfig {
    /// The source of endpoint lists.
    pub source: Source,
    /// Time from when a proxy counts as notified that an endpoint is draining until it must have stopped sending to it.
    pub drain_grace: Micros,
    /// Wait of a poll configured by the operator instead of the derived one. With a longer wait, a proxy may receive a
    /// change that a silent watch missed only after it counts as notified of it.
    pub wait: Option<Micros>,
}

/// Timeouts of a watch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// The source of endpoint lists.
    pub source: Source,
    /// How long a poll waits at the source for a change.
    pub wait: Micros,
    /// Time after the end of a poll's wait at which its response is overdue, and a second poll is sent in parallel.
    pub response_slack: Micros,
    /// Bounds of the delay after a failed poll.
    pub backoff: BackoffBounds,
}

impl Timeouts {
    /// Derives timeouts with which a proxy receives each change before the end of the drain grace period.
    pub fn derive(config: TimeoutConfig) -> Self {
        match config.source {
            Source::Agent => Self::for_agent(config),
            Source::Service => Self::for_service(config),
        }
    }

    /// Derives the timeouts for an agent. A proxy counts as notified as soon as its agent is reachable again, so the
    /// wait and the slack together must be shorter than the grace period.
    fn for_agent(config: TimeoutConfig) -> Self {
        let derived_wait = (config.drain_grace / 2).clamp(MIN_AGENT_WAIT, MAX_AGENT_WAIT);
        let response_slack = lateness_tolerance(config.drain_grace) / 2;
        Timeouts {
            source: Source::Agent,
            wait: config.wait.unwrap_or(derived_wait),
            response_slack,
            backoff: BackoffBounds {
                min: response_slack,
                max: response_slack,
            },
        }
    }

    /// Derives the timeouts for the list service. Half of the grace period is reserved for the last step, from the
    /// accepted list to the requests being sent. After a watch went silent, the remaining time must suffice for the
    /// rest of its wait, for a new connection that takes as long as its timeout, and for a response that takes as long
    /// as the service allows:
    ///
    /// `wait + response_slack + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT <= NOTIFIED_AFTER_SILENCE + drain_grace / 2`
    ///
    /// After a failed poll the same time remains, as a proxy counts as notified [`NOTIFIED_AFTER_SILENCE`] after the
    /// service became reachable. It must suffice for two delays (a service that recovers may reject once more), a
    /// connection and a response.
    fn for_service(config: TimeoutConfig) -> Self {
        let response_slack = lateness_tolerance(config.drain_grace);
        let time_for_polls = NOTIFIED_AFTER_SILENCE + config.drain_grace / 2
            - CONNECT_TIMEOUT
            - SERVICE_RESPONSE_TIMEOUT;
        let derived_wait = time_for_polls
            .saturating_sub(response_slack)
            .min(NOTIFIED_AFTER_SILENCE / 3);
        let max_delay = time_for_polls / 2;
        Timeouts {
            source: Source::Service,
            wait: config.wait.unwrap_or(derived_wait),
            response_slack,
            backoff: BackoffBounds {
                min: response_slack.min(max_delay),
                max: max_delay,
            },
        }
    }

    /// Earliest time, counted from when a poll was sent, at which the proxy counts as notified of a change that its
    /// watch missed. `silence` is the time from when the poll was sent until the watch went silent.
    pub fn earliest_notification(&self, silence: Micros) -> Micros {
        (silence + NOTIFIED_AFTER_SILENCE).max(self.wait + NOTIFIED_AFTER_WAIT)
    }

    /// Latest time, counted from when a poll was sent, at which the proxy receives a change that its watch missed,
    /// provided that a new connection succeeds.
    pub fn latest_receipt(&self) -> Micros {
        self.wait + self.response_slack + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT
    }
}

/// Lateness of a response or a tick above which it is treated as a fault: half of the drain grace period, within
/// bounds.
pub(crate) fn lateness_tolerance(drain_grace: Micros) -> Micros {
    (drain_grace / 2).clamp(MIN_LATENESS_TOLERANCE, MAX_LATENESS_TOLERANCE)
}
