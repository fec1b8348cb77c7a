//! `[subset]` and `[list]`: the endpoint subset of a proxy in a large fleet, and its polls of the list service.

use crate::file::Limits;
use crate::upstream::Upstream;
use crate::{max_client_connections, RESERVED_DESCRIPTORS};
use badgerramp_decisions::Micros;
use badgerramp_endpoint_watch::PollConfig;
use badgerramp_subset::{Instance, ResourceBounds, SubsetConfig};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{DiagnosticSink, Section};

pub(crate) const SUBSET_KEYS: [&str; 12] = [
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
pub(crate) const LIST_KEYS: [&str; 4] = ["rate", "wait", "wait_idle", "idle_after"];

/// Allowed values of `size`.
const SIZE_RANGE: std::ops::RangeInclusive<u64> = 2..=10_000;
/// Poll waits that the protocol of the list service supports, in microseconds.
const WAIT_RANGE: std::ops::RangeInclusive<u64> = 1_000_000..=60_000_000;
/// Allowed durations for `pause`, `calm` and `idle_after`, in microseconds.
const DURATION_RANGE: std::ops::RangeInclusive<u64> = 10_000..=3_600_000_000;

/// Settings of the endpoint subset to which a proxy sends its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Size and growth of the subset.
    pub config: SubsetConfig,
    /// Number of this proxy among all proxies.
    pub instance: Instance,
    /// Maximum number of idle connections to each endpoint (key `kept`).
    pub idle_connections: usize,
    /// Time after which an idle connection is closed, in microseconds.
    pub idle: Micros,
    /// Expected number of endpoints, if the file sets it.
    pub endpoints: Option<usize>,
}

impl SubsetSettings {
    /// Inputs for the resource bounds over all proxies, if the number of endpoints is known.
    pub fn bounds(&self, upstream: &Upstream) -> Option<ResourceBounds> {
        let listed = Some(upstream.endpoints.len()).filter(|&n| n > 0);
        let endpoints = self.endpoints.or(listed)?;
        Some(ResourceBounds {
            proxies: self.instance.count,
            endpoints,
            idle_connections: self.idle_connections,
        })
    }
}

/// Settings of polls of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSettings {
    /// Rate and waits of the polls.
    pub poll: PollConfig,
    /// A proxy that has had no call for this long is idle, in microseconds.
    pub idle_after: Micros,
}

