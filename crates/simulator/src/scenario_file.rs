//! Scenario files in TOML. Parsing reports all mistakes with their positions; writing a scenario and parsing it again gives
//! an equal scenario.

use badgerramp_sim_model::{
    Class, ClientsSpec, ColdStart, ConcurrencyPenalty, CongestionCollapse, Criteria, DedupGroup,
    Effect, Fault, FaultKind, Hedging, HostSpec, ListSpec, Micros, NetworkSpec, Scenario,
    ScriptedRequest,
};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{
    parse_document, suggest_names, DeTable, DiagnosticSink, Diagnostics, Located, Section,
};
use std::fmt::Write;
use std::path::Path;

/// Known keys at the top level of a scenario file. The arrays below list the known keys of its tables.
const TOP_LEVEL_KEYS: [&str; 13] = [
    "name", "duration", "proxies", "subset", "peers", "clients", "class", "host", "network",
    "list", "fault", "request", "judged",
];
const CLIENTS_KEYS: [&str; 9] = [
    "rate",
    "retries",
    "pause",
    "patience",
    "tide",
    "tide_time",
    "busy",
    "leaves",
    "tenants",
];
const CLASS_KEYS: [&str; 14] = [
    "share",
    "aim",
    "deadline",
    "worth",
    "late_worth",
    "effect",
    "group",
    "window",
    "attempts",
    "attempt",
    "backoff",
    "second_copy",
    "work_least",
    "work_most",
];
const HOST_KEYS: [&str; 22] = [
    "count",
    "name",
    "zone",
    "group",
    "kind",
    "cores",
    "waiting",
    "speed",
    "connections",
    "connection_cost",
    "idle",
    "cold_share",
    "cold_time",
    "fall_multiple",
    "fall_time",
    "crowding_knee",
    "crowding_slope",
    "jam_waiting",
    "jam_after",
    "jam_slower",
    "jam_rest",
    "joins",
];
const NETWORK_KEYS: [&str; 7] = [
    "near_least",
    "near_most",
    "far_least",
    "far_most",
    "resend",
    "idle",
    "connect",
];
const LIST_KEYS: [&str; 3] = ["lag", "capacity", "patience"];
const FAULT_KEYS: [&str; 11] = [
    "from", "until", "trouble", "host", "proxy", "class", "share", "ran", "factor", "extra", "by",
];
const REQUEST_KEYS: [&str; 4] = ["at", "proxy", "class", "id"];
const CRITERIA_KEYS: [&str; 3] = ["drain_grace", "recovers", "goodput"];
/// Names of the kinds of faults, the values of `trouble`.
const FAULT_KINDS: [&str; 17] = [
    "fails",
    "stalls",
    "slow",
    "resets",
    "spoils",
    "crash",
    "drain",
    "partition",
    "half-open",
    "loss",
    "lag",
    "list-silent",
    "list-fails",
    "list-old",
    "spike",
    "costly",
    "proxy-crash",
];

/// A day in microseconds, the maximum of all durations in a scenario.
const DAY: Micros = 86_400_000_000;
/// A minute in microseconds.
const MINUTE: Micros = 60_000_000;
/// Maximum number of hosts.
const MAX_HOSTS: usize = 20_000;
/// Maximum number of proxies.
const MAX_PROXIES: u64 = 100_000;
/// Maximum number of tables in an array, such as faults and scripted requests.
const MAX_TABLES: usize = 100_000;

/// Reads a scenario file.
///
/// # Errors
/// All mistakes, with their positions.
pub fn load(path: &Path) -> Result<Scenario, Diagnostics> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Diagnostics::unreadable(&name, &e.to_string()))?;
    parse(&name, &text)
}

