//! The configuration of a simulation: the fleet, the network, the list service and their faults.

use crate::polling::Mechanism;
use crate::Micros;

/// A kind of fault. Proxies are identified by their position in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// These proxies crash, and start again at the end of the fault.
    Crash(Vec<usize>),
    /// The polls of these proxies are lost on the way to the list service.
    ServiceUnreachable(Vec<usize>),
    /// No message passes between this number of proxies at the start of the fleet and the rest.
    Partition(usize),
    /// The list service is down: polls fail immediately.
    ServiceDown,
    /// The list service answers with a list that is this number of versions old.
    StaleService(u64),
}

/// A fault and its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins.
    pub from: Micros,
    /// When the fault ends.
    pub until: Micros,
}

impl Fault {
    /// Whether the fault is present at this time.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.until
    }
}

/// A simulated fleet, its network and its list service.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of seeds, which are the first proxies of the fleet.
    pub seeds: usize,
    /// Each proxy starts at a random time within this window.
    pub start_window: Micros,
    /// Number of hosts in the endpoint list.
    pub hosts: usize,
    /// Time that the list service takes to handle a poll. It handles one poll at a time.
    pub service_time: Micros,
    /// Time after which a poll that waits in the service's queue fails.
    pub poll_timeout: Micros,
    /// Minimum latency of a message.
    pub min_latency: Micros,
    /// Maximum latency of a message that is not delayed.
    pub max_latency: Micros,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are duplicated.
    pub duplication: f64,
    /// Share of messages that are delayed by up to two seconds.
    pub delayed: f64,
    /// Times at which the list changes. With each change the next host is draining, and the previous one is up again.
    pub changes: Vec<Micros>,
    /// Faults, in any order. Crashes of one proxy must not overlap.
    pub faults: Vec<Fault>,
    /// Duration of the simulation.
    pub duration: Micros,
    /// The mechanism to disable, if any.
    pub disabled: Option<Mechanism>,
}

impl Default for SimConfig {
    /// 300 proxies that start within a second, and a service that handles 125 polls per second.
    fn default() -> Self {
        SimConfig {
            proxies: 300,
            seeds: 3,
            start_window: 1_000_000,
            hosts: 24,
            service_time: 8_000,
            poll_timeout: 3_000_000,
            min_latency: 100,
            max_latency: 1_000,
            loss: 0.0,
            duplication: 0.0,
            delayed: 0.0,
            changes: Vec::new(),
            faults: Vec::new(),
            duration: 10_000_000,
            disabled: None,
        }
    }
}

impl SimConfig {
    fn active_faults(&self, now: Micros) -> impl Iterator<Item = &FaultKind> {
        self.faults
            .iter()
            .filter(move |fault| fault.is_active(now))
            .map(|fault| &fault.kind)
    }

    /// Whether the list service is down.
    pub(super) fn is_service_down(&self, now: Micros) -> bool {
        self.active_faults(now)
            .any(|kind| *kind == FaultKind::ServiceDown)
    }

    /// Whether the polls of this proxy are lost on the way to the list service.
    pub(super) fn is_service_unreachable(&self, now: Micros, proxy: usize) -> bool {
        self.active_faults(now).any(
            |kind| matches!(kind, FaultKind::ServiceUnreachable(proxies) if proxies.contains(&proxy)),
        )
    }

    /// Whether messages between these proxies are lost.
    pub(super) fn is_partitioned(&self, now: Micros, from: usize, to: usize) -> bool {
        self.active_faults(now).any(
            |kind| matches!(kind, FaultKind::Partition(first) if (from < *first) != (to < *first)),
        )
    }

    /// Number of versions by which the list service's answers are out of date.
    pub(super) fn stale_versions(&self, now: Micros) -> u64 {
        self.active_faults(now)
            .map(|kind| match kind {
                FaultKind::StaleService(versions) => *versions,
                _ => 0,
            })
            .max()
            .unwrap_or(0)
    }
}
