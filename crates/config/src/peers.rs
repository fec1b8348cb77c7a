//! `[peers]`: the gossip address of this proxy, and the seeds by which it finds the other proxies of its fleet.

use badgerramp_toml_diagnostics::{display_value, DiagnosticSink, Located, Section};
use std::net::SocketAddr;
use std::path::PathBuf;

const KEYS: [&str; 5] = ["listen", "advertise", "seeds", "secret", "fleet"];
/// Maximum number of seeds. It admits a file that names every proxy of a large fleet; a proxy contacts only one seed at
/// a time.
const MAX_SEEDS: usize = 4_096;
/// Maximum length of the fleet's name, in bytes.
const MAX_FLEET_NAME_BYTES: usize = 64;

/// Settings of `[peers]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersSettings {
    /// UDP address on which the proxy receives gossip.
    pub listen: SocketAddr,
    /// Address under which other proxies reach this one; `None` if that is `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of proxies that are contacted to join the fleet. They may include this proxy itself.
    pub seeds: Vec<SocketAddr>,
    /// Path of the file with the fleet's shared secret.
    pub secret: PathBuf,
    /// Name of the fleet. Proxies of different fleets ignore each other, even if they share a secret.
    pub fleet: String,
}

/// Reads the table. `has_discovery` says whether the upstream uses a list service; it is `None` if the file has no
/// upstream.
pub(crate) fn read(
    sink: &mut DiagnosticSink,
    top: &Section<'_>,
    has_discovery: Option<bool>,
) -> Option<PeersSettings> {
    let section = top.section(sink, "peers", &KEYS)?;
    section.require(
        sink,
        "listen",
        "an address and a UDP port, like \"10.0.0.4:7946\"",
    );
    section.require(
        sink,
        "seeds",
        "addresses of some proxies of the fleet, like [\"10.0.0.4:7946\"]",
    );
    section.require(
        sink,
        "secret",
        "the path of a file that only its owner may read",
    );
    section.require(sink, "fleet", "the name of the fleet, like \"cordillera\"");
    if has_discovery == Some(false) {
        let allowed = "upstream.discovery, or no [peers]";
        sink.add(
            &section.key,
            &section.span,
            "peers share the endpoint list of a list service, and there is none",
            "`endpoints`",
            allowed,
        );
    }
    if let Some((_, span, _)) = top.iter().find(|(name, ..)| *name == "list") {
        let reason = "[list] spreads polls over all proxies, but with [peers] a few proxies poll for the whole fleet";
        sink.add(
            "list",
            &span,
            reason,
            "both [list] and [peers]",
            "one of them",
        );
    }
    let listen = address(sink, &section, "listen");
    let advertise = address(sink, &section, "advertise");
    let report =
        |sink: &mut DiagnosticSink, set: &Located<SocketAddr>, reason: &str, allowed: &str| {
            sink.add(
                &set.key,
                &set.span,
                reason,
                format!("\"{}\"", set.value),
                allowed,
            );
        };
    match (&listen, &advertise) {
        (_, Some(advertised))
            if advertised.value.ip().is_unspecified() || advertised.value.port() == 0 =>
        {
            report(
                sink,
                advertised,
                "peers can't reach this address",
                "the address and port under which peers reach this proxy",
            );
        }
        (Some(listen_address), None) if listen_address.value.ip().is_unspecified() => {
            let allowed = "one address of this machine, or peers.advertise with it";
            report(
                sink,
                listen_address,
                "peers can't reach an unspecified address",
                allowed,
            );
        }
        (Some(listen_address), Some(advertised))
            if listen_address.value.is_ipv4() != advertised.value.is_ipv4() =>
        {
            report(
                sink,
                advertised,
                "the address family differs from that of peers.listen",
                "both IPv4, or both IPv6",
            );
        }
        _ => {}
    }
    let listen_is_ipv4 = listen.as_ref().map(|l| l.value.is_ipv4());
    let seeds = seeds(sink, &section, listen_is_ipv4);
    let secret = section.text(sink, "secret");
    let fleet = section.text(sink, "fleet");
    if let Some(name) = fleet
        .as_ref()
        .filter(|f| f.value.is_empty() || f.value.len() > MAX_FLEET_NAME_BYTES)
    {
        let allowed = format!("1 to {MAX_FLEET_NAME_BYTES} bytes");
        sink.add(
            &name.key,
            &name.span,
            "the name of the fleet has an invalid length",
            format!("{} bytes", name.value.len()),
            allowed,
        );
    }
    Some(PeersSettings {
        listen: listen?.value,
        advertise: advertise.map(|a| a.value),
        seeds: seeds?,
        secret: PathBuf::from(secret?.value),
        fleet: fleet?.value,
    })
}

fn address(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    key: &str,
) -> Option<Located<SocketAddr>> {
    let allowed = "an address and a port, like \"10.0.0.4:7946\"";
    section.read(sink, key, "this is not an address", allowed, |v| {
        v.as_str()?.parse().ok()
    })
}

fn seeds(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    listen_is_ipv4: Option<bool>,
) -> Option<Vec<SocketAddr>> {
    let list = section.list(sink, "seeds", "addresses, like \"10.0.0.4:7946\"")?;
    let mut all: Vec<SocketAddr> = Vec::new();
    for (key, value) in &list {
        let found: Option<SocketAddr> = value.get_ref().as_str().and_then(|text| text.parse().ok());
        let problem = match found {
            None => Some((
                "this is not an address",
                "an address and a port, like \"10.0.0.4:7946\"",
            )),
            Some(a) if a.ip().is_unspecified() || a.port() == 0 => Some((
                "peers can't reach this address",
                "the address and port of a proxy",
            )),
            Some(a) if listen_is_ipv4.is_some_and(|is_ipv4| is_ipv4 != a.is_ipv4()) => Some((
                "the address family differs from that of peers.listen",
                "both IPv4, or both IPv6",
            )),
            Some(a) if all.contains(&a) => Some(("duplicate seed", "each address once")),
            Some(_) => None,
        };
        match (problem, found) {
            (Some((reason, allowed)), _) => {
                sink.add(
                    key,
                    &value.span(),
                    reason,
                    display_value(value.get_ref()),
                    allowed,
                );
            }
            (None, found) => all.extend(found),
        }
    }
    if list.is_empty() || list.len() > MAX_SEEDS {
        let span = section
            .get("seeds")
            .map_or(section.span.clone(), |v| v.span());
        let allowed = format!("1 to {MAX_SEEDS} addresses");
        sink.add(
            &section.key_path("seeds"),
            &span,
            "invalid number of seeds",
            list.len().to_string(),
            allowed,
        );
    }
    (all.len() == list.len()).then_some(all)
}