/// Parses the text of a scenario file. `name` is the file name in error messages.
///
/// # Errors
/// All mistakes, with their positions.
pub fn parse(name: &str, text: &str) -> Result<Scenario, Diagnostics> {
    let mut sink = DiagnosticSink::default();
    let table = parse_document(&mut sink, text);
    if !sink.is_empty() {
        return Err(sink.into_diagnostics(name, text));
    }
    let scenario = scenario(&mut sink, &table);
    match scenario {
        Some(scenario) if sink.is_empty() => Ok(scenario),
        _ => Err(sink.into_diagnostics(name, text)),
    }
}

/// Reads the keys of a table, with default values for absent keys.
struct Keys<'s, 't> {
    section: &'s Section<'t>,
    sink: &'s mut DiagnosticSink,
}

impl Keys<'_, '_> {
    fn time(&mut self, name: &str, default: Micros) -> Micros {
        self.value(|s, n| s.duration(n, name, 0..=DAY))
            .unwrap_or(default)
    }

    fn required_time(&mut self, name: &str) -> Micros {
        self.section
            .require(self.sink, name, "a time with its unit, like \"250ms\"");
        self.time(name, 1)
    }

    fn number(&mut self, name: &str, range: std::ops::RangeInclusive<f64>, default: f64) -> f64 {
        self.value(|s, n| s.number(n, name, range))
            .unwrap_or(default)
    }

    fn integer(&mut self, name: &str, range: std::ops::RangeInclusive<u64>, default: u64) -> u64 {
        self.value(|s, n| s.integer(n, name, range))
            .unwrap_or(default)
    }

    fn text(&mut self, name: &str, default: &str) -> String {
        self.value(|s, n| s.text(n, name))
            .unwrap_or_else(|| default.to_owned())
    }

