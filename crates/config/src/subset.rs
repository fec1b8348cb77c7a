//! `[subset]` and `[list]`: what a proxy among many keeps and asks.

use crate::file::{Limits, Upstream};
use crate::{clients_borne, DESCRIPTORS_RESERVED};
use badgerramp_decisions::Micros;
use badgerramp_endpoint_watch::PollConfig;
use badgerramp_subset::{Instance, ResourceBounds, SubsetConfig};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{DiagnosticSink, Section};

pub(crate) const SUBSET: [&str; 12] = [
    "instance",
    "size",
    "least",
    "most",
    "own_zone",
    "load",
    "pause",
    "calm",
    "kept",
    "idle",
    "endpoints",
    "connections_per_endpoint",
];
pub(crate) const LIST: [&str; 4] = ["rate", "wait", "wait_idle", "idle_after"];

/// Largest subset that may be asked for.
const SIZE: std::ops::RangeInclusive<u64> = 2..=10_000;
/// Longest wait of a question that the protocol of the list service knows.
const WAIT: std::ops::RangeInclusive<u64> = 1_000_000..=60_000_000;
const SPAN: std::ops::RangeInclusive<u64> = 10_000..=3_600_000_000;

/// The endpoints that a proxy keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetTerms {
    /// What the subset is to be.
    pub need: SubsetConfig,
    /// Which proxy this is.
    pub instance: Instance,
    /// Idle connections kept to an endpoint.
    pub kept: usize,
    /// A connection that has been idle for this long is closed, in microseconds.
    pub idle: Micros,
    /// Endpoints that the fleet is expected to have, if the file says.
    pub endpoints: Option<usize>,
}

impl SubsetTerms {
    /// What all proxies together hold at the most, if the size of the fleet is known.
    pub fn bounds(&self, upstream: &Upstream) -> Option<ResourceBounds> {
        let named = Some(upstream.endpoints.len()).filter(|&n| n > 0);
        let endpoints = self.endpoints.or(named)?;
        Some(ResourceBounds {
            proxies: self.instance.count,
            endpoints,
            idle_connections: self.kept,
        })
    }
}

/// How the list service is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListTerms {
    /// When.
    pub poll: PollConfig,
    /// Without a call for this long a proxy is idle, in microseconds.
    pub idle_after: Micros,
}

