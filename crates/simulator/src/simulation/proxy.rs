//! A proxy as the decisions see it: what the program's driver keeps, without its sockets. It decides nothing.

use badgerramp_config::Config;
use badgerramp_decisions::{Balancer, CallId, CallPolicy, ClassId, Micros};
use badgerramp_gossip::peer::Peer;
use badgerramp_sim_model::{ClientRequest, Scenario};
use http::{HeaderMap, HeaderValue, Method};
use rustc_hash::FxHashMap;

/// What the operator's file makes of the requests of a class: found once, by the routes that the program has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Routed {
    pub(crate) class: ClassId,
    pub(crate) terms: CallPolicy,
    pub(crate) total: Micros,
    pub(crate) connect: Micros,
}

/// The routes of each class of a scenario.
pub(crate) fn routes(scenario: &Scenario, config: &Config) -> Result<Vec<Routed>, String> {
    let one = |class: &badgerramp_sim_model::Class| {
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
        let (_, route) = found.ok_or_else(|| format!("no route takes {path}"))?;
        let keyed = route
            .key
            .as_ref()
            .is_none_or(|key| config.routes.source_value(key, &head).is_some());
        let terms = route.timing.call_policy(!keyed);
        let (total, connect) = (route.timing.total, route.timing.connect);
        Ok(Routed {
            class: ClassId(route.class),
            terms,
            total,
            connect,
        })
    };
    scenario.classes.iter().map(one).collect()
}

/// A connection of a proxy to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) host: usize,
    /// The process that it leads to, by its start.
    pub(crate) process: Micros,
    pub(crate) opened: Micros,
    pub(crate) idle_since: Micros,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) host: usize,
    pub(crate) sent: Micros,
    pub(crate) until: Micros,
    pub(crate) start_by: Micros,
    pub(crate) started: bool,
    pub(crate) out: bool,
    pub(crate) link: Option<Link>,
    /// The job that it has become at its host.
    pub(crate) token: Option<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) ask: ClientRequest,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
}

/// What a proxy has been told of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Known {
    pub(crate) ready: bool,
    pub(crate) started: Micros,
}

pub(crate) struct Proxy {
    pub(crate) place: u32,
    pub(crate) up: bool,
    /// Counts its starts: what was on the way to an earlier one concerns nobody.
    pub(crate) epoch: u32,
    pub(crate) balancer: Balancer,
    pub(crate) calls: FxHashMap<CallId, Call>,
    pub(crate) open: usize,
    pub(crate) next_call: u64,
    pub(crate) module_due: Option<Micros>,
    pub(crate) hosts: Vec<Known>,
    pub(crate) links: FxHashMap<usize, Vec<Link>>,
    /// Version of the list that it has; None: none.
    pub(crate) version: Option<u64>,
    /// A question to the list service is on its way, and its number.
    pub(crate) asking: Option<u64>,
    pub(crate) questions: u64,
    /// The decisions have asked for the list while one was on its way.
    pub(crate) wanted: bool,
    pub(crate) sweeping: bool,
    /// Among its peers, where the scenario has them; when it is due, and messages that it has sent.
    pub(crate) peer: Option<Peer>,
    pub(crate) peer_due: Micros,
    pub(crate) letters: u64,
}

impl Proxy {
    pub(crate) fn new(place: u32, epoch: u32, balancer: Balancer, hosts: usize) -> Self {
        Proxy {
            place,
            up: true,
            epoch,
            balancer,
            calls: FxHashMap::default(),
            open: 0,
            // No number returns, also after a restart.
            next_call: u64::from(epoch) << 40,
            module_due: None,
            hosts: vec![Known::default(); hosts],
            links: FxHashMap::default(),
            version: None,
            asking: None,
            questions: 0,
            wanted: false,
            sweeping: false,
            peer: None,
            peer_due: 0,
            letters: 0,
        }
    }
}

/// The zone of each proxy: they are spread evenly over those of the hosts.
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
