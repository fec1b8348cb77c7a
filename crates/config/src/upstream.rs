//! `[upstream]`: the endpoints that receive the calls, or the list service that tells them.

use crate::file::{address, check_unique};
use badgerramp_decisions::{
    self as decisions, settings, CellId, EndpointEntry, EndpointId, EndpointStatus, Micros,
};
use badgerramp_toml_diagnostics::{display_value, DeValue, DiagnosticSink, Section};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Keys of the table.
pub(crate) const UPSTREAM_KEYS: [&str; 10] = [
    "endpoints",
    "discovery",
    "zone",
    "proxies",
    "idle",
    "drain_grace",
    "cold_share",
    "cold_time",
    "fall_multiple",
    "fall_time",
];
const ENDPOINT_KEYS: [&str; 6] = ["name", "address", "zone", "group", "kind", "weight"];

/// Maximum number of endpoints that a file may name.
const MAX_ENDPOINTS: usize = 10_000;

/// Endpoints that receive the calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Endpoints that the file names; empty if there is a list service.
    pub endpoints: Vec<Endpoint>,
    /// Address of the list service.
    pub discovery: Option<SocketAddr>,
    /// Zone of this proxy; empty if it has none.
    pub zone: String,
    /// Number of proxies that send to these endpoints, including this one.
    pub proxies: u32,
    /// Time after which endpoints close an idle connection, in microseconds.
    pub idle: Micros,
    /// Parameters of draining, slow start and overload detection.
    pub rules: decisions::EndpointRules,
}

impl Upstream {
    /// Whether both upstreams have an endpoint in common, as far as the files tell: by an address or the list service.
    pub fn shares_endpoints(&self, other: &Upstream) -> bool {
        let has_address = |address| other.endpoints.iter().any(|e| e.address == address);
        self.discovery.is_some() && self.discovery == other.discovery
            || self.endpoints.iter().any(|e| has_address(e.address))
    }
}

/// An endpoint that the file names.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Socket address.
    pub address: SocketAddr,
    /// Zone; empty if it has none.
    pub zone: String,
    /// Group of endpoints that deduplicate each other's retries; 0 if it has none.
    pub group: u32,
    /// Machine kind; empty if it has none.
    pub kind: String,
    /// Capacity relative to the other endpoints.
    pub weight: f64,
}

impl Endpoint {
    /// The entry of the endpoint list that describes this endpoint.
    pub fn entry(&self, id: EndpointId) -> EndpointEntry {
        EndpointEntry {
            endpoint: id,
            status: EndpointStatus::Ready,
            zone: settings::zone_id(&self.zone),
            cell: CellId(self.group),
            kind: settings::kind_id(&self.kind),
            weight: self.weight,
            started: 0,
        }
    }
}

/// Reads the table of an upstream by itself. Other files hold such tables too.
pub fn read_upstream(
    sink: &mut DiagnosticSink,
    parent: &Section<'_>,
    name: &str,
) -> Option<Upstream> {
    let section = parent.section(sink, name, &UPSTREAM_KEYS)?;
    Some(read(sink, &section))
}

/// Reads the table `[upstream]`.
pub(crate) fn read(sink: &mut DiagnosticSink, section: &Section<'_>) -> Upstream {
    let defaults = default_upstream();
    let discovery = address(sink, section, "discovery");
    match (section.has("endpoints"), section.has("discovery")) {
        (false, false) => {
            let allowed = "`endpoints`, or the address of a list service in `discovery`";
            sink.add(
                &section.key,
                &section.span,
                "there are no endpoints to send calls to",
                "neither",
                allowed,
            );
        }
        (true, true) => {
            let span = section
                .get("discovery")
                .map_or(section.span.clone(), |v| v.span());
            let reason = "endpoints come from the file or from the list service, not from both";
            sink.add(
                &section.key_path("discovery"),
                &span,
                reason,
                "both",
                "either `endpoints` or `discovery`",
            );
        }
        _ => {}
    }
    let zone = section
        .text(sink, "zone")
        .map_or(defaults.zone, |z| z.value);
    let proxies = section
        .integer(sink, "proxies", 1..=100_000)
        .map_or(1, |p| p.value as u32);
    let idle = section
        .duration(sink, "idle", 100_000..=3_600_000_000)
        .map_or(defaults.idle, |d| d.value);
    let mut rules = defaults.rules;
    if let Some(grace) = section.duration(sink, "drain_grace", 50_000..=60_000_000) {
        rules.drain_grace = grace.value;
    }
    if let Some(share) = section.number(sink, "cold_share", 0.01..=1.0) {
        rules.slow_start_min_capacity = share.value;
    }
    if let Some(time) = section.duration(sink, "cold_time", 0..=600_000_000) {
        rules.slow_start_duration = time.value;
    }
    if let Some(multiple) = section.number(sink, "fall_multiple", 1.0..=100.0) {
        rules.overload_multiple = multiple.value;
    }
    if let Some(time) = section.duration(sink, "fall_time", 1_000..=600_000_000) {
        rules.overload_duration = time.value;
    }
    let endpoints = endpoints(sink, section);
    Upstream {
        endpoints,
        discovery,
        zone,
        proxies,
        idle,
        rules,
    }
}