/// Reads `[subset]` and holds what follows from it against what the file allows.
pub(crate) fn subset(
    notes: &mut DiagnosticSink,
    top: &Section<'_>,
    upstream: Option<&Upstream>,
    limits: Option<&Limits>,
) -> Option<SubsetTerms> {
    let section = top.section(notes, "subset", &SUBSET)?;
    section.require(
        notes,
        "instance",
        "the number of this proxy among all, from 0",
    );
    section.require(notes, "size", "endpoints to keep to");
    let count = upstream.map_or(1, |u| u.proxies);
    let number = section.integer(notes, "instance", 0..=u64::from(count.saturating_sub(1)));
    let size = section.integer(notes, "size", SIZE);
    let mut need = SubsetConfig::with_size(size.as_ref().map_or(2, |s| s.value as usize));
    if let Some(least) = section.integer(notes, "least", 1..=need.target_size as u64) {
        need.min_size = least.value as usize;
    }
    // Parts differ in size: one of twice the wanted size must not be cut.
    if let Some(most) = section.integer(notes, "most", 2 * need.target_size as u64..=100_000) {
        need.max_size = most.value as usize;
    }
    let own_zone = section.read(
        notes,
        "own_zone",
        "this is not a flag",
        "true or false",
        |v| v.as_bool(),
    );
    need.prefer_own_zone = own_zone.is_some_and(|o| o.value);
    if let Some(zone) = upstream
        .filter(|u| need.prefer_own_zone && u.zone.is_empty())
        .map(|u| &u.zone)
    {
        let allowed = "the proxy's zone in upstream.zone";
        notes.add(
            &section.key_path("own_zone"),
            &section.span,
            "this proxy has no zone",
            format!("{zone:?}"),
            allowed,
        );
    }
    if let Some(load) = section.number(notes, "load", 0.1..=1_000.0) {
        need.max_load_per_member = load.value;
    }
    need.growth_interval = section
        .duration(notes, "pause", SPAN)
        .map_or(need.growth_interval, |d| d.value);
    need.shrink_delay = section
        .duration(notes, "calm", SPAN)
        .map_or(need.shrink_delay, |d| d.value);
    let kept = section
        .integer(notes, "kept", 0..=64)
        .map_or(1, |k| k.value as usize);
    let idle = section
        .duration(notes, "idle", 100_000..=3_600_000_000)
        .map_or(30_000_000, |d| d.value);
    let endpoints = section
        .integer(notes, "endpoints", 1..=1_000_000)
        .map(|e| e.value as usize);
    let instance = Instance {
        number: number?.value as u32,
        count,
    };
    let terms = SubsetTerms {
        need,
        instance,
        kept,
        idle,
        endpoints,
    };
    size?;
    if let Some(limits) = limits {
        let fleet = endpoints.unwrap_or(usize::MAX);
        let held = need.max_size.min(fleet) * kept;
        let room = limits
            .descriptors
            .saturating_sub(DESCRIPTORS_RESERVED + clients_borne(limits.descriptors));
        if held > room {
            let reason = format!(
                "{} endpoints with {kept} idle connections each hold more than there is room for",
                need.max_size
            );
            let allowed =
                format!("at most {room} of limits.descriptors: a smaller `most` or `kept`");
            notes.add(
                &section.key_path("most"),
                &section.span,
                reason,
                held.to_string(),
                allowed,
            );
        }
    }
    let most = section.integer(notes, "connections_per_endpoint", 1..=10_000_000);
    if let Some(most) = most {
        let key = section.key_path("connections_per_endpoint");
        match upstream.and_then(|u| terms.bounds(u)) {
            None => {
                let reason = "this can't be checked without the size of the fleet";
                let allowed = "subset.endpoints: how many the list service names";
                notes.add(&key, &most.span, reason, "no `endpoints`", allowed);
            }
            Some(bounds) => {
                let held = bounds.max_connections_per_endpoint(&terms.need);
                if held > most.value {
                    let reason = format!(
                        "{} proxies, {} of which may come to keep to one endpoint with {} each, hold more",
                        bounds.proxies,
                        bounds.max_proxies_per_endpoint(&terms.need),
                        terms.kept
                    );
                    let allowed = format!("at least {held}, or a smaller `most` or `kept`");
                    notes.add(&key, &most.span, reason, most.value.to_string(), allowed);
                }
            }
        }
    }
    Some(terms)
}

/// Reads `[list]`.
pub(crate) fn list(
    notes: &mut DiagnosticSink,
    top: &Section<'_>,
    upstream: Option<&Upstream>,
) -> Option<ListTerms> {
    let section = top.section(notes, "list", &LIST)?;
    section.require(
        notes,
        "rate",
        "questions a second that the list service bears",
    );
    if upstream.is_some_and(|u| u.discovery.is_none()) {
        let allowed = "upstream.discovery, or no [list]";
        notes.add(
            &section.key,
            &section.span,
            "there is no list service to ask",
            "`endpoints`",
            allowed,
        );
    }
    let rate = section.number(notes, "rate", 0.1..=1e6)?;
    let wait = section
        .duration(notes, "wait", WAIT)
        .map_or(10_000_000, |w| w.value);
    let wait_idle = section
        .duration(notes, "wait_idle", WAIT)
        .map_or(60_000_000.max(wait), |w| w.value);
    let idle_after = section
        .duration(notes, "idle_after", SPAN)
        .map_or(30_000_000, |w| w.value);
    let proxies = upstream.map_or(1, |u| u.proxies);
    let poll = PollConfig {
        proxies,
        polls_per_second: rate.value,
        wait,
        idle_wait: wait_idle,
    };
    let asked = f64::from(proxies) * 1e6 / wait as f64;
    if asked > rate.value {
        let reason = format!(
            "{proxies} proxies that each ask every {} make {asked:.1} questions a second",
            format_duration(wait)
        );
        let allowed = "more, or a longer `wait`";
        notes.add(
            &section.key_path("rate"),
            &rate.span,
            reason,
            rate.value.to_string(),
            allowed,
        );
    }
    Some(ListTerms { poll, idle_after })
}
