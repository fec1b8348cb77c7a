//! The interface of the decision module: settings, events, actions. Times are whole microseconds.

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// A call (one try of a client), as the proxy numbers it; no number returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A server (a process's place); it keeps its number when the process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, numbered by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A machine kind, numbered by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

/// A cell of servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Which servers drop repeats of a guarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a call of a class may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless.
    Idempotent,
    /// Harmless on the servers of `scope`, within `window` of the first attempt that may have run.
    Keyed {
        /// Who drops repeats.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Never.
    #[default]
    NonIdempotent,
}

/// What is asked of a class of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for an answer between aim and deadline.
    pub late_value: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

/// When a second copy of a call may go out while its first attempt is still out. Whether it may at all is up to
/// the class ([`Idempotency`]) and the site ([`Limits::hedging`]).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Hedge {
    /// As late as can still be in time.
    #[default]
    Auto,
    /// Never.
    Never,
    /// This long after the first attempt.
    After(Micros),
    /// After the time within which this share (0 to 1) of the class's answers come; as `Auto` until it is learned.
    Quantile(f64),
}

/// After which outcomes a call may go again, where its class lets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOn {
    /// After any.
    #[default]
    AnyFailure,
    /// Only while every attempt provably never ran.
    NotExecuted,
}

/// What an operator sets for one call. It only narrows what class and site allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Most attempts.
    pub max_attempts: u32,
    /// Longest time of one attempt.
    pub attempt_timeout: Micros,
    /// Pause between the end of one attempt and the next.
    pub backoff: Micros,
    /// Second copies.
    pub hedge: Hedge,
    /// What may be sent again.
    pub retry_on: RetryOn,
    /// It is unsafe to repeat whatever its class says: what the class goes by is missing.
    pub non_idempotent: bool,
}

impl Default for CallPolicy {
    /// Nothing is narrowed.
    fn default() -> Self {
        CallPolicy {
            max_attempts: u32::MAX,
            attempt_timeout: Micros::MAX,
            backoff: 0,
            hedge: Hedge::Auto,
            retry_on: RetryOn::AnyFailure,
            non_idempotent: false,
        }
    }
}

/// A tenant's part of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
    /// Calls a second over all balancers that are within its share; 0: not told.
    pub quota: f64,
}

/// What [`EndpointEntry::weight`] means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing.
    #[default]
    Off,
    /// The registered size of the server.
    Nominal,
    /// Its approximate size.
    Rough,
    /// Its size over its load at some recent moment.
    Live,
}

/// Where servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// Nowhere.
    #[default]
    Off,
    /// In each outcome and in each answer to a probe.
    Inline,
    /// In answers to probes only.
    OnProbe,
}

/// What a server reports of its load, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReporting {
    /// Where.
    pub mode: ReportMode,
    /// Whether [`LoadReport::in_flight`] is among the figures.
    pub includes_in_flight: bool,
}

/// Points that are taken off the result, for each unit a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
    /// Server work that gave no answer, as much as was asked for.
    pub wasted_work: f64,
    /// All worth failing only after its aim.
    pub late_failure: f64,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// A call may have two attempts out at once.
    pub hedging: bool,
    /// Most attempts for a call.
    pub max_attempts: u32,
    /// Longest advice that a client heeds; 0 where clients are given none.
    pub max_retry_after: Micros,
    /// Attempts that one connection carries at a time; 0: not told.
    pub max_streams: u32,
}

/// Figures of the rules that must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRules {
    /// A server starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// And is warm after this at the latest.
    pub slow_start_duration: Micros,
    /// Sent more than this multiple of what it can then do ...
    pub overload_multiple: f64,
    /// ... over this span, a cold server falls over.
    pub overload_duration: Micros,
    /// Latest that calls may still go to a server after word that it drains or is gone.
    pub drain_grace: Micros,
    /// Longest that a proxy may go without asking for the list.
    pub list_poll_interval: Micros,
}

/// Weights of the parts of the goal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreGoal {
    /// All calls together.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
}

/// What a balancer is told at start, and by [`Event::Reconfigure`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers send to these servers, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Smallest step of the proxy's clock.
    pub tick: Micros,
    /// Whether news of the server list must be asked for.
    pub poll_endpoint_list: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: EndpointRules,
    /// Weights of the goal.
    pub goal: ScoreGoal,
    /// What costs points.
    pub costs: Costs,
    /// What servers report.
    pub load_reporting: LoadReporting,
    /// What the list's weights mean.
    pub weight_source: WeightSource,
    /// What a call is worth beyond its tenant's share, against one within.
    pub over_share_weight: f64,
    /// Clients say which calls are repeats of theirs.
    pub clients_mark_retries: bool,
}