    fn value<T>(
        &mut self,
        read: impl FnOnce(&Section<'_>, &mut DiagnosticSink) -> Option<Located<T>>,
    ) -> Option<T> {
        read(self.section, self.sink).map(|located| located.value)
    }

    fn has(&self, name: &str) -> bool {
        self.section.has(name)
    }
}

fn scenario(sink: &mut DiagnosticSink, table: &DeTable<'_>) -> Option<Scenario> {
    let file = Section::new(sink, table, "", 0..0, &TOP_LEVEL_KEYS);
    file.require(sink, "duration", "a time with its unit, like \"30s\"");
    file.require(sink, "class", "at least one [class.NAME]");
    file.require(sink, "host", "at least one [[host]]");
    let mut keys = Keys {
        section: &file,
        sink,
    };
    let name = keys.text("name", "a scenario");
    let duration = keys.time("duration", 1);
    let proxies = keys.integer("proxies", 1..=MAX_PROXIES, 1) as u32;
    // The operator's file allows the same range; 0 disables subsets.
    let subset_size = keys.integer("subset", 0..=10_000, 0) as u32;
    // The operator's file allows the same number of seeds.
    let gossip_seeds = keys.integer("peers", 0..=16, 0) as u32;
    let classes = classes(keys.sink, &file);
    let hosts = hosts(keys.sink, &file);
    let empty = DeTable::new();
    // An absent table is read like an empty one.
    let table_or_empty = |sink: &mut DiagnosticSink, name: &str, known: &[&str]| {
        let found = file.section(sink, name, known);
        found.unwrap_or_else(|| Section::new(sink, &empty, name, 0..0, known))
    };
    let sink = keys.sink;
    let (clients_table, network_table) = (
        table_or_empty(sink, "clients", &CLIENTS_KEYS),
        table_or_empty(sink, "network", &NETWORK_KEYS),
    );
    let (clients, network) = (clients(sink, &clients_table), network(sink, &network_table));
    let (list_table, criteria_table) = (
        table_or_empty(sink, "list", &LIST_KEYS),
        table_or_empty(sink, "judged", &CRITERIA_KEYS),
    );
    let (list, criteria) = (list(sink, &list_table), criteria(sink, &criteria_table));
    let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
    let faults = faults(sink, &file, &hosts, &names, proxies);
    let requests = file
        .has("request")
        .then(|| requests(sink, &file, &names, proxies));
    Some(Scenario {
        name,
        duration,
        proxies,
        subset_size,
        gossip_seeds,
        classes,
        hosts,
        clients,
        requests,
        network,
        list,
        faults,
        criteria,
    })
}

fn clients(sink: &mut DiagnosticSink, section: &Section<'_>) -> ClientsSpec {
    let mut keys = Keys { section, sink };
    ClientsSpec {
        rate: keys.number("rate", 0.0..=10_000_000.0, 100.0),
        max_retries: keys.integer("retries", 0..=20, 0) as u32,
        retry_delay: keys.time("pause", 50_000),
        try_timeout_share: keys.number("patience", 0.01..=1.0, 1.0),
        load_swing: (
            keys.number("tide", 0.0..=1.0, 0.0),
            keys.time("tide_time", MINUTE),
        ),
        busy_proxy_share: keys.number("busy", 0.0001..=1.0, 1.0),
        disconnect_share: keys.number("leaves", 0.0..=1.0, 0.0),
        tenants: keys.integer("tenants", 0..=100_000, 0) as u32,
    }
}

fn network(sink: &mut DiagnosticSink, section: &Section<'_>) -> NetworkSpec {
    let mut keys = Keys { section, sink };
    let mut range = |min_key: &str, max_key: &str, default: (Micros, Micros)| {
        let min = keys.time(min_key, default.0);
        (min, keys.time(max_key, default.1.max(min)))
    };
    let same_zone = range("near_least", "near_most", (100, 300));
    let cross_zone = range("far_least", "far_most", (1_400, 2_600));
    NetworkSpec {
        same_zone,
        cross_zone,
        retransmit_delay: keys.time("resend", 200_000),
        idle_timeout: keys.time("idle", 15_000_000),
        connect_timeout: keys.time("connect", 250_000),
    }
}

fn list(sink: &mut DiagnosticSink, section: &Section<'_>) -> ListSpec {
    let mut keys = Keys { section, sink };
    ListSpec {
        publish_delay: keys.time("lag", 1_000_000),
        requests_per_s: keys.number("capacity", 0.1..=1e9, 1_000.0),
        request_timeout: keys.time("patience", 3_500_000),
    }
}

fn criteria(sink: &mut DiagnosticSink, section: &Section<'_>) -> Criteria {
    let mut keys = Keys { section, sink };
    let recovery_time = keys.has("recovers").then(|| keys.time("recovers", 0));
    Criteria {
        drain_grace: keys.time("drain_grace", 1_000_000),
        recovery_time,
        recovered_share: keys.number("goodput", 0.0..=1.0, 0.9),
    }
}

fn classes(sink: &mut DiagnosticSink, file: &Section<'_>) -> Vec<Class> {
    let Some(Ok(table)) = file.get("class").map(|v| v.get_ref().as_table().ok_or(())) else {
        return Vec::new();
    };
    let mut classes = Vec::new();
    for (name, value) in table.iter() {
        let key = format!("class.{}", name.get_ref());
        let Some(class_table) = value.get_ref().as_table() else {
            sink.add(
                &key,
                &value.span(),
                "this is not a table",
                "another type",
                format!("a table: [{key}]"),
            );
            continue;
        };
        let section = Section::new(sink, class_table, &key, name.span(), &CLASS_KEYS);
        let mut keys = Keys {
            section: &section,
            sink,
        };
        let (latency_objective, deadline) =
            (keys.required_time("aim"), keys.required_time("deadline"));
        let effect = effect(keys.sink, &section);
        let min_work = keys.time("work_least", 10_000);
        let attempt_timeout = keys.has("attempt").then(|| keys.time("attempt", 1));
        let hedging = hedging(keys.sink, &section);
        classes.push(Class {
            name: name.get_ref().to_string(),
            share: keys.number("share", 0.0..=1e9, 1.0),
            latency_objective,
            deadline,
            priority_weight: keys.number("worth", 0.001..=1e6, 1.0),
            late_weight: keys.number("late_worth", 0.0..=1.0, 0.0),
            effect,
            max_attempts: keys.integer("attempts", 1..=10, 3) as u32,
            attempt_timeout,
            backoff: keys.time("backoff", 0),
            hedging,
            work: (min_work, keys.time("work_most", min_work).max(min_work)),
        });
    }
    classes
}

fn effect(sink: &mut DiagnosticSink, section: &Section<'_>) -> Effect {
    section.require(sink, "effect", "\"safe\", \"keyed\" or \"unsafe\"");
    let keyword = section.keyword(sink, "effect", &[("safe", 0), ("keyed", 1), ("unsafe", 2)]);
    match keyword.map_or(2, |k| k.value) {
        0 => Effect::Safe,
        1 => {
            section.require(sink, "group", "\"all\", \"zone\" or \"group\"");
            section.require(sink, "window", "a time with its unit");
            let groups = [
                ("all", DedupGroup::All),
                ("zone", DedupGroup::Zone),
                ("group", DedupGroup::Group),
            ];
            let group = section
                .keyword(sink, "group", &groups)
                .map_or(DedupGroup::Group, |k| k.value);
            let window = section
                .duration(sink, "window", 1..=DAY)
                .map_or(1, |located| located.value);
            Effect::Keyed { group, window }
        }
        _ => Effect::Unsafe,
    }
}

fn hedging(sink: &mut DiagnosticSink, section: &Section<'_>) -> Hedging {
    let reason = "this does not specify hedged requests";
    let allowed = "\"off\", \"auto\" or \"after 120ms\"";
    let read = section.read(sink, "second_copy", reason, allowed, |v| {
        match v.as_str()? {
            "off" => Some(Hedging::Off),
            "auto" => Some(Hedging::Auto),
            text => {
                badgerramp_toml_diagnostics::units::parse_duration(text.strip_prefix("after ")?)
                    .map(Hedging::After)
            }
        }
    });
    read.map_or(Hedging::Off, |located| located.value)
}

/// The tables of an array of tables.
fn array_of_tables<'t>(
    sink: &mut DiagnosticSink,
    file: &Section<'t>,
    name: &str,
    known: &[&str],
) -> Vec<Section<'t>> {
    let Some(list) = file.list(sink, name, "tables") else {
        return Vec::new();
    };
    let mut sections = Vec::new();
    if list.len() > MAX_TABLES {
        let found = format!("{} tables", list.len());
        sink.add(
            name,
            &file.span,
            "too many tables",
            found,
            format!("at most {MAX_TABLES}"),
        );
        return sections;
    }
    for (key, value) in list {
        match value.get_ref().as_table() {
            Some(table) => sections.push(Section::new(sink, table, &key, value.span(), known)),
            None => {
                let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
                sink.add(
                    &key,
                    &value.span(),
                    "this is not a table",
                    found,
                    format!("a table: [[{name}]]"),
                );
            }
        }
    }
    sections
}

