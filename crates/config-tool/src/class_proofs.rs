//! Checks that applications take the same responses for a proof that a call of a class was not executed.
//!
//! What a response proves depends on the endpoints alone. If two applications of one upstream differ in it, one of them
//! sends a call again that may have been executed. Classes whose calls may be executed twice are not checked.

use crate::config_set::Application;
use crate::finding::{Finding, Location, Report};
use badgerramp_decisions::Idempotency;
use badgerramp_route::{NotExecutedProof, Route};

/// A route of a class that may not be executed twice.
#[derive(Clone, Copy)]
struct ClassRoute<'a> {
    app: &'a Application,
    index: usize,
    route: &'a Route,
}

/// Reports each class for which an application takes other proofs than an earlier application of the same upstream.
pub(crate) fn check(applications: &[Application], report: &mut Report) {
    for (number, app) in applications.iter().enumerate() {
        for class in &app.config.classes {
            if class.class.idempotency == Idempotency::Idempotent {
                continue;
            }
            let earlier = applications[..number]
                .iter()
                .filter(|other| share_endpoints(app, other))
                .find(|other| !routes_of(other, &class.name).is_empty());
            let finding = earlier.and_then(|other| difference(app, other, &class.name));
            report.findings.extend(finding);
        }
    }
}

/// Whether both applications send to the same endpoints, as far as the files tell.
fn share_endpoints(one: &Application, other: &Application) -> bool {
    if let (Some((_, one)), Some((_, other))) = (&one.contract, &other.contract) {
        return one.upstream.value == other.upstream.value;
    }
    one.config.upstream.shares_endpoints(&other.config.upstream)
}

/// The routes of a class in an application.
fn routes_of<'a>(app: &'a Application, class: &str) -> Vec<ClassRoute<'a>> {
    let routes = app.config.routes.routes().iter().enumerate();
    routes
        .filter(|(_, route)| app.config.classes[route.class].name == class)
        .map(|(index, route)| ClassRoute { app, index, route })
        .collect()
}

/// The difference between the proofs of a class in two applications: a route of one of them whose proofs no route of the
/// class in the other one has.
fn difference(app: &Application, other: &Application, class: &str) -> Option<Finding> {
    let (own, theirs) = (routes_of(app, class), routes_of(other, class));
    let without_match = |routes: &[ClassRoute<'_>], others: &[ClassRoute<'_>]| {
        let is_unmatched = |route: &&ClassRoute<'_>| !others.iter().any(|o| o.same_proofs(route));
        routes.iter().position(|route| is_unmatched(&route))
    };
    let (route, counterpart) = match without_match(&own, &theirs) {
        Some(index) => (own[index], *theirs.first()?),
        None => (*own.first()?, theirs[without_match(&theirs, &own)?]),
    };
    // The file that sets proofs of its own is more likely to be wrong than one that has the standard ones.
    let (route, counterpart) = if route.proofs_key().is_none() {
        (counterpart, route)
    } else {
        (route, counterpart)
    };
    Some(Finding {
        code: "class-differs",
        key: route.key(),
        reason: format!(
            "two applications take different responses as proof that a call of {class:?} never ran"
        ),
        found: display_proofs(&route.route.response_rules.never_ran),
        allowed: format!(
            "{}, as in {}",
            display_proofs(&counterpart.route.response_rules.never_ran),
            counterpart.app.name
        ),
        location: route.location(),
        related: vec![(counterpart.location(), "the other application".to_owned())],
        apps: [route.app.name.clone()].into(),
    })
}

impl ClassRoute<'_> {
    /// Whether both routes have the same proofs, in any order.
    fn same_proofs(&self, other: &ClassRoute<'_>) -> bool {
        let (own, theirs) = (
            &self.route.response_rules.never_ran,
            &other.route.response_rules.never_ran,
        );
        own.iter().all(|proof| theirs.contains(proof))
            && theirs.iter().all(|proof| own.contains(proof))
    }

    /// The path of the key that sets the proofs; `None` if the route has the standard ones.
    fn proofs_key(&self) -> Option<Vec<String>> {
        let class = &self.app.config.classes[self.route.class].name;
        let tables = [
            vec!["route".to_owned(), self.index.to_string()],
            vec!["class".to_owned(), class.clone()],
            vec!["defaults".to_owned()],
        ];
        tables.into_iter().find_map(|mut path| {
            path.push("never_ran".to_owned());
            let parts: Vec<&str> = path.iter().map(String::as_str).collect();
            self.app.config.value_span(&parts).is_some().then_some(path)
        })
    }

    fn key(&self) -> String {
        let class = &self.app.config.classes[self.route.class].name;
        self.proofs_key()
            .map_or_else(|| format!("class.{class}.never_ran"), |path| path.join("."))
    }

    /// Where the proofs are set, or else the class.
    fn location(&self) -> Location {
        let set_at = self.proofs_key().and_then(|path| {
            let parts: Vec<&str> = path.iter().map(String::as_str).collect();
            self.app.config.value_span(&parts)
        });
        let class_span = || self.app.config.class_span(self.route.class);
        Location::new(self.app.file, &set_at.unwrap_or_else(class_span))
    }
}

fn display_proofs(proofs: &[NotExecutedProof]) -> String {
    if proofs.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = proofs.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