fn endpoints(sink: &mut DiagnosticSink, section: &Section<'_>) -> Vec<Endpoint> {
    let Some(list) = section.list(sink, "endpoints", "endpoints") else {
        return Vec::new();
    };
    let span = section.get("endpoints").map_or(0..0, |v| v.span());
    if list.is_empty() || list.len() > MAX_ENDPOINTS {
        let found = format!("{} endpoints", list.len());
        let allowed = format!("from 1 to {MAX_ENDPOINTS}");
        sink.add(
            &section.key_path("endpoints"),
            &span,
            "invalid number of endpoints",
            found,
            allowed,
        );
    }
    let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
    let mut endpoints = Vec::new();
    for (key, value) in list {
        let DeValue::Table(table) = value.get_ref() else {
            let allowed = "{ name = \"s-1\", address = \"10.0.0.7:9000\" }";
            sink.add(
                &key,
                &value.span(),
                "this is not an endpoint",
                display_value(value.get_ref()),
                allowed,
            );
            continue;
        };
        let entry = Section::new(sink, table, &key, value.span(), &ENDPOINT_KEYS);
        entry.require(sink, "address", "an address and a port");
        let socket_address = address(sink, &entry, "address");
        let name = entry.text(sink, "name");
        let address_span = entry
            .get("address")
            .map_or(entry.span.clone(), |v| v.span());
        if let Some(socket_address) = socket_address {
            check_unique(
                sink,
                &mut addresses,
                (&entry.key_path("address"), &address_span),
                socket_address.to_string(),
                "address",
            );
        }
        if let Some(name) = &name {
            check_unique(
                sink,
                &mut names,
                (&name.key, &name.span),
                name.value.clone(),
                "name",
            );
        }
        let zone = entry
            .text(sink, "zone")
            .map_or_else(String::new, |z| z.value);
        let kind = entry
            .text(sink, "kind")
            .map_or_else(String::new, |z| z.value);
        // 0 means no group: retries of a keyed class whose scope is a group must not go to such an endpoint.
        let group = entry
            .integer(sink, "group", 1..=u64::from(u32::MAX))
            .map_or(0, |g| g.value as u32);
        let weight = entry
            .number(sink, "weight", 0.01..=1_000.0)
            .map_or(1.0, |w| w.value);
        if let Some(socket_address) = socket_address {
            let name = name.map_or_else(|| socket_address.to_string(), |n| n.value);
            endpoints.push(Endpoint {
                name,
                address: socket_address,
                zone,
                group,
                kind,
                weight,
            });
        }
    }
    endpoints
}

/// An upstream without endpoints, with the default of each setting.
pub(crate) fn default_upstream() -> Upstream {
    let rules = decisions::EndpointRules {
        slow_start_min_capacity: 0.3,
        slow_start_duration: 7_500_000,
        overload_multiple: 3.0,
        overload_duration: 2_000_000,
        ..decisions::Settings::default().rules
    };
    Upstream {
        endpoints: Vec::new(),
        discovery: None,
        zone: String::new(),
        proxies: 1,
        idle: 15_000_000,
        rules,
    }
}