fn hosts(sink: &mut DiagnosticSink, file: &Section<'_>) -> Vec<HostSpec> {
    let mut hosts: Vec<HostSpec> = Vec::new();
    for section in array_of_tables(sink, file, "host", &HOST_KEYS) {
        let mut keys = Keys {
            section: &section,
            sink,
        };
        let count = keys.integer("count", 1..=MAX_HOSTS as u64, 1);
        let name = keys.text("name", &format!("h{}", hosts.len() + 1));
        let has_any = |keys: &Keys<'_, '_>, names: &[&str]| names.iter().any(|name| keys.has(name));
        let cold_start = has_any(
            &keys,
            &["cold_share", "cold_time", "fall_multiple", "fall_time"],
        )
        .then(|| ColdStart {
            initial_capacity: keys.number("cold_share", 0.01..=1.0, 0.3),
            warm_up: keys.time("cold_time", 7_500_000).max(1),
            collapse_multiple: keys.number("fall_multiple", 1.0..=100.0, 3.0),
            collapse_window: keys.time("fall_time", 2_000_000).max(1),
        });
        let concurrency_penalty =
            has_any(&keys, &["crowding_knee", "crowding_slope"]).then(|| ConcurrencyPenalty {
                knee: keys.number("crowding_knee", 0.0..=1e6, 2.0),
                slope: keys.number("crowding_slope", 0.0..=100.0, 0.05),
            });
        let congestion_collapse = has_any(
            &keys,
            &["jam_waiting", "jam_after", "jam_slower", "jam_rest"],
        )
        .then(|| CongestionCollapse {
            queued_per_core: keys.number("jam_waiting", 0.1..=1e6, 4.0),
            onset: keys.time("jam_after", 2_000_000),
            slowdown: keys.number("jam_slower", 1.0..=1e3, 2.5),
            recovery_idle: keys.time("jam_rest", 3_000_000),
        });
        let spec = HostSpec {
            name: name.clone(),
            zone: keys.text("zone", "a"),
            group: keys.integer("group", 0..=u64::from(u32::MAX), 1) as u32,
            kind: keys.text("kind", "m"),
            cores: keys.integer("cores", 1..=4_096, 4) as u32,
            queue_capacity: keys.integer("waiting", 0..=10_000_000, 64) as u32,
            speed: keys.number("speed", 0.001..=1e6, 1.0),
            max_connections: keys.integer("connections", 1..=10_000_000, 1_000_000) as u32,
            connection_cost: keys.time("connection_cost", 0),
            idle_timeout: keys.time("idle", 15_000_000),
            cold_start,
            concurrency_penalty,
            congestion_collapse,
            joins_at: keys.time("joins", 0),
        };
        if hosts.len() + count as usize > MAX_HOSTS {
            keys.sink.add(
                &section.key_path("count"),
                &section.span,
                "too many hosts",
                format!("{} hosts in total", hosts.len() + count as usize),
                format!("at most {MAX_HOSTS}"),
            );
            return hosts;
        }
        for n in 0..count {
            let name = if count == 1 {
                name.clone()
            } else {
                format!("{name}-{}", n + 1)
            };
            if hosts.iter().rev().take(4_096).any(|h| h.name == name) {
                let key = section.key_path("name");
                keys.sink.add(
                    &key,
                    &section.span,
                    "another host already has this name",
                    format!("{name:?}"),
                    "a unique name",
                );
            }
            hosts.push(HostSpec {
                name,
                ..spec.clone()
            });
        }
    }
    hosts
}

