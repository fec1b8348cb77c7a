//! What is simulated: the fleet, the network, the list service and their faults.

use crate::polling::Mechanism;
use crate::Micros;

/// A kind of fault. Proxies are named by their position in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// These proxies have crashed; they start again at the end of the fault.
    Crash(Vec<usize>),
    /// The polls of these proxies are lost on the way to the list service.
    ServiceUnreachable(Vec<usize>),
    /// No message passes between the first so many proxies and the rest.
    Partition(usize),
    /// The list service is down: polls fail at once.
    ServiceDown,
    /// The list service answers with the list as it was so many versions ago.
    StaleService(u64),
}

/// A fault and its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// When it begins.
    pub from: Micros,
    /// When it ends.
    pub until: Micros,
}

impl Fault {
    /// Whether the fault is present at this moment.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.until
    }
}

/// A simulated fleet, its network and its list service.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Number of proxies.
    pub proxies: usize,
    /// The first so many proxies are seeds.
    pub seeds: usize,
    /// All proxies start within this time, each at a random moment.
    pub start_window: Micros,
    /// Number of hosts in the list.
    pub hosts: usize,
    /// Time that the list service works on a poll; it handles one after the other.
    pub service_time: Micros,
    /// A poll that has waited at the service for longer fails.
    pub poll_timeout: Micros,
    /// Least latency of a message.
    pub min_latency: Micros,
    /// Greatest latency of a message, unless it is delayed.
    pub max_latency: Micros,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplication: f64,
    /// Share of messages that are delayed by up to two seconds.
    pub delayed: f64,
    /// The list changes at these moments: the next host is draining, and the one before it is up again.
    pub changes: Vec<Micros>,
    /// Faults, in any order.
    pub faults: Vec<Fault>,
    /// How long the simulation runs.
    pub duration: Micros,
    /// The mechanism that is switched off.
    pub disabled: Option<Mechanism>,
}

impl Default for SimConfig {
    /// 300 proxies that start within a second, and a service that handles 125 polls a second.
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

    /// Whether the polls of this proxy are lost.
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

    /// How many versions the list service lags behind.
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
