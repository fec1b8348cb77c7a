//! Description of a simulation scenario: the load, the hosts and the faults over time.

use crate::Micros;

/// A scenario to simulate. It is independent of whether it runs in virtual time or on sockets.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario, used in reports.
    pub name: String,
    /// Length of the load phase. Calls that are open at its end still get their full deadline.
    pub duration: Micros,
    /// Number of client proxies.
    pub proxies: u32,
    /// Number of hosts that each proxy sends to; 0 means all. Simulations of the decisions alone ignore subsets.
    pub subset_size: u32,
    /// Number of proxies, counted from the first, that are gossip seeds; all proxies then gossip the endpoint list. With
    /// 0, each proxy polls the list service itself. Simulations on sockets ignore this; trials support it.
    pub gossip_seeds: u32,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Hosts, each with its own description.
    pub hosts: Vec<HostSpec>,
    /// The clients and their load.
    pub clients: ClientsSpec,
    /// Scripted requests that replace the open load, sorted by time.
    pub requests: Option<Vec<ScriptedRequest>>,
    /// The network between proxies, hosts and list service.
    pub network: NetworkSpec,
    /// The list service.
    pub list: ListSpec,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Limits that the invariant checker applies.
    pub criteria: Criteria,
}

/// The set of hosts that recognises repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts with the same [`HostSpec::group`].
    Group,
}

/// What happens if a call is executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call is idempotent: a second execution changes nothing.
    Safe,
    /// The call has an idempotency key: the hosts of `group` drop repeats within `window` of the first attempt.
    Keyed {
        /// The hosts that drop repeats.
        group: DedupGroup,
        /// Time for which repeats are dropped, in microseconds.
        window: Micros,
    },
    /// A second execution does harm.
    Unsafe,
}

/// When a call is hedged, that is, sent to a second host while the first attempt is outstanding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hedging {
    /// Calls are never hedged.
    #[default]
    Off,
    /// The hedged request is sent at the latest time at which it can still be answered in time.
    Auto,
    /// The hedged request is sent this long after the first attempt.
    After(Micros),
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class; its requests go to the path `/NAME`.
    pub name: String,
    /// Relative share of all requests; shares are normalised by their sum.
    pub share: f64,
    /// Latency within which an answer has its full weight.
    pub latency_objective: Micros,
    /// Time that a client waits for an operation, over all its tries.
    pub deadline: Micros,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective has.
    pub late_weight: f64,
    /// What a second execution does.
    pub effect: Effect,
    /// Maximum number of attempts of a call.
    pub max_attempts: u32,
    /// Time-out of one attempt; None: the time that is left to the deadline.
    pub attempt_timeout: Option<Micros>,
    /// Pause between attempts.
    pub backoff: Micros,
    /// When calls are hedged.
    pub hedging: Hedging,
    /// Minimum and maximum work of a request on a host of speed 1.
    pub work: (Micros, Micros),
}

/// The clients: an open load, which does not wait for answers before it sends the next request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsSpec {
    /// New operations per second over all proxies, not counting retries.
    pub rate: f64,
    /// Maximum number of retries by the client itself.
    pub max_retries: u32,
    /// Delay before a client's retry, unless Retry-After asks for a longer one.
    pub retry_delay: Micros,
    /// Share of the deadline that a client waits for one try.
    pub try_timeout_share: f64,
    /// Amplitude of the sinusoidal load variation as a share of the rate, and its period; 0 means constant load.
    pub load_swing: (f64, Micros),
    /// Share of the proxies that receive nine tenths of the load; 1 means even load.
    pub busy_proxy_share: f64,
    /// Share of tries whose client disconnects before its time-out and before the answer.
    pub disconnect_share: f64,
    /// Number of tenants; each request carries its tenant's number in a header. 0 means no tenants.
    pub tenants: u32,
}

/// One request of a scripted load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// Time at which the request is due.
    pub at: Micros,
    /// Proxy that receives the request.
    pub proxy: u32,
    /// Index of the request's class.
    pub class: usize,
    /// Key of the request's random streams. It stays the same when other requests are removed from the script.
    pub id: u64,
}