/// Reads a key whose value is one of `names`, and returns the index of that name.
fn name_index(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    key: &str,
    names: &[&str],
) -> usize {
    section.require(sink, key, &format!("the name of a {key}"));
    let Some(name) = section.text(sink, key) else {
        return 0;
    };
    names
        .iter()
        .position(|known| *known == name.value)
        .unwrap_or_else(|| {
            let allowed = suggest_names(&name.value, names);
            sink.add(
                &name.key,
                &name.span,
                format!("there is no such {key}"),
                format!("{:?}", name.value),
                allowed,
            );
            0
        })
}

fn faults(
    sink: &mut DiagnosticSink,
    file: &Section<'_>,
    hosts: &[HostSpec],
    classes: &[&str],
    proxies: u32,
) -> Vec<Fault> {
    let names: Vec<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
    let mut faults = Vec::new();
    for section in array_of_tables(sink, file, "fault", &FAULT_KEYS) {
        section.require(sink, "trouble", &FAULT_KINDS.join(", "));
        let kinds: Vec<(&str, &str)> = FAULT_KINDS.iter().map(|kind| (*kind, *kind)).collect();
        let kind_name = section.keyword(sink, "trouble", &kinds).map(|k| k.value);
        let mut keys = Keys {
            section: &section,
            sink,
        };
        let from = keys.time("from", 0);
        let until = keys.time("until", DAY);
        if until < from {
            let (key, found) = (section.key_path("until"), format_duration(until));
            let allowed = format!("at least `from`, {}", format_duration(from));
            keys.sink.add(
                &key,
                &section.span,
                "the fault ends before it begins",
                found,
                allowed,
            );
        }
        let share = |keys: &mut Keys<'_, '_>| keys.number("share", 0.0..=1.0, 0.5);
        let host = |keys: &mut Keys<'_, '_>| name_index(keys.sink, &section, "host", &names);
        let Some(kind_name) = kind_name else { continue };
        let kind = match kind_name {
            "fails" => FaultKind::Errors {
                host: host(&mut keys),
                share: share(&mut keys),
                executed_share: keys.number("ran", 0.0..=1.0, 0.5),
            },
            "resets" => FaultKind::ConnectionResets {
                host: host(&mut keys),
                share: share(&mut keys),
                executed_share: keys.number("ran", 0.0..=1.0, 0.5),
            },
            "spoils" => FaultKind::CorruptResponses {
                host: host(&mut keys),
                share: share(&mut keys),
            },
            "stalls" => FaultKind::Stall {
                host: host(&mut keys),
            },
            "slow" => FaultKind::Slowdown {
                host: host(&mut keys),
                factor: keys.number("factor", 0.01..=1e4, 3.0),
            },
            "crash" => FaultKind::Crash {
                host: host(&mut keys),
            },
            "drain" => FaultKind::Drain {
                host: host(&mut keys),
            },
            "partition" => FaultKind::Partition {
                host: host(&mut keys),
            },
            "half-open" => FaultKind::HalfOpen {
                host: host(&mut keys),
            },
            "loss" => FaultKind::PacketLoss {
                share: share(&mut keys),
            },
            "lag" => FaultKind::NetworkDelay {
                extra: keys.time("extra", 10_000),
            },
            "list-silent" => FaultKind::ListServiceSilent,
            "list-fails" => FaultKind::ListServiceErrors,
            "list-old" => FaultKind::ListServiceStale {
                age: keys.time("by", 10_000_000),
            },
            "spike" => FaultKind::LoadSpike {
                factor: keys.number("factor", 0.0..=1e3, 3.0),
            },
            "costly" => FaultKind::ExpensiveRequests {
                class: name_index(keys.sink, &section, "class", classes),
                share: share(&mut keys),
                factor: keys.number("factor", 0.01..=1e4, 10.0),
            },
            _ => FaultKind::ProxyCrash {
                proxy: keys.integer("proxy", 0..=u64::from(proxies.max(1) - 1), 0) as u32,
            },
        };
        faults.push(Fault { from, until, kind });
    }
    faults
}

