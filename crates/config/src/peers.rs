//! `[peers]`: where this proxy hears the others of its fleet, and where others may be met.

use badgerramp_toml_diagnostics::{display_value, DiagnosticSink, Located, Section};
use std::net::SocketAddr;
use std::path::PathBuf;

const KEYS: [&str; 5] = ["listen", "advertise", "seeds", "secret", "fleet"];
/// A file that names every proxy of a large fleet is allowed: only one of the seeds is spoken to at a time.
const SEEDS: usize = 4_096;
const FLEET: usize = 64;

/// What `[peers]` says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersTerms {
    /// Where it hears the others (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it; `None`: where it hears them.
    pub advertise: Option<SocketAddr>,
    /// Where others may be met. A proxy may find itself among them.
    pub seeds: Vec<SocketAddr>,
    /// The file with the secret that the fleet shares.
    pub secret: PathBuf,
    /// The fleet's name: proxies of another one are strangers, also with the same secret.
    pub fleet: String,
}

/// Reads the table; `asks`: there is a list service, if there is an upstream at all.
pub(crate) fn read(
    notes: &mut DiagnosticSink,
    top: &Section<'_>,
    asks: Option<bool>,
) -> Option<PeersTerms> {
    let section = top.section(notes, "peers", &KEYS)?;
    section.require(
        notes,
        "listen",
        "an address and a UDP port, like \"10.0.0.4:7946\"",
    );
    section.require(
        notes,
        "seeds",
        "addresses of some proxies of the fleet, like [\"10.0.0.4:7946\"]",
    );
    section.require(
        notes,
        "secret",
        "the path of a file that only its owner may read",
    );
    section.require(notes, "fleet", "the name of the fleet, like \"cordillera\"");
    if asks == Some(false) {
        let allowed = "upstream.discovery, or no [peers]";
        notes.add(
            &section.key,
            &section.span,
            "there is no list to pass on",
            "`endpoints`",
            allowed,
        );
    }
    if let Some((_, span, _)) = top.iter().find(|(name, ..)| *name == "list") {
        let reason = "with [peers] a few proxies ask for all, and no turns are taken";
        notes.add(
            "list",
            &span,
            reason,
            "both [list] and [peers]",
            "one of them",
        );
    }
    let listen = address(notes, &section, "listen");
    let advertise = address(notes, &section, "advertise");
    let reached =
        |notes: &mut DiagnosticSink, set: &Located<SocketAddr>, reason: &str, allowed: &str| {
            notes.add(
                &set.key,
                &set.span,
                reason,
                format!("\"{}\"", set.value),
                allowed,
            );
        };
    match (&listen, &advertise) {
        (_, Some(told)) if told.value.ip().is_unspecified() || told.value.port() == 0 => {
            reached(
                notes,
                told,
                "nobody can be reached there",
                "the address and port that others reach",
            );
        }
        (Some(own), None) if own.value.ip().is_unspecified() => {
            let allowed = "one address of this machine, or peers.advertise with it";
            reached(
                notes,
                own,
                "others can't be told where this proxy is",
                allowed,
            );
        }
        (Some(own), Some(told)) if own.value.is_ipv4() != told.value.is_ipv4() => {
            reached(
                notes,
                told,
                "not of the family of peers.listen",
                "both IPv4, or both IPv6",
            );
        }
        _ => {}
    }
    let family = listen.as_ref().map(|l| l.value.is_ipv4());
    let seeds = seeds(notes, &section, family);
    let secret = section.text(notes, "secret");
    let fleet = section.text(notes, "fleet");
    if let Some(name) = fleet
        .as_ref()
        .filter(|f| f.value.is_empty() || f.value.len() > FLEET)
    {
        let allowed = format!("1 to {FLEET} bytes");
        notes.add(
            &name.key,
            &name.span,
            "no name",
            format!("{} bytes", name.value.len()),
            allowed,
        );
    }
    Some(PeersTerms {
        listen: listen?.value,
        advertise: advertise.map(|a| a.value),
        seeds: seeds?,
        secret: PathBuf::from(secret?.value),
        fleet: fleet?.value,
    })
}

fn address(
    notes: &mut DiagnosticSink,
    section: &Section<'_>,
    key: &str,
) -> Option<Located<SocketAddr>> {
    let allowed = "an address and a port, like \"10.0.0.4:7946\"";
    section.read(notes, key, "this is no address", allowed, |v| {
        v.as_str()?.parse().ok()
    })
}

fn seeds(
    notes: &mut DiagnosticSink,
    section: &Section<'_>,
    family: Option<bool>,
) -> Option<Vec<SocketAddr>> {
    let list = section.list(notes, "seeds", "addresses, like \"10.0.0.4:7946\"")?;
    let mut all: Vec<SocketAddr> = Vec::new();
    for (key, value) in &list {
        let found: Option<SocketAddr> = value.get_ref().as_str().and_then(|text| text.parse().ok());
        let wrong = match found {
            None => Some((
                "this is no address",
                "an address and a port, like \"10.0.0.4:7946\"",
            )),
            Some(a) if a.ip().is_unspecified() || a.port() == 0 => Some((
                "nobody can be reached there",
                "the address and port of a proxy",
            )),
            Some(a) if family.is_some_and(|four| four != a.is_ipv4()) => Some((
                "not of the family of peers.listen",
                "both IPv4, or both IPv6",
            )),
            Some(a) if all.contains(&a) => {
                Some(("this seed stands here twice", "each address once"))
            }
            Some(_) => None,
        };
        match (wrong, found) {
            (Some((reason, allowed)), _) => {
                notes.add(
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
    if list.is_empty() || list.len() > SEEDS {
        let span = section
            .get("seeds")
            .map_or(section.span.clone(), |v| v.span());
        let allowed = format!("1 to {SEEDS} addresses");
        notes.add(
            &section.key_path("seeds"),
            &span,
            "so many seeds can't be",
            list.len().to_string(),
            allowed,
        );
    }
    (all.len() == list.len()).then_some(all)
}
