//! Fallback policies: what proxies that have lost their lease go on with. A policy declares classes for that (key
//! `floor` of `[policy]`); a later policy may not change what becomes of their calls while a proxy may still act under
//! the earlier one.

use badgerramp_config::{Config, Diagnostics};
use badgerramp_policy::Generation;
use std::collections::BTreeMap;
use thiserror::Error;

/// The files of a policy by application, parsed.
pub(crate) type Files = BTreeMap<String, Config>;

/// Parses the files of a policy.
///
/// # Errors
/// All diagnostics of each file that has some, with file, line and key.
pub(crate) fn parse(files: &BTreeMap<String, String>) -> Result<Files, Vec<Diagnostics>> {
    let mut parsed = Files::new();
    let mut diagnostics = Vec::new();
    for (name, text) in files {
        match badgerramp_config::parse(&format!("{name}.toml"), text) {
            Ok(config) => {
                parsed.insert(name.clone(), config);
            }
            Err(found) => diagnostics.push(found),
        }
    }
    if diagnostics.is_empty() {
        Ok(parsed)
    } else {
        Err(diagnostics)
    }
}

/// What a policy would change of an earlier one's fallback.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A class would no longer be handled as before.
    #[error("{application}: class {class:?} of the floor in force: {difference}")]
    Class {
        /// The application.
        application: String,
        /// The class.
        class: String,
        /// What would be different.
        difference: Difference,
    },
    /// The earlier policy can't be compared with.
    #[error("the floor of {0} can't be read any more")]
    Unreadable(Generation),
}

/// How a class of a fallback differs between two policies.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum Difference {
    /// There is no file of the application any more.
    #[error("its application goes")]
    ApplicationRemoved,
    /// There is no such class any more.
    #[error("it goes")]
    ClassRemoved,
    /// The settings of the class are others.
    #[error("its terms change")]
    ClassChanged,
    /// Its routes, or routes that are tried before them, are others.
    #[error("a route changes that it stands on, or one before it")]
    RouteChanged,
}

/// What of the fallback of `old` would be different under `new`.
///
/// A class keeps its fallback if it is the same and the routes down to its last one are the same: a route before it
/// could take its requests away. That rejects some changes that would do no harm, and none that would.
pub(crate) fn violations(old: &Files, new: &Files) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (application, old) in old {
        for class in old
            .policy
            .iter()
            .flat_map(|policy| &policy.fallback_classes)
        {
            let differences = match new.get(application) {
                Some(new) => class_differences(class, old, new),
                None => vec![Difference::ApplicationRemoved],
            };
            violations.extend(differences.into_iter().map(|difference| Violation::Class {
                application: application.clone(),
                class: class.clone(),
                difference,
            }));
        }
    }
    violations
}

fn class_differences(class: &str, old: &Config, new: &Config) -> Vec<Difference> {
    let index_of = |config: &Config| config.classes.iter().position(|known| known.name == class);
    let (Some(old_index), Some(new_index)) = (index_of(old), index_of(new)) else {
        return vec![Difference::ClassRemoved];
    };
    let mut differences = Vec::new();
    if old.classes[old_index].class != new.classes[new_index].class {
        differences.push(Difference::ClassChanged);
    }
    if !same_routes_up_to_last(old_index, old, new) {
        differences.push(Difference::RouteChanged);
    }
    differences
}

/// Whether the routes down to the last one of this class in `old` are the same in `new`.
fn same_routes_up_to_last(class: usize, old: &Config, new: &Config) -> bool {
    let last = old
        .routes
        .routes()
        .iter()
        .rposition(|route| route.class == class);
    let count = last.map_or(0, |last| last + 1);
    new.routes.routes().len() >= count && (0..count).all(|index| old.same_route(index, new, index))
}
