//! Fallback policies, which proxies apply after the loss of their lease. A policy declares the classes of its fallback in
//! the key `floor` of `[policy]`. A later policy must not change how their calls are handled while a proxy may still
//! serve under the earlier one.

use badgerramp_config::{Config, Diagnostics};
use badgerramp_policy::Generation;
use std::collections::BTreeMap;
use thiserror::Error;

/// Parsed files of a policy, by application.
pub(crate) type Files = BTreeMap<String, Config>;

/// Parses the files of a policy that is to be published.
///
/// # Errors
/// Returns the diagnostics of each invalid file, with file, line and key.
pub(crate) fn parse(files: &BTreeMap<String, String>) -> Result<Files, Vec<Diagnostics>> {
    parse_each(files, badgerramp_config::parse)
}

/// Parses the files of a policy that was published before, maybe by an earlier release.
///
/// # Errors
/// Returns the diagnostics of each invalid file, with file, line and key.
pub(crate) fn parse_stored(files: &BTreeMap<String, String>) -> Result<Files, Vec<Diagnostics>> {
    parse_each(files, badgerramp_config::parse_stored)
}

fn parse_each(
    files: &BTreeMap<String, String>,
    parse_file: impl Fn(&str, &str) -> Result<Config, Diagnostics>,
) -> Result<Files, Vec<Diagnostics>> {
    let mut parsed = Files::new();
    let mut diagnostics = Vec::new();
    for (name, text) in files {
        match parse_file(&format!("{name}.toml"), text) {
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

/// A change to the fallback of an earlier policy.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The calls of a class would be handled differently.
    #[error("{application}: class {class:?} of the floor in force: {difference}")]
    Class {
        /// Name of the application.
        application: String,
        /// Name of the class.
        class: String,
        /// How the class would differ.
        difference: Difference,
    },
    /// The earlier policy cannot be read, so the policies cannot be compared.
    #[error("the floor of {0} cannot be read")]
    Unreadable(Generation),
}

/// How a fallback class differs between two policies.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum Difference {
    /// The file of the application is removed.
    #[error("the application is removed")]
    ApplicationRemoved,
    /// The class is removed.
    #[error("the class is removed")]
    ClassRemoved,
    /// The settings of the class change.
    #[error("the settings of the class change")]
    ClassChanged,
    /// A route of the class changes, or a route that is matched before it.
    #[error("a route of the class changes, or a route before it")]
    RouteChanged,
}

/// Returns how the fallback of `old` would change under `new`.
///
/// A class is unchanged if its settings and all routes up to its last one are the same, because an earlier route could
/// match its requests. This check rejects some harmless changes, but accepts no harmful one.
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

/// Returns whether all routes up to the last one of this class in `old` are the same in `new`.
fn same_routes_up_to_last(class: usize, old: &Config, new: &Config) -> bool {
    let last = old
        .routes
        .routes()
        .iter()
        .rposition(|route| route.class == class);
    let count = last.map_or(0, |last| last + 1);
    new.routes.routes().len() >= count && (0..count).all(|index| old.same_route(index, new, index))
}