impl Default for Settings {
    /// One balancer, a pushed list, one class of calls that are wanted in half a second and never repeated.
    fn default() -> Self {
        let idempotency = Idempotency::NonIdempotent;
        Settings {
            balancers: 1,
            zone: ZoneId::default(),
            tick: 1_000,
            poll_endpoint_list: false,
            classes: vec![Class {
                latency_objective: 500_000,
                deadline: 1_000_000,
                priority_weight: 1.0,
                late_value: 0.0,
                idempotency,
            }],
            tenants: Vec::new(),
            limits: Limits {
                cancel: true,
                probes: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
                max_streams: 0,
            },
            rules: EndpointRules {
                slow_start_min_capacity: 0.1,
                slow_start_duration: 20_000_000,
                overload_multiple: 3.0,
                overload_duration: 2_000_000,
                drain_grace: 1_000_000,
                list_poll_interval: 10_000_000,
            },
            goal: ScoreGoal {
                overall: 1.0,
                worst_class: 0.0,
                worst_tenant: 0.0,
                worst_window: 0.0,
            },
            costs: Costs::default(),
            load_reporting: LoadReporting::default(),
            weight_source: WeightSource::default(),
            over_share_weight: 1.0,
            clients_mark_retries: false,
        }
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes calls.
    #[default]
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which server.
    pub endpoint: EndpointId,
    /// What it does.
    pub status: EndpointStatus,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// A figure to compare servers by, see [`WeightSource`]; 0 or less: not told.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started: Micros,
}

/// How much of the list a piece of news holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as the proxy last had it, maybe old.
    Cached,
    /// None: asking failed or the subscription broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen: full or draining.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke while the attempt was out.
    Reset,
    /// Called off by this balancer.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Anything else; it may have run.
    Unknown,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A server's word on its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of its cores that is busy.
    pub cpu_utilization: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// What the proxy tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy comes up. Its saved list, if any, comes next.
    Start,
    /// News of the server list.
    EndpointList {
        /// How much of it.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A call has come in.
    Request {
        /// Which.
        call: CallId,
        /// Its class.
        class: ClassId,
        /// Whose it is.
        tenant: Option<TenantId>,
        /// How long the client still waits.
        time_left: Micros,
        /// The client says that it has tried before.
        is_retry: bool,
        /// What the operator set for it.
        policy: CallPolicy,
    },
    /// An attempt is over.
    Outcome {
        /// Of which call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// Nothing more is owed for the call.
        closed: bool,
        /// The server's report.
        load: LoadReport,
    },
    /// The answer of an attempt has begun to flow; the call is bound to it.
    Streaming {
        /// Which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// A probe was answered.
    ProbeCompleted {
        /// By which server.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The server's report.
        load: LoadReport,
    },
    /// Nobody waits for this call any more.
    ClientGone {
        /// Which.
        call: CallId,
    },
    /// Other settings hold from now on. Calls that are open end under those that they came under.
    Reconfigure {
        /// All of them. A class keeps its place; one that has gone leaves its place to a copy of another.
        settings: Box<Settings>,
        /// Classes whose places meant something else before: nothing learned of those holds.
        redefined_classes: Vec<ClassId>,
    },
    /// A time asked for by [`Action::Wake`] has come.
    Timer,
}

/// What the balancer tells the proxy to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the call to a server; the first pass is attempt 0, the next 1, and so on.
    Send {
        /// Which call.
        call: CallId,
        /// To which server.
        endpoint: EndpointId,
        /// When the attempt times out (a moment); `None`: with the client's patience.
        attempt_deadline: Option<Micros>,
        /// When its first byte must be on its way (a moment): from then on the servers may have forgotten the call's
        /// key, and an attempt that still waits for its connection must not start. `None`: no such moment.
        start_by: Option<Micros>,
    },
    /// End the call unserved; it may safely come again.
    Reject {
        /// Which call.
        call: CallId,
        /// Advice when.
        retry_after: Micros,
    },
    /// End the call with an error that promises nothing.
    Fail {
        /// Which call.
        call: CallId,
    },
    /// Call off an attempt.
    Cancel {
        /// Of which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// Send a health check.
    Probe {
        /// To which server.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`] after this time.
    Wake {
        /// How long from now.
        after: Micros,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for whoever is on call.
    Log {
        /// The line.
        text: String,
    },
}

/// What a balancer knows of a server at a moment, for whoever looks on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// It takes calls, by the list.
    pub listed: bool,
    /// Attempts of this balancer's that are out there.
    pub in_flight: u32,
    /// Attempts that it may have out there when it is warm.
    pub concurrency_limit: f64,
    /// Answer times over what they may be; 1 is the limit.
    pub latency_ratio: f64,
    /// Recent share of failures, 0 to 1.
    pub failure_rate: f64,
    /// Share of its capacity that it has at the least.
    pub slow_start_capacity: f64,
    /// It is sent nothing but a trial.
    pub ejected: bool,
}
