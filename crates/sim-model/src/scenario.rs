//! What is played: who is there, who asks for what, and what goes wrong when.

use crate::Micros;

/// A course to be played. It says nothing of how: in virtual time or on sockets.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// Load comes for this long; what is open then has its time.
    pub duration: Micros,
    /// Client proxies.
    pub proxies: u32,
    /// Hosts that each proxy keeps to; 0: all. The play on the decisions alone knows no subsets.
    pub subset_size: u32,
    /// The first so many proxies are seeds, and all pass the list on among each other; 0: each asks for itself. The
    /// plays on sockets know no peers: a trial does.
    pub gossip_seeds: u32,
    /// Kinds of calls.
    pub classes: Vec<Class>,
    /// Hosts, each for itself.
    pub hosts: Vec<HostSpec>,
    /// Who asks.
    pub clients: ClientsSpec,
    /// Requests one by one, in place of the open load; sorted by time.
    pub requests: Option<Vec<ScriptedRequest>>,
    /// The way between all of them.
    pub network: NetworkSpec,
    /// The list service.
    pub list: ListSpec,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// What the judges hold it to.
    pub criteria: Criteria,
}

/// Who drops repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one group.
    Group,
}

/// What running a call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Nothing at the hosts of `group`, within `window` of the first.
    Keyed {
        /// Who drops repeats.
        group: DedupGroup,
        /// For how long, in microseconds.
        window: Micros,
    },
    /// Harm.
    Unsafe,
}

/// When a second copy may go out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hedging {
    /// Never.
    #[default]
    Off,
    /// As late as can be in time.
    Auto,
    /// This long after the first.
    After(Micros),
}

/// A kind of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name; its requests go to `/NAME`.
    pub name: String,
    /// Share of all requests; shares are taken against their sum.
    pub share: f64,
    /// An answer is wanted within this.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for an answer after the aim.
    pub late_weight: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Most attempts of a call.
    pub max_attempts: u32,
    /// Longest time of an attempt; None: what is left.
    pub attempt_timeout: Option<Micros>,
    /// Pause between attempts.
    pub backoff: Micros,
    /// Second copies.
    pub hedging: Hedging,
    /// Work of a request on a host of speed 1: from, to.
    pub work: (Micros, Micros),
}

/// Who asks: open load, which does not wait for answers.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsSpec {
    /// First tries a second over all proxies.
    pub rate: f64,
    /// How often a client tries again by itself.
    pub max_retries: u32,
    /// Its pause before that, if it is not told a longer one.
    pub retry_delay: Micros,
    /// Share of the deadline that it gives one try.
    pub try_timeout_share: f64,
    /// Swing of the load as a share of it, and the time of one swing; 0: even.
    pub load_swing: (f64, Micros),
    /// Share of the proxies that get most (nine tenths) of the load; 1: all alike.
    pub busy_proxy_share: f64,
    /// Share of tries whose client leaves before its time, without its answer.
    pub disconnect_share: f64,
    /// Tenants, by whose number a request bears a header; 0: none.
    pub tenants: u32,
}

/// One request of a scripted load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// When it is due.
    pub at: Micros,
    /// At which proxy.
    pub proxy: u32,
    /// Place of its class.
    pub class: usize,
    /// Its name in all draws. It stays when others are taken out.
    pub id: u64,
}

/// A cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Share of its capacity at first.
    pub initial_capacity: f64,
    /// Warm after this.
    pub warm_up: Micros,
    /// Sent more than this multiple of what it can do ...
    pub collapse_multiple: f64,
    /// ... over this span, it falls over and stays down.
    pub collapse_window: Micros,
}

/// Efficiency that falls with what is in hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyPenalty {
    /// Calls in hand for each core that cost nothing extra.
    pub knee: f64,
    /// What each further one for each core adds to the work, as a share.
    pub slope: f64,
}

/// A host that has far too much waiting for a while turns slow and stays so until it has rested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CongestionCollapse {
    /// Waiting calls for each core.
    pub queued_per_core: f64,
    /// For how long.
    pub onset: Micros,
    /// Then it takes so many times as long.
    pub slowdown: f64,
    /// Until it has been mostly idle for this long.
    pub recovery_idle: Micros,
}

/// A host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its group of hosts that drop each other's repeats.
    pub group: u32,
    /// Its machine kind.
    pub kind: String,
    /// Calls that it works on at a time.
    pub cores: u32,
    /// Calls that may wait; more are turned away unseen.
    pub queue_capacity: u32,
    /// Its speed against the yardstick of the classes' work.
    pub speed: f64,
    /// Connections that it takes.
    pub max_connections: u32,
    /// Work that a new connection costs it.
    pub connection_cost: Micros,
    /// It closes a connection that has been idle for this long, without a word ahead.
    pub idle_timeout: Micros,
    /// Its cold start; it has one when it joins or comes back.
    pub cold_start: Option<ColdStart>,
    /// What crowding costs it.
    pub concurrency_penalty: Option<ConcurrencyPenalty>,
    /// What long queues do to it.
    pub congestion_collapse: Option<CongestionCollapse>,
    /// When it joins; 0: it was there long before.
    pub joins_at: Micros,
}

