//! `[policy]`: the control plane of the fleet's policy, the identity of this proxy there, and what the proxy does when
//! its lease expires.

use badgerramp_policy::regions::Region;
use badgerramp_policy::OnLeaseLoss;
use badgerramp_toml_diagnostics::{display_value, DiagnosticSink, Section};
use std::net::SocketAddr;
use std::path::PathBuf;

const KEYS: [&str; 8] = [
    "control",
    "secret",
    "application",
    "name",
    "region",
    "cut_off",
    "floor",
    "state",
];
/// The names that a region may have, as shown in diagnostics. [`Region`] validates them.
const REGION_NAMES: &str = "1 to 63 of a-z, 0-9, '-' and '_', the first one a letter";
/// Maximum number of control plane replicas.
const MAX_REPLICAS: usize = 5;

/// Settings of `[policy]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Addresses of the control plane's replicas.
    pub control: Vec<SocketAddr>,
    /// Path of the file with the fleet's shared secret.
    pub secret: PathBuf,
    /// Application whose file of the policy this proxy applies.
    pub application: String,
    /// Name of the proxy; `None` if it is the machine's name.
    pub name: Option<String>,
    /// Region of the control plane; `None` accepts the region that the replicas in `control` report.
    pub region: Option<Region>,
    /// What the proxy does when its lease has expired (key `cut_off`).
    pub on_lease_loss: OnLeaseLoss,
    /// Classes whose calls are still admitted without a lease if `cut_off` is `narrow` (key `floor`).
    pub fallback_classes: Vec<String>,
    /// Directory for a copy of the last policy, which saves its transfer after a restart. The copy alone does not
    /// entitle the proxy to serve: it still needs a lease.
    pub state: Option<PathBuf>,
}

/// Reads the table. `classes` holds the names of the file's classes.
pub(crate) fn read(
    sink: &mut DiagnosticSink,
    top: &Section<'_>,
    classes: &[&str],
) -> Option<PolicySettings> {
    let section = top.section(sink, "policy", &KEYS)?;
    section.require(
        sink,
        "control",
        "a list of one, three or five addresses, like [\"127.0.0.1:7400\"]",
    );
    section.require(
        sink,
        "secret",
        "the path of a file that only its owner may read",
    );
    section.require(
        sink,
        "application",
        "the name of the application, as its file is called in the policy",
    );
    let control = replica_addresses(sink, &section);
    let secret = section.text(sink, "secret");
    let application = section.text(sink, "application");
    let name = section.text(sink, "name").map(|n| n.value);
    let region = region(sink, &section);
    let keywords = [
        ("refuse", OnLeaseLoss::Reject),
        ("narrow", OnLeaseLoss::Fallback),
        ("keep", OnLeaseLoss::Keep),
    ];
    let on_lease_loss = section.keyword(sink, "cut_off", &keywords);
    let state = section.text(sink, "state").map(|s| PathBuf::from(s.value));
    let mut fallback_classes = Vec::new();
    for (key, value) in section
        .list(sink, "floor", "names of classes")
        .unwrap_or_default()
    {
        match value.get_ref().as_str().filter(|n| classes.contains(n)) {
            Some(name) => fallback_classes.push(name.to_owned()),
            None => {
                let allowed = format!("one of {}", classes.join(", "));
                sink.add(
                    &key,
                    &value.span(),
                    "the file has no such class",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    if let Some(fallback) = on_lease_loss
        .as_ref()
        .filter(|c| c.value == OnLeaseLoss::Fallback && fallback_classes.is_empty())
    {
        let reason = "without a lease, this proxy would admit no calls at all";
        let allowed = "classes in policy.floor, or \"refuse\"";
        sink.add(
            &fallback.key,
            &fallback.span,
            reason,
            "\"narrow\" without `floor`",
            allowed,
        );
    }
    Some(PolicySettings {
        control: control?,
        secret: PathBuf::from(secret?.value),
        application: application?.value,
        name,
        region,
        on_lease_loss: on_lease_loss.map_or(OnLeaseLoss::Reject, |c| c.value),
        fallback_classes,
        state,
    })
}

fn region(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<Region> {
    let reason = "this is not a valid region name";
    let name = section.read(sink, "region", reason, REGION_NAMES, |value| {
        value.as_str().and_then(|n| n.parse().ok())
    });
    name.map(|set| set.value)
}

fn replica_addresses(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<Vec<SocketAddr>> {
    let list = section.list(sink, "control", "addresses, like \"127.0.0.1:7400\"")?;
    let mut replicas = Vec::new();
    for (key, value) in &list {
        match value
            .get_ref()
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok())
        {
            Some(address) if !replicas.contains(&address) => {
                replicas.push(address);
            }
            Some(_) => {
                let reason = "duplicate replica";
                sink.add(
                    key,
                    &value.span(),
                    reason,
                    display_value(value.get_ref()),
                    "each address once",
                );
            }
            None => {
                let allowed = "an address and a port, like \"127.0.0.1:7400\"";
                sink.add(
                    key,
                    &value.span(),
                    "this is not an address",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    if list.is_empty() || list.len() > MAX_REPLICAS {
        let span = section
            .get("control")
            .map_or(section.span.clone(), |v| v.span());
        let allowed = format!("1 to {MAX_REPLICAS} addresses");
        sink.add(
            &section.key_path("control"),
            &span,
            "invalid number of replicas",
            list.len().to_string(),
            allowed,
        );
    }
    (replicas.len() == list.len() && !replicas.is_empty()).then_some(replicas)
}