fn requests(
    sink: &mut DiagnosticSink,
    file: &Section<'_>,
    classes: &[&str],
    proxies: u32,
) -> Vec<ScriptedRequest> {
    let mut requests = Vec::new();
    for (n, section) in array_of_tables(sink, file, "request", &REQUEST_KEYS)
        .into_iter()
        .enumerate()
    {
        let class = name_index(sink, &section, "class", classes);
        let mut keys = Keys {
            section: &section,
            sink,
        };
        let at = keys.time("at", 0);
        let proxy = keys.integer("proxy", 0..=u64::from(proxies.max(1) - 1), 0) as u32;
        requests.push(ScriptedRequest {
            at,
            proxy,
            class,
            id: keys.integer("id", 0..=u64::MAX >> 1, n as u64),
        });
    }
    requests.sort_by_key(|r| (r.at, r.id));
    requests
}

/// Formats a scenario as the text of a scenario file, which [`parse`] reads back to an equal scenario.
pub fn write(scenario: &Scenario) -> String {
    let mut out = Writer(String::new());
    out.text("name", &scenario.name);
    out.time("duration", scenario.duration);
    out.raw("proxies", scenario.proxies);
    out.raw("subset", scenario.subset_size);
    out.raw("peers", scenario.gossip_seeds);
    let clients = &scenario.clients;
    out.table("[clients]");
    out.number("rate", clients.rate);
    out.raw("retries", clients.max_retries);
    out.time("pause", clients.retry_delay);
    out.number("patience", clients.try_timeout_share);
    out.number("tide", clients.load_swing.0);
    out.time("tide_time", clients.load_swing.1);
    out.number("busy", clients.busy_proxy_share);
    out.number("leaves", clients.disconnect_share);
    out.raw("tenants", clients.tenants);
    let network = &scenario.network;
    out.table("[network]");
    out.time("near_least", network.same_zone.0);
    out.time("near_most", network.same_zone.1);
    out.time("far_least", network.cross_zone.0);
    out.time("far_most", network.cross_zone.1);
    out.time("resend", network.retransmit_delay);
    out.time("idle", network.idle_timeout);
    out.time("connect", network.connect_timeout);
    out.table("[list]");
    out.time("lag", scenario.list.publish_delay);
    out.number("capacity", scenario.list.requests_per_s);
    out.time("patience", scenario.list.request_timeout);
    out.table("[judged]");
    out.time("drain_grace", scenario.criteria.drain_grace);
    if let Some(recovery_time) = scenario.criteria.recovery_time {
        out.time("recovers", recovery_time);
    }
    out.number("goodput", scenario.criteria.recovered_share);
    scenario
        .classes
        .iter()
        .for_each(|c| write_class(&mut out, c));
    scenario.hosts.iter().for_each(|h| write_host(&mut out, h));
    scenario
        .faults
        .iter()
        .for_each(|f| write_fault(&mut out, scenario, f));
    for request in scenario.requests.iter().flatten() {
        out.table("[[request]]");
        out.time("at", request.at);
        out.raw("proxy", request.proxy);
        out.text("class", &scenario.classes[request.class].name);
        out.raw("id", request.id);
    }
    out.0
}

