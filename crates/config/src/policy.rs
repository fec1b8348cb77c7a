//! `[policy]`: where the policy of the fleet is controlled, who this proxy is to control, and what it does when it is
//! cut off from it.

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
/// What a region may be called, for people. [`Region`] decides.
const REGION_NAMES: &str = "1 to 63 of a-z, 0-9, '-' and '_', the first one a letter";
/// Replicas of control at the most.
const REPLICAS: usize = 5;

/// What `[policy]` says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyTerms {
    /// The replicas of control.
    pub control: Vec<SocketAddr>,
    /// The file with the secret that the fleet shares.
    pub secret: PathBuf,
    /// Whose file this proxy takes out of a policy.
    pub application: String,
    /// The proxy's name; `None`: its machine's.
    pub name: Option<String>,
    /// The region of its control; `None`: whatever that of `control` is.
    pub region: Option<Region>,
    /// What it does when its lease has run out.
    pub cut_off: OnLeaseLoss,
    /// The classes whose calls go on where `cut_off` is `narrow`.
    pub floor: Vec<String>,
    /// The folder for the last policy, so that it need not be sent again. It is no licence to serve.
    pub state: Option<PathBuf>,
}

/// Reads the table. `classes` are the names of the file's classes.
pub(crate) fn read(
    notes: &mut DiagnosticSink,
    top: &Section<'_>,
    classes: &[&str],
) -> Option<PolicyTerms> {
    let section = top.section(notes, "policy", &KEYS)?;
    section.require(
        notes,
        "control",
        "a list of one, three or five addresses, like [\"127.0.0.1:7400\"]",
    );
    section.require(
        notes,
        "secret",
        "the path of a file that only its owner may read",
    );
    section.require(
        notes,
        "application",
        "the name of the application, as its file is called in the policy",
    );
    let control = addresses(notes, &section);
    let secret = section.text(notes, "secret");
    let application = section.text(notes, "application");
    let name = section.text(notes, "name").map(|n| n.value);
    let region = region(notes, &section);
    let words = [
        ("refuse", OnLeaseLoss::Reject),
        ("narrow", OnLeaseLoss::Fallback),
        ("keep", OnLeaseLoss::Keep),
    ];
    let cut_off = section.keyword(notes, "cut_off", &words);
    let state = section.text(notes, "state").map(|s| PathBuf::from(s.value));
    let mut floor = Vec::new();
    for (key, value) in section
        .list(notes, "floor", "names of classes")
        .unwrap_or_default()
    {
        match value.get_ref().as_str().filter(|n| classes.contains(n)) {
            Some(name) => floor.push(name.to_owned()),
            None => {
                let allowed = format!("one of {}", classes.join(", "));
                notes.add(
                    &key,
                    &value.span(),
                    "no class of this file",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    if let Some(narrow) = cut_off
        .as_ref()
        .filter(|c| c.value == OnLeaseLoss::Fallback && floor.is_empty())
    {
        let reason = "cut off, this proxy would begin nothing at all";
        let allowed = "classes in policy.floor, or \"refuse\"";
        notes.add(
            &narrow.key,
            &narrow.span,
            reason,
            "\"narrow\" without a floor",
            allowed,
        );
    }
    Some(PolicyTerms {
        control: control?,
        secret: PathBuf::from(secret?.value),
        application: application?.value,
        name,
        region,
        cut_off: cut_off.map_or(OnLeaseLoss::Reject, |c| c.value),
        floor,
        state,
    })
}

fn region(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Region> {
    let reason = "this is no name of a region";
    let name = section.read(notes, "region", reason, REGION_NAMES, |value| {
        value.as_str().and_then(|n| n.parse().ok())
    });
    name.map(|set| set.value)
}

fn addresses(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Vec<SocketAddr>> {
    let list = section.list(notes, "control", "addresses, like \"127.0.0.1:7400\"")?;
    let mut all = Vec::new();
    for (key, value) in &list {
        match value
            .get_ref()
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok())
        {
            Some(address) if !all.contains(&address) => {
                all.push(address);
            }
            Some(_) => {
                let reason = "this replica stands here twice";
                notes.add(
                    key,
                    &value.span(),
                    reason,
                    display_value(value.get_ref()),
                    "each address once",
                );
            }
            None => {
                let allowed = "an address and a port, like \"127.0.0.1:7400\"";
                notes.add(
                    key,
                    &value.span(),
                    "this is no address",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    if list.is_empty() || list.len() > REPLICAS {
        let span = section
            .get("control")
            .map_or(section.span.clone(), |v| v.span());
        let allowed = format!("1 to {REPLICAS} addresses");
        notes.add(
            &section.key_path("control"),
            &span,
            "so many replicas can't be",
            list.len().to_string(),
            allowed,
        );
    }
    (all.len() == list.len() && !all.is_empty()).then_some(all)
}