/// Reduced capacity of a host after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Share of the full capacity right after the start.
    pub initial_capacity: f64,
    /// Time until the host has its full capacity.
    pub warm_up: Micros,
    /// The host collapses if it is sent more than this multiple of its capacity over `collapse_window`.
    pub collapse_multiple: f64,
    /// Span over which the offered work is summed up. A host that has collapsed stays down.
    pub collapse_window: Micros,
}

/// Loss of efficiency as the number of calls in flight grows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyPenalty {
    /// Calls in flight per core up to which there is no penalty.
    pub knee: f64,
    /// Share by which each further call per core increases the work.
    pub slope: f64,
}

/// Congestion collapse: a host whose queue is too long for some time turns slow, and stays slow until it has been
/// mostly idle for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CongestionCollapse {
    /// Queued calls per core above which the collapse begins.
    pub queued_per_core: f64,
    /// Time for which the queue must be that long.
    pub onset: Micros,
    /// Factor by which work takes longer after the collapse.
    pub slowdown: f64,
    /// Time for which the host must be mostly idle to recover.
    pub recovery_idle: Micros,
}

/// Description of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Name of the host.
    pub name: String,
    /// Zone of the host.
    pub zone: String,
    /// Group of hosts that drop each other's repeats of keyed calls.
    pub group: u32,
    /// Machine kind.
    pub kind: String,
    /// Number of calls that are processed at a time.
    pub cores: u32,
    /// Number of calls that may wait; further calls are turned away without being processed.
    pub queue_capacity: u32,
    /// Speed relative to the host on which the work of the classes is stated.
    pub speed: f64,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Work to accept a new connection.
    pub connection_cost: Micros,
    /// Idle time after which the host closes a connection without notice.
    pub idle_timeout: Micros,
    /// Cold start after the host joins or restarts.
    pub cold_start: Option<ColdStart>,
    /// Penalty for many calls in flight.
    pub concurrency_penalty: Option<ConcurrencyPenalty>,
    /// Congestion collapse after long queues.
    pub congestion_collapse: Option<CongestionCollapse>,
    /// Time at which the host joins; 0: it has been running since long before the load begins.
    pub joins_at: Micros,
}

/// The network between proxies, hosts and list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSpec {
    /// Minimum and maximum one-way delay within a zone.
    pub same_zone: (Micros, Micros),
    /// Minimum and maximum one-way delay between zones.
    pub cross_zone: (Micros, Micros),
    /// Time until a lost packet is sent again for the first time.
    pub retransmit_delay: Micros,
    /// Idle time-out that proxies assume for the hosts' connections; each host has its own actual time-out.
    pub idle_timeout: Micros,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
}

/// The list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSpec {
    /// Delay between a change of a host and its appearance in the list.
    pub publish_delay: Micros,
    /// Requests that the service answers per second; further requests wait.
    pub requests_per_s: f64,
    /// Time after which a request without an answer has failed.
    pub request_timeout: Micros,
}