/// Reads `[subset]` and checks that the resources it needs stay within the limits of the file.
pub(crate) fn read_subset(
    sink: &mut DiagnosticSink,
    top: &Section<'_>,
    upstream: Option<&Upstream>,
    limits: Option<&Limits>,
) -> Option<SubsetSettings> {
    let section = top.section(sink, "subset", &SUBSET_KEYS)?;
    section.require(
        sink,
        "instance",
        "the number of this proxy among all, from 0",
    );
    section.require(sink, "size", "the number of endpoints in the subset");
    let count = upstream.map_or(1, |u| u.proxies);
    let number = section.integer(sink, "instance", 0..=u64::from(count.saturating_sub(1)));
    let size = section.integer(sink, "size", SIZE_RANGE);
    let mut config = SubsetConfig::with_size(size.as_ref().map_or(2, |s| s.value as usize));
    if let Some(least) = section.integer(sink, "least", 1..=config.target_size as u64) {
        config.min_size = least.value as usize;
    }
    // Subsets differ in size: one of twice the target size must not be cut.
    if let Some(most) = section.integer(sink, "most", 2 * config.target_size as u64..=100_000) {
        config.max_size = most.value as usize;
    }
    let own_zone = section.read(
        sink,
        "own_zone",
        "this is not a flag",
        "true or false",
        |v| v.as_bool(),
    );
    config.prefer_own_zone = own_zone.is_some_and(|o| o.value);
    if let Some(zone) = upstream
        .filter(|u| config.prefer_own_zone && u.zone.is_empty())
        .map(|u| &u.zone)
    {
        let allowed = "the proxy's zone in upstream.zone";
        sink.add(
            &section.key_path("own_zone"),
            &section.span,
            "this proxy has no zone",
            format!("{zone:?}"),
            allowed,
        );
    }
    if let Some(load) = section.number(sink, "load", 0.1..=1_000.0) {
        config.max_load_per_member = load.value;
    }
    config.growth_interval = section
        .duration(sink, "pause", DURATION_RANGE)
        .map_or(config.growth_interval, |d| d.value);
    config.shrink_delay = section
        .duration(sink, "calm", DURATION_RANGE)
        .map_or(config.shrink_delay, |d| d.value);
    let idle_connections = section
        .integer(sink, "kept", 0..=64)
        .map_or(1, |k| k.value as usize);
    let idle = section
        .duration(sink, "idle", 100_000..=3_600_000_000)
        .map_or(30_000_000, |d| d.value);
    let endpoints = section
        .integer(sink, "endpoints", 1..=1_000_000)
        .map(|e| e.value as usize);
    let instance = Instance {
        number: number?.value as u32,
        count,
    };
    let settings = SubsetSettings {
        config,
        instance,
        idle_connections,
        idle,
        endpoints,
    };
    size?;
    if let Some(limits) = limits {
        let endpoint_count = endpoints.unwrap_or(usize::MAX);
        let required = config.max_size.min(endpoint_count) * idle_connections;
        let available = limits
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + max_client_connections(limits.descriptors));
        if required > available {
            let reason = format!(
                "{} endpoints with {idle_connections} idle connections each need more descriptors than there are",
                config.max_size
            );
            let allowed =
                format!("at most {available} of limits.descriptors: a smaller `most` or `kept`");
            sink.add(
                &section.key_path("most"),
                &section.span,
                reason,
                required.to_string(),
                allowed,
            );
        }
    }
    let most = section.integer(sink, "connections_per_endpoint", 1..=10_000_000);
    if let Some(most) = most {
        let key = section.key_path("connections_per_endpoint");
        match upstream.and_then(|u| settings.bounds(u)) {
            None => {
                let reason = "this can't be checked without the number of endpoints";
                let allowed = "the number of endpoints in subset.endpoints";
                sink.add(&key, &most.span, reason, "no `endpoints`", allowed);
            }
            Some(bounds) => {
                let required = bounds.max_connections_per_endpoint(&settings.config);
                if required > most.value {
                    let reason = format!(
                        "of {} proxies, up to {} may keep {} idle connections each to one endpoint, which exceeds this limit",
                        bounds.proxies,
                        bounds.max_proxies_per_endpoint(&settings.config),
                        settings.idle_connections
                    );
                    let allowed = format!("at least {required}, or a smaller `most` or `kept`");
                    sink.add(&key, &most.span, reason, most.value.to_string(), allowed);
                }
            }
        }
    }
    Some(settings)
}

/// Reads `[list]`.
pub(crate) fn read_list(
    sink: &mut DiagnosticSink,
    top: &Section<'_>,
    upstream: Option<&Upstream>,
) -> Option<ListSettings> {
    let section = top.section(sink, "list", &LIST_KEYS)?;
    section.require(
        sink,
        "rate",
        "the polls per second that the list service can serve",
    );
    if upstream.is_some_and(|u| u.discovery.is_none()) {
        let allowed = "upstream.discovery, or no [list]";
        sink.add(
            &section.key,
            &section.span,
            "there is no list service to poll",
            "`endpoints`",
            allowed,
        );
    }
    let rate = section.number(sink, "rate", 0.1..=1e6)?;
    let wait = section
        .duration(sink, "wait", WAIT_RANGE)
        .map_or(10_000_000, |w| w.value);
    let wait_idle = section
        .duration(sink, "wait_idle", WAIT_RANGE)
        .map_or(60_000_000.max(wait), |w| w.value);
    let idle_after = section
        .duration(sink, "idle_after", DURATION_RANGE)
        .map_or(30_000_000, |w| w.value);
    let proxies = upstream.map_or(1, |u| u.proxies);
    let poll = PollConfig {
        proxies,
        polls_per_second: rate.value,
        wait,
        idle_wait: wait_idle,
    };
    let poll_rate = f64::from(proxies) * 1e6 / wait as f64;
    if poll_rate > rate.value {
        let reason = format!(
            "{proxies} proxies that each poll every {} make {poll_rate:.1} polls per second",
            format_duration(wait)
        );
        let allowed = "more, or a longer `wait`";
        sink.add(
            &section.key_path("rate"),
            &rate.span,
            reason,
            rate.value.to_string(),
            allowed,
        );
    }
    Some(ListSettings { poll, idle_after })
}