/// Writes keys and table heads as TOML.
struct Writer(String);

impl Writer {
    // Writing to a `String` never fails, so the results of `write!` are ignored.
    fn raw(&mut self, key: &str, value: impl std::fmt::Display) {
        let _ = writeln!(self.0, "{key} = {value}");
    }

    fn number(&mut self, key: &str, value: f64) {
        let _ = writeln!(self.0, "{key} = {value:?}");
    }

    fn text(&mut self, key: &str, value: &str) {
        let _ = writeln!(self.0, "{key} = {value:?}");
    }

    fn time(&mut self, key: &str, value: Micros) {
        let _ = writeln!(self.0, "{key} = \"{}\"", format_duration(value));
    }

    fn table(&mut self, head: &str) {
        let _ = write!(self.0, "\n{head}\n");
    }
}

fn write_class(out: &mut Writer, class: &Class) {
    out.table(&format!("[class.{}]", class.name));
    out.number("share", class.share);
    out.time("aim", class.latency_objective);
    out.time("deadline", class.deadline);
    out.number("worth", class.priority_weight);
    out.number("late_worth", class.late_weight);
    match class.effect {
        Effect::Safe => out.text("effect", "safe"),
        Effect::Unsafe => out.text("effect", "unsafe"),
        Effect::Keyed { group, window } => {
            out.text("effect", "keyed");
            let group = match group {
                DedupGroup::All => "all",
                DedupGroup::Zone => "zone",
                DedupGroup::Group => "group",
            };
            out.text("group", group);
            out.time("window", window);
        }
    }
    out.raw("attempts", class.max_attempts);
    if let Some(attempt_timeout) = class.attempt_timeout {
        out.time("attempt", attempt_timeout);
    }
    out.time("backoff", class.backoff);
    match class.hedging {
        Hedging::Off => out.text("second_copy", "off"),
        Hedging::Auto => out.text("second_copy", "auto"),
        Hedging::After(after) => {
            out.text("second_copy", &format!("after {}", format_duration(after)));
        }
    }
    out.time("work_least", class.work.0);
    out.time("work_most", class.work.1);
}

