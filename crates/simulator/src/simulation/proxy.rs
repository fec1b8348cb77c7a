//! The state that the proxy's driver keeps around the decisions, without sockets. It makes no decisions of its own.

use badgerramp_config::Config;
use badgerramp_decisions::{Balancer, CallId, CallPolicy, ClassId, Micros};
use badgerramp_gossip::peer::Peer;
use badgerramp_sim_model::{ClientRequest, Scenario};
use http::{HeaderMap, HeaderValue, Method};
use rustc_hash::FxHashMap;

/// Route and timing of a class's requests, resolved once with the proxy's own route table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassRoute {
    pub(crate) class: ClassId,
    pub(crate) policy: CallPolicy,
    pub(crate) total_timeout: Micros,
    pub(crate) connect_timeout: Micros,
}

/// Resolves the route of each class of a scenario.
///
/// # Errors
/// If no route matches a class.
pub(crate) fn routes(scenario: &Scenario, config: &Config) -> Result<Vec<ClassRoute>, String> {
    let resolve = |class: &badgerramp_sim_model::Class| {
        let path = format!("/{}", class.name);
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", HeaderValue::from_static("5c0f"));
        let client = std::net::IpAddr::from([127, 0, 0, 1]);
        let head = badgerramp_route::Head {
            method: &Method::POST,
            path: &path,
            query: "",
            headers: &headers,
            client,
        };
        let found = config.routes.find_head(&head).map_err(|e| e.to_string())?;
        let (_, route) = found.ok_or_else(|| format!("no route matches {path}"))?;
        let has_key = route
            .key
            .as_ref()
            .is_none_or(|key| config.routes.source_value(key, &head).is_some());
        let policy = route.timing.call_policy(!has_key);
        let (total_timeout, connect_timeout) = (route.timing.total, route.timing.connect);
        Ok(ClassRoute {
            class: ClassId(route.class),
            policy,
            total_timeout,
            connect_timeout,
        })
    };
    scenario.classes.iter().map(resolve).collect()
}

/// A connection of a proxy to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) host: usize,
    /// Start time of the host process at the other end.
    pub(crate) process_start: Micros,
    pub(crate) opened_at: Micros,
    pub(crate) idle_since: Micros,
}

/// An attempt of a call.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) host: usize,
    pub(crate) sent_at: Micros,
    pub(crate) deadline: Micros,
    /// Time before which the first byte must be written.
    pub(crate) start_by: Micros,
    /// Whether the request was written to the connection.
    pub(crate) started: bool,
    pub(crate) in_flight: bool,
    pub(crate) connection: Option<Connection>,
    /// Token of the attempt's job at its host.
    pub(crate) token: Option<u64>,
}

/// A call that the proxy has accepted.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: ClientRequest,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the call has its final answer, or its client has disconnected.
    pub(crate) answered: bool,
}

/// The list entry of a host, as a proxy knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownHost {
    pub(crate) ready: bool,
    pub(crate) started_at: Micros,
}

/// A proxy of a simulation run.
pub(crate) struct Proxy {
    pub(crate) index: u32,
    pub(crate) up: bool,
    /// Number of restarts. Events for an earlier process of the proxy are dropped.
    pub(crate) epoch: u32,
    pub(crate) balancer: Balancer,
    pub(crate) calls: FxHashMap<CallId, Call>,
    /// Calls without a final answer.
    pub(crate) open_calls: usize,
    pub(crate) next_call: u64,
    /// Time at which the timer of the decisions fires.
    pub(crate) timer_at: Option<Micros>,
    pub(crate) hosts: Vec<KnownHost>,
    /// Idle connections to each host.
    pub(crate) idle_connections: FxHashMap<usize, Vec<Connection>>,
    /// Version of the endpoint list that the proxy has, if any.
    pub(crate) list_version: Option<u64>,
    /// Number of the pending request to the list service, if there is one.
    pub(crate) pending_list_request: Option<u64>,
    pub(crate) list_requests: u64,
    /// Whether the decisions asked for the list while a request was pending.
    pub(crate) list_wanted: bool,
    /// Whether a sweep of the idle connections is scheduled.
    pub(crate) sweep_scheduled: bool,
    /// The gossip peer, if the scenario has gossip.
    pub(crate) peer: Option<Peer>,
    /// Time at which the peer's timer fires.
    pub(crate) peer_timer_at: Micros,
    pub(crate) gossip_messages_sent: u64,
}

impl Proxy {
    pub(crate) fn new(index: u32, epoch: u32, balancer: Balancer, hosts: usize) -> Self {
        Proxy {
            index,
            up: true,
            epoch,
            balancer,
            calls: FxHashMap::default(),
            open_calls: 0,
            // Call ids are not reused after a restart.
            next_call: u64::from(epoch) << 40,
            timer_at: None,
            hosts: vec![KnownHost::default(); hosts],
            idle_connections: FxHashMap::default(),
            list_version: None,
            pending_list_request: None,
            list_requests: 0,
            list_wanted: false,
            sweep_scheduled: false,
            peer: None,
            peer_timer_at: 0,
            gossip_messages_sent: 0,
        }
    }
}

/// The zone of a proxy. Proxies are spread evenly over the zones of the hosts.
pub fn zone(scenario: &Scenario, proxy: u32) -> &str {
    let mut zones: Vec<&str> = Vec::new();
    for host in &scenario.hosts {
        if !zones.contains(&host.zone.as_str()) {
            zones.push(&host.zone);
        }
    }
    zones
        .get(proxy as usize % zones.len().max(1))
        .copied()
        .unwrap_or_default()
}