/// A kind of fault and the component that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The host answers a share of its requests with an error, part of them after their execution.
    Errors {
        /// Index of the host.
        host: usize,
        /// Share of requests that fail.
        share: f64,
        /// Share of the failed requests that are executed first.
        executed_share: f64,
    },
    /// The host makes no progress.
    Stall {
        /// Index of the host.
        host: usize,
    },
    /// The host's work takes longer.
    Slowdown {
        /// Index of the host.
        host: usize,
        /// Factor by which work takes longer.
        factor: f64,
    },
    /// The host resets the connections of a share of its requests, either on arrival or after the execution.
    ConnectionResets {
        /// Index of the host.
        host: usize,
        /// Share of requests whose connection is reset.
        share: f64,
        /// Share of these requests that are executed first.
        executed_share: f64,
    },
    /// A share of the host's responses is corrupt; the calls have been executed.
    CorruptResponses {
        /// Index of the host.
        host: usize,
        /// Share of responses that are corrupt.
        share: f64,
    },
    /// The host crashes; it restarts, cold, when the fault ends.
    Crash {
        /// Index of the host.
        host: usize,
    },
    /// The host drains, and is removed when the fault ends.
    Drain {
        /// Index of the host.
        host: usize,
    },
    /// No packet passes between the host and the proxies.
    Partition {
        /// Index of the host.
        host: usize,
    },
    /// All connections to the host that are open when the fault begins are half-open: dead without notice to either
    /// side.
    HalfOpen {
        /// Index of the host.
        host: usize,
    },
    /// A share of all packets is lost and retransmitted.
    PacketLoss {
        /// Share of packets.
        share: f64,
    },
    /// All network delays grow.
    NetworkDelay {
        /// Additional one-way delay.
        extra: Micros,
    },
    /// The list service does not respond.
    ListServiceSilent,
    /// The list service answers every request with an error.
    ListServiceErrors,
    /// The list service serves an older version of the list.
    ListServiceStale {
        /// Age of the list that is served.
        age: Micros,
    },
    /// The load is multiplied.
    LoadSpike {
        /// Factor on the request rate.
        factor: f64,
    },
    /// A share of the requests of a class needs more work.
    ExpensiveRequests {
        /// Index of the class.
        class: usize,
        /// Share of its requests.
        share: f64,
        /// Factor on their work.
        factor: f64,
    },
    /// A proxy crashes and restarts with nothing but its saved endpoint list.
    ProxyCrash {
        /// Number of the proxy.
        proxy: u32,
    },
}

/// A fault and the time for which it is active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Time at which the fault begins.
    pub from: Micros,
    /// Time at which the fault ends.
    pub until: Micros,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// Limits of a scenario that the invariant checker applies in addition to the fixed invariants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Criteria {
    /// Time after the notice that a host drains during which a proxy may still send to it.
    pub drain_grace: Micros,
    /// Time after the last fault by which goodput must have recovered; None: not checked.
    pub recovery_time: Option<Micros>,
    /// Goodput, as a share of the load, that counts as recovered.
    pub recovered_share: f64,
}

impl FaultKind {
    /// The index of the host that the fault affects, if it affects one.
    pub fn host(&self) -> Option<usize> {
        match *self {
            FaultKind::Errors { host, .. }
            | FaultKind::Stall { host }
            | FaultKind::Slowdown { host, .. }
            | FaultKind::ConnectionResets { host, .. }
            | FaultKind::CorruptResponses { host, .. }
            | FaultKind::Crash { host }
            | FaultKind::Drain { host }
            | FaultKind::Partition { host }
            | FaultKind::HalfOpen { host } => Some(host),
            _ => None,
        }
    }
}

impl Scenario {
    /// The time at which the last fault has ended and the last host that joins is warm.
    pub fn last_fault_end(&self) -> Micros {
        let ends = self.faults.iter().map(|f| f.until);
        let warm = self.hosts.iter().map(|h| {
            h.joins_at
                + h.cold_start
                    .filter(|_| h.joins_at > 0)
                    .map_or(0, |c| c.warm_up)
        });
        ends.chain(warm).max().unwrap_or(0)
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// The offered work divided by the capacity of all hosts, without faults. Below 1, the hosts can serve the load.
    pub fn utilisation(&self) -> f64 {
        let capacity: f64 = self
            .hosts
            .iter()
            .map(|h| f64::from(h.cores) * h.speed)
            .sum();
        let shares: f64 = self
            .classes
            .iter()
            .map(|c| c.share)
            .sum::<f64>()
            .max(f64::MIN_POSITIVE);
        let work = |c: &Class| c.share / shares * (c.work.0 + c.work.1) as f64 / 2e6;
        self.clients.rate * self.classes.iter().map(work).sum::<f64>()
            / capacity.max(f64::MIN_POSITIVE)
    }

    /// The number of scripted requests and faults: the size of a scenario that is being minimised.
    pub fn event_count(&self) -> usize {
        self.requests.as_ref().map_or(0, Vec::len) + self.faults.len()
    }
}