fn write_host(out: &mut Writer, host: &HostSpec) {
    out.table("[[host]]");
    out.text("name", &host.name);
    out.text("zone", &host.zone);
    out.raw("group", host.group);
    out.text("kind", &host.kind);
    out.raw("cores", host.cores);
    out.raw("waiting", host.queue_capacity);
    out.number("speed", host.speed);
    out.raw("connections", host.max_connections);
    out.time("connection_cost", host.connection_cost);
    out.time("idle", host.idle_timeout);
    if let Some(cold_start) = host.cold_start {
        out.number("cold_share", cold_start.initial_capacity);
        out.time("cold_time", cold_start.warm_up);
        out.number("fall_multiple", cold_start.collapse_multiple);
        out.time("fall_time", cold_start.collapse_window);
    }
    if let Some(penalty) = host.concurrency_penalty {
        out.number("crowding_knee", penalty.knee);
        out.number("crowding_slope", penalty.slope);
    }
    if let Some(collapse) = host.congestion_collapse {
        out.number("jam_waiting", collapse.queued_per_core);
        out.time("jam_after", collapse.onset);
        out.number("jam_slower", collapse.slowdown);
        out.time("jam_rest", collapse.recovery_idle);
    }
    out.time("joins", host.joins_at);
}

fn write_fault(out: &mut Writer, scenario: &Scenario, fault: &Fault) {
    out.table("[[fault]]");
    out.time("from", fault.from);
    out.time("until", fault.until);
    out.text("trouble", fault_kind_name(&fault.kind));
    if let Some(host) = fault.kind.host() {
        out.text("host", &scenario.hosts[host].name);
    }
    match fault.kind {
        FaultKind::Errors {
            share,
            executed_share,
            ..
        }
        | FaultKind::ConnectionResets {
            share,
            executed_share,
            ..
        } => {
            out.number("share", share);
            out.number("ran", executed_share);
        }
        FaultKind::CorruptResponses { share, .. } | FaultKind::PacketLoss { share } => {
            out.number("share", share);
        }
        FaultKind::Slowdown { factor, .. } | FaultKind::LoadSpike { factor } => {
            out.number("factor", factor);
        }
        FaultKind::NetworkDelay { extra } => out.time("extra", extra),
        FaultKind::ListServiceStale { age } => out.time("by", age),
        FaultKind::ExpensiveRequests {
            class,
            share,
            factor,
        } => {
            out.text("class", &scenario.classes[class].name);
            out.number("share", share);
            out.number("factor", factor);
        }
        FaultKind::ProxyCrash { proxy } => out.raw("proxy", proxy),
        FaultKind::Stall { .. }
        | FaultKind::Crash { .. }
        | FaultKind::Drain { .. }
        | FaultKind::Partition { .. }
        | FaultKind::HalfOpen { .. }
        | FaultKind::ListServiceSilent
        | FaultKind::ListServiceErrors => {}
    }
}

/// The name of a kind of fault in scenario files.
pub fn fault_kind_name(kind: &FaultKind) -> &'static str {
    match kind {
        FaultKind::Errors { .. } => "fails",
        FaultKind::Stall { .. } => "stalls",
        FaultKind::Slowdown { .. } => "slow",
        FaultKind::ConnectionResets { .. } => "resets",
        FaultKind::CorruptResponses { .. } => "spoils",
        FaultKind::Crash { .. } => "crash",
        FaultKind::Drain { .. } => "drain",
        FaultKind::Partition { .. } => "partition",
        FaultKind::HalfOpen { .. } => "half-open",
        FaultKind::PacketLoss { .. } => "loss",
        FaultKind::NetworkDelay { .. } => "lag",
        FaultKind::ListServiceSilent => "list-silent",
        FaultKind::ListServiceErrors => "list-fails",
        FaultKind::ListServiceStale { .. } => "list-old",
        FaultKind::LoadSpike { .. } => "spike",
        FaultKind::ExpensiveRequests { .. } => "costly",
        FaultKind::ProxyCrash { .. } => "proxy-crash",
    }
}
