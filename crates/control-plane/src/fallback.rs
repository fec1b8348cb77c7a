//! Floors: what proxies that are cut off go on with. A policy declares classes (`[policy] floor`); a later one may not
//! change what becomes of their calls while a proxy may still act under it.

use badgerramp_config::Config;
use std::collections::BTreeMap;

/// The files of a policy by application, read.
pub(crate) type Files = BTreeMap<String, Config>;

/// Reads the files of a policy.
///
/// # Errors
/// All mistakes, as text that names file, line and key.
pub(crate) fn parse(files: &BTreeMap<String, String>) -> Result<Files, String> {
    let mut read = Files::new();
    let mut mistakes = Vec::new();
    for (name, text) in files {
        match badgerramp_config::parse(&format!("{name}.toml"), text) {
            Ok(config) => {
                read.insert(name.clone(), config);
            }
            Err(found) => mistakes.push(found.to_string()),
        }
    }
    if mistakes.is_empty() {
        Ok(read)
    } else {
        Err(mistakes.concat())
    }
}

/// What of the floor of `old` becomes something else under `new`, in words; empty: nothing.
///
/// A class keeps its floor if it is the same and the routes down to its last one are the same: a route before it could
/// take its requests away. That refuses some changes that would do no harm, and none that would.
pub(crate) fn violations(old: &Files, new: &Files) -> Vec<String> {
    let mut all = Vec::new();
    for (name, old) in old {
        for class in old.policy.iter().flat_map(|p| &p.floor) {
            let say = |what: &str| format!("{name}: class {class:?} of the floor in force: {what}");
            let Some(new) = new.get(name) else {
                all.push(say("its application goes"));
                continue;
            };
            let find = |c: &Config| c.classes.iter().position(|k| &k.name == class);
            let (Some(a), Some(b)) = (find(old), find(new)) else {
                all.push(say("it goes"));
                continue;
            };
            if old.classes[a].class != new.classes[b].class {
                all.push(say("its terms change"));
            }
            let (theirs, own) = (old.routes.routes(), new.routes.routes());
            let down_to = theirs
                .iter()
                .rposition(|r| r.class == a)
                .map_or(0, |last| last + 1);
            let same =
                own.len() >= down_to && (0..down_to).all(|place| old.same_route(place, new, place));
            if !same {
                all.push(say("a route changes that it stands on, or one before it"));
            }
        }
    }
    all
}