/// The way between proxies, hosts and list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSpec {
    /// One way within a zone: from, to.
    pub same_zone: (Micros, Micros),
    /// One way between zones: from, to.
    pub cross_zone: (Micros, Micros),
    /// What a lost packet costs: the time until it is sent again.
    pub retransmit_delay: Micros,
    /// How long hosts are said to keep an idle connection; what each does is its own.
    pub idle_timeout: Micros,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
}

/// The list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSpec {
    /// From a change until it is listed.
    pub publish_delay: Micros,
    /// Questions a second that it answers; the rest wait.
    pub requests_per_s: f64,
    /// A question that is not answered by then has failed.
    pub request_timeout: Micros,
}

/// What goes wrong with whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The host fails this share of its requests at once, `ran` of those after they ran.
    Errors {
        /// Place of the host.
        host: usize,
        /// Share of its requests.
        share: f64,
        /// Share of those that ran first.
        executed_share: f64,
    },
    /// It stands still.
    Stall {
        /// Place of the host.
        host: usize,
    },
    /// Its work takes so many times as long.
    Slowdown {
        /// Place of the host.
        host: usize,
        /// Times.
        factor: f64,
    },
    /// It breaks this share of its connections when the work is done, or before (`ran` as in `Fails`).
    ConnectionResets {
        /// Place of the host.
        host: usize,
        /// Share of its requests.
        share: f64,
        /// Share of those that ran first.
        executed_share: f64,
    },
    /// This share of its answers is spoilt after the call ran: nothing that can be used comes back.
    CorruptResponses {
        /// Place of the host.
        host: usize,
        /// Share of its answers.
        share: f64,
    },
    /// It dies and comes back, cold, when the trouble ends.
    Crash {
        /// Place of the host.
        host: usize,
    },
    /// It drains, and has gone when the trouble ends.
    Drain {
        /// Place of the host.
        host: usize,
    },
    /// Nothing passes between it and the proxies.
    Partition {
        /// Place of the host.
        host: usize,
    },
    /// All connections to it that are open at the start are dead, and neither side is told.
    HalfOpen {
        /// Place of the host.
        host: usize,
    },
    /// This share of all packets is lost once.
    PacketLoss {
        /// Share of packets.
        share: f64,
    },
    /// All ways take so much longer.
    NetworkDelay {
        /// One way.
        extra: Micros,
    },
    /// The list service says nothing.
    ListServiceSilent,
    /// It fails all that it is asked.
    ListServiceErrors,
    /// It has gone back to an older list, and tells that.
    ListServiceStale {
        /// By how much.
        age: Micros,
    },
    /// So many times the load comes.
    LoadSpike {
        /// Times.
        factor: f64,
    },
    /// This share of a class's requests costs so many times the work.
    ExpensiveRequests {
        /// Place of the class.
        class: usize,
        /// Share of its requests.
        share: f64,
        /// Times.
        factor: f64,
    },
    /// A proxy dies and comes back, knowing nothing but its saved list.
    ProxyCrash {
        /// Which.
        proxy: u32,
    },
}

/// A trouble and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// It begins.
    pub from: Micros,
    /// It ends.
    pub until: Micros,
    /// What it is.
    pub kind: FaultKind,
}

/// What the judges hold a course to, beside the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Criteria {
    /// Latest that something may go to a host after word that it drains.
    pub drain_grace: Micros,
    /// Goodput is back this long after the last fault ...
    pub recovery_time: Option<Micros>,
    /// ... at this share of what was asked.
    pub recovered_share: f64,
}

impl FaultKind {
    /// The host that it concerns, if it is one.
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
    /// The last moment at which a fault still holds.
    pub fn last_fault_end(&self) -> Micros {
        let ends = self.faults.iter().map(|f| f.until);
        let joins = self.hosts.iter().map(|h| {
            h.joins_at
                + h.cold_start
                    .filter(|_| h.joins_at > 0)
                    .map_or(0, |c| c.warm_up)
        });
        ends.chain(joins).max().unwrap_or(0)
    }

    /// The longest that any client waits.
    pub fn max_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// Work a second that all hosts can do, against what is asked, without faults: under 1 they bear it.
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

    /// Requests and faults: what a schedule that is cut down is counted by.
    pub fn event_count(&self) -> usize {
        self.requests.as_ref().map_or(0, Vec::len) + self.faults.len()
    }
}
