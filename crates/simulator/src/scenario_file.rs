//! Scenarios as TOML: read with all mistakes told at their places, and written so that what was read comes back.

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

const FILE: [&str; 13] = [
    "name", "duration", "proxies", "subset", "peers", "clients", "class", "host", "network",
    "list", "fault", "request", "judged",
];
const CLIENTS: [&str; 9] = [
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
const CLASS: [&str; 14] = [
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
const HOST: [&str; 22] = [
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
const NETWORK: [&str; 7] = [
    "near_least",
    "near_most",
    "far_least",
    "far_most",
    "resend",
    "idle",
    "connect",
];
const LIST: [&str; 3] = ["lag", "capacity", "patience"];
const FAULT: [&str; 11] = [
    "from", "until", "trouble", "host", "proxy", "class", "share", "ran", "factor", "extra", "by",
];
const REQUEST: [&str; 4] = ["at", "proxy", "class", "id"];
const JUDGED: [&str; 3] = ["drain_grace", "recovers", "goodput"];
const TROUBLES: [&str; 17] = [
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

/// A day, in microseconds: no course is longer.
const DAY: Micros = 86_400_000_000;
const MINUTE: Micros = 60_000_000;
/// Most hosts, proxies, faults and scripted requests.
const HOSTS_MOST: usize = 20_000;
const PROXIES_MOST: u64 = 100_000;
const LIST_MOST: usize = 100_000;

/// Reads a file.
///
/// # Errors
/// All mistakes, with their places.
pub fn load(path: &Path) -> Result<Scenario, Diagnostics> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Diagnostics::unreadable(&name, &e.to_string()))?;
    parse(&name, &text)
}

/// Reads a text; `name` is what mistakes call it.
///
/// # Errors
/// All mistakes, with their places.
pub fn parse(name: &str, text: &str) -> Result<Scenario, Diagnostics> {
    let mut notes = DiagnosticSink::default();
    let table = parse_document(&mut notes, text);
    if !notes.is_empty() {
        return Err(notes.into_diagnostics(name, text));
    }
    let scenario = scenario(&mut notes, &table);
    match scenario {
        Some(scenario) if notes.is_empty() => Ok(scenario),
        _ => Err(notes.into_diagnostics(name, text)),
    }
}

/// Reads single keys of one table, with what holds where they are left out.
struct Keys<'s, 't> {
    section: &'s Section<'t>,
    notes: &'s mut DiagnosticSink,
}

impl Keys<'_, '_> {
    fn time(&mut self, name: &str, plain: Micros) -> Micros {
        self.set(|s, n| s.duration(n, name, 0..=DAY))
            .unwrap_or(plain)
    }

    fn wanted_time(&mut self, name: &str) -> Micros {
        self.section
            .require(self.notes, name, "a time with its unit, like \"250ms\"");
        self.time(name, 1)
    }

    fn number(&mut self, name: &str, range: std::ops::RangeInclusive<f64>, plain: f64) -> f64 {
        self.set(|s, n| s.number(n, name, range)).unwrap_or(plain)
    }

    fn integer(&mut self, name: &str, range: std::ops::RangeInclusive<u64>, plain: u64) -> u64 {
        self.set(|s, n| s.integer(n, name, range)).unwrap_or(plain)
    }

    fn text(&mut self, name: &str, plain: &str) -> String {
        self.set(|s, n| s.text(n, name))
            .unwrap_or_else(|| plain.to_owned())
    }

    fn set<T>(
        &mut self,
        read: impl FnOnce(&Section<'_>, &mut DiagnosticSink) -> Option<Located<T>>,
    ) -> Option<T> {
        read(self.section, self.notes).map(|s| s.value)
    }

    fn has(&self, name: &str) -> bool {
        self.section.has(name)
    }
}

fn scenario(notes: &mut DiagnosticSink, table: &DeTable<'_>) -> Option<Scenario> {
    let file = Section::new(notes, table, "", 0..0, &FILE);
    file.require(notes, "duration", "a time with its unit, like \"30s\"");
    file.require(notes, "class", "[class.NAME]: a kind of calls");
    file.require(notes, "host", "[[host]]: hosts");
    let mut keys = Keys {
        section: &file,
        notes,
    };
    let name = keys.text("name", "a scenario");
    let duration = keys.time("duration", 1);
    let proxies = keys.integer("proxies", 1..=PROXIES_MOST, 1) as u32;
    // What the operator's file allows; 0 is no subset.
    let subset = keys.integer("subset", 0..=10_000, 0) as u32;
    // Seeds, as the operator's file allows them.
    let peers = keys.integer("peers", 0..=16, 0) as u32;
    let classes = classes(keys.notes, &file);
    let hosts = hosts(keys.notes, &file);
    let empty = DeTable::new();
    // A table that is left out is one in which nothing is set.
    let part = |notes: &mut DiagnosticSink, name: &str, known: &[&str]| {
        let found = file.section(notes, name, known);
        found.unwrap_or_else(|| Section::new(notes, &empty, name, 0..0, known))
    };
    let notes = keys.notes;
    let (section, of) = (
        part(notes, "clients", &CLIENTS),
        part(notes, "network", &NETWORK),
    );
    let (clients, network) = (clients(notes, &section), network(notes, &of));
    let (section, of) = (part(notes, "list", &LIST), part(notes, "judged", &JUDGED));
    let (list, judged) = (list(notes, &section), judged(notes, &of));
    let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
    let faults = faults(notes, &file, &hosts, &names, proxies);
    let requests = file
        .has("request")
        .then(|| requests(notes, &file, &names, proxies));
    Some(Scenario {
        name,
        duration,
        proxies,
        subset_size: subset,
        gossip_seeds: peers,
        classes,
        hosts,
        clients,
        requests,
        network,
        list,
        faults,
        criteria: judged,
    })
}

fn clients(notes: &mut DiagnosticSink, section: &Section<'_>) -> ClientsSpec {
    let mut keys = Keys { section, notes };
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

fn network(notes: &mut DiagnosticSink, section: &Section<'_>) -> NetworkSpec {
    let mut keys = Keys { section, notes };
    let mut pair = |least: &str, most: &str, plain: (Micros, Micros)| {
        let low = keys.time(least, plain.0);
        (low, keys.time(most, plain.1.max(low)))
    };
    let near = pair("near_least", "near_most", (100, 300));
    let far = pair("far_least", "far_most", (1_400, 2_600));
    NetworkSpec {
        same_zone: near,
        cross_zone: far,
        retransmit_delay: keys.time("resend", 200_000),
        idle_timeout: keys.time("idle", 15_000_000),
        connect_timeout: keys.time("connect", 250_000),
    }
}

fn list(notes: &mut DiagnosticSink, section: &Section<'_>) -> ListSpec {
    let mut keys = Keys { section, notes };
    ListSpec {
        publish_delay: keys.time("lag", 1_000_000),
        requests_per_s: keys.number("capacity", 0.1..=1e9, 1_000.0),
        request_timeout: keys.time("patience", 3_500_000),
    }
}

fn judged(notes: &mut DiagnosticSink, section: &Section<'_>) -> Criteria {
    let mut keys = Keys { section, notes };
    let recovers = keys.has("recovers").then(|| keys.time("recovers", 0));
    Criteria {
        drain_grace: keys.time("drain_grace", 1_000_000),
        recovery_time: recovers,
        recovered_share: keys.number("goodput", 0.0..=1.0, 0.9),
    }
}

fn classes(notes: &mut DiagnosticSink, file: &Section<'_>) -> Vec<Class> {
    let Some(Ok(table)) = file.get("class").map(|v| v.get_ref().as_table().ok_or(())) else {
        return Vec::new();
    };
    let mut classes = Vec::new();
    for (name, value) in table.iter() {
        let key = format!("class.{}", name.get_ref());
        let Some(of) = value.get_ref().as_table() else {
            notes.add(
                &key,
                &value.span(),
                "this is not a table",
                "something else",
                format!("a table: [{key}]"),
            );
            continue;
        };
        let section = Section::new(notes, of, &key, name.span(), &CLASS);
        let mut keys = Keys {
            section: &section,
            notes,
        };
        let (aim, deadline) = (keys.wanted_time("aim"), keys.wanted_time("deadline"));
        let effect = effect(keys.notes, &section);
        let least = keys.time("work_least", 10_000);
        let attempt = keys.has("attempt").then(|| keys.time("attempt", 1));
        let copy = second_copy(keys.notes, &section);
        classes.push(Class {
            name: name.get_ref().to_string(),
            share: keys.number("share", 0.0..=1e9, 1.0),
            latency_objective: aim,
            deadline,
            priority_weight: keys.number("worth", 0.001..=1e6, 1.0),
            late_weight: keys.number("late_worth", 0.0..=1.0, 0.0),
            effect,
            max_attempts: keys.integer("attempts", 1..=10, 3) as u32,
            attempt_timeout: attempt,
            backoff: keys.time("backoff", 0),
            hedging: copy,
            work: (least, keys.time("work_most", least).max(least)),
        });
    }
    classes
}

fn effect(notes: &mut DiagnosticSink, section: &Section<'_>) -> Effect {
    section.require(notes, "effect", "\"safe\", \"keyed\" or \"unsafe\"");
    let word = section.keyword(notes, "effect", &[("safe", 0), ("keyed", 1), ("unsafe", 2)]);
    match word.map_or(2, |w| w.value) {
        0 => Effect::Safe,
        1 => {
            section.require(notes, "group", "\"all\", \"zone\" or \"group\"");
            section.require(notes, "window", "a time with its unit");
            let words = [
                ("all", DedupGroup::All),
                ("zone", DedupGroup::Zone),
                ("group", DedupGroup::Group),
            ];
            let group = section
                .keyword(notes, "group", &words)
                .map_or(DedupGroup::Group, |w| w.value);
            let window = section
                .duration(notes, "window", 1..=DAY)
                .map_or(1, |w| w.value);
            Effect::Keyed { group, window }
        }
        _ => Effect::Unsafe,
    }
}

fn second_copy(notes: &mut DiagnosticSink, section: &Section<'_>) -> Hedging {
    let reason = "this is no second copy";
    let allowed = "\"off\", \"auto\" or \"after 120ms\"";
    let read = section.read(notes, "second_copy", reason, allowed, |v| {
        match v.as_str()? {
            "off" => Some(Hedging::Off),
            "auto" => Some(Hedging::Auto),
            text => {
                badgerramp_toml_diagnostics::units::parse_duration(text.strip_prefix("after ")?)
                    .map(Hedging::After)
            }
        }
    });
    read.map_or(Hedging::Off, |r| r.value)
}

/// The tables of a list of tables.
fn tables<'t>(
    notes: &mut DiagnosticSink,
    file: &Section<'t>,
    name: &str,
    known: &[&str],
) -> Vec<Section<'t>> {
    let Some(list) = file.list(notes, name, "tables") else {
        return Vec::new();
    };
    let mut sections = Vec::new();
    if list.len() > LIST_MOST {
        let found = format!("{} of them", list.len());
        notes.add(
            name,
            &file.span,
            "these are too many",
            found,
            format!("at most {LIST_MOST}"),
        );
        return sections;
    }
    for (key, value) in list {
        match value.get_ref().as_table() {
            Some(table) => sections.push(Section::new(notes, table, &key, value.span(), known)),
            None => {
                let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
                notes.add(
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

fn hosts(notes: &mut DiagnosticSink, file: &Section<'_>) -> Vec<HostSpec> {
    let mut hosts: Vec<HostSpec> = Vec::new();
    for section in tables(notes, file, "host", &HOST) {
        let mut keys = Keys {
            section: &section,
            notes,
        };
        let count = keys.integer("count", 1..=HOSTS_MOST as u64, 1);
        let name = keys.text("name", &format!("h{}", hosts.len() + 1));
        let any = |keys: &Keys<'_, '_>, of: &[&str]| of.iter().any(|k| keys.has(k));
        let cold = any(
            &keys,
            &["cold_share", "cold_time", "fall_multiple", "fall_time"],
        )
        .then(|| ColdStart {
            initial_capacity: keys.number("cold_share", 0.01..=1.0, 0.3),
            warm_up: keys.time("cold_time", 7_500_000).max(1),
            collapse_multiple: keys.number("fall_multiple", 1.0..=100.0, 3.0),
            collapse_window: keys.time("fall_time", 2_000_000).max(1),
        });
        let crowding =
            any(&keys, &["crowding_knee", "crowding_slope"]).then(|| ConcurrencyPenalty {
                knee: keys.number("crowding_knee", 0.0..=1e6, 2.0),
                slope: keys.number("crowding_slope", 0.0..=100.0, 0.05),
            });
        let jam = any(
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
            cold_start: cold,
            concurrency_penalty: crowding,
            congestion_collapse: jam,
            joins_at: keys.time("joins", 0),
        };
        if hosts.len() + count as usize > HOSTS_MOST {
            keys.notes.add(
                &section.key_path("count"),
                &section.span,
                "these are too many hosts",
                format!("{} in all", hosts.len() + count as usize),
                format!("at most {HOSTS_MOST}"),
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
                keys.notes.add(
                    &key,
                    &section.span,
                    "two hosts have this name",
                    format!("{name:?}"),
                    "a name of its own",
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

fn place(notes: &mut DiagnosticSink, section: &Section<'_>, key: &str, names: &[&str]) -> usize {
    section.require(notes, key, &format!("the name of a {key}"));
    let Some(set) = section.text(notes, key) else {
        return 0;
    };
    names
        .iter()
        .position(|n| *n == set.value)
        .unwrap_or_else(|| {
            let allowed = suggest_names(&set.value, names);
            notes.add(
                &set.key,
                &set.span,
                format!("there is no such {key}"),
                format!("{:?}", set.value),
                allowed,
            );
            0
        })
}

fn faults(
    notes: &mut DiagnosticSink,
    file: &Section<'_>,
    hosts: &[HostSpec],
    classes: &[&str],
    proxies: u32,
) -> Vec<Fault> {
    let names: Vec<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
    let mut faults = Vec::new();
    for section in tables(notes, file, "fault", &FAULT) {
        section.require(notes, "trouble", &TROUBLES.join(", "));
        let words: Vec<(&str, &str)> = TROUBLES.iter().map(|t| (*t, *t)).collect();
        let word = section.keyword(notes, "trouble", &words).map(|w| w.value);
        let mut keys = Keys {
            section: &section,
            notes,
        };
        let from = keys.time("from", 0);
        let until = keys.time("until", DAY);
        if until < from {
            let (key, found) = (section.key_path("until"), format_duration(until));
            let allowed = format!("not before from, {}", format_duration(from));
            keys.notes.add(
                &key,
                &section.span,
                "it ends before it begins",
                found,
                allowed,
            );
        }
        let share = |keys: &mut Keys<'_, '_>| keys.number("share", 0.0..=1.0, 0.5);
        let host = |keys: &mut Keys<'_, '_>| place(keys.notes, &section, "host", &names);
        let Some(word) = word else { continue };
        let trouble = match word {
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
                class: place(keys.notes, &section, "class", classes),
                share: share(&mut keys),
                factor: keys.number("factor", 0.01..=1e4, 10.0),
            },
            _ => FaultKind::ProxyCrash {
                proxy: keys.integer("proxy", 0..=u64::from(proxies.max(1) - 1), 0) as u32,
            },
        };
        faults.push(Fault {
            from,
            until,
            kind: trouble,
        });
    }
    faults
}

fn requests(
    notes: &mut DiagnosticSink,
    file: &Section<'_>,
    classes: &[&str],
    proxies: u32,
) -> Vec<ScriptedRequest> {
    let mut requests = Vec::new();
    for (n, section) in tables(notes, file, "request", &REQUEST)
        .into_iter()
        .enumerate()
    {
        let class = place(notes, &section, "class", classes);
        let mut keys = Keys {
            section: &section,
            notes,
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

/// Writes a scenario; [`parse`] reads the same back.
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
    if let Some(recovers) = scenario.criteria.recovery_time {
        out.time("recovers", recovers);
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

struct Writer(String);

impl Writer {
    // Writing to a String does not fail.
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
    if let Some(attempt) = class.attempt_timeout {
        out.time("attempt", attempt);
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
    if let Some(cold) = host.cold_start {
        out.number("cold_share", cold.initial_capacity);
        out.time("cold_time", cold.warm_up);
        out.number("fall_multiple", cold.collapse_multiple);
        out.time("fall_time", cold.collapse_window);
    }
    if let Some(crowding) = host.concurrency_penalty {
        out.number("crowding_knee", crowding.knee);
        out.number("crowding_slope", crowding.slope);
    }
    if let Some(jam) = host.congestion_collapse {
        out.number("jam_waiting", jam.queued_per_core);
        out.time("jam_after", jam.onset);
        out.number("jam_slower", jam.slowdown);
        out.time("jam_rest", jam.recovery_idle);
    }
    out.time("joins", host.joins_at);
}

fn write_fault(out: &mut Writer, scenario: &Scenario, fault: &Fault) {
    out.table("[[fault]]");
    out.time("from", fault.from);
    out.time("until", fault.until);
    out.text("trouble", trouble_name(&fault.kind));
    if let Some(host) = fault.kind.host() {
        out.text("host", &scenario.hosts[host].name);
    }
    match fault.kind {
        FaultKind::Errors {
            share,
            executed_share: ran,
            ..
        }
        | FaultKind::ConnectionResets {
            share,
            executed_share: ran,
            ..
        } => {
            out.number("share", share);
            out.number("ran", ran);
        }
        FaultKind::CorruptResponses { share, .. } | FaultKind::PacketLoss { share } => {
            out.number("share", share)
        }
        FaultKind::Slowdown { factor, .. } | FaultKind::LoadSpike { factor } => {
            out.number("factor", factor)
        }
        FaultKind::NetworkDelay { extra } => out.time("extra", extra),
        FaultKind::ListServiceStale { age: by } => out.time("by", by),
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

/// The word for a trouble in a file.
pub fn trouble_name(trouble: &FaultKind) -> &'static str {
    match trouble {
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
