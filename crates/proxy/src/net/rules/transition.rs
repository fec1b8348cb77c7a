//! The rules during a policy change, and those of a proxy without a valid lease.

use super::head::normalize_target;
use super::sidecar::Evaluation;
use super::{reject_temporarily, Admitted, Rejection, Rules};
use crate::net::upstream::AttemptOptions;
use badgerramp_decisions::ClassId;
use badgerramp_policy::{intersect, intersect_answers, Side};
use badgerramp_route::ResponseRules;
use hyper::http::request::Parts;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

/// The rules during a policy change, when some proxies still apply the old policy and others already apply the new one.
pub struct TransitionRules {
    old: Rc<Rules>,
    new: Rc<Rules>,
    /// The classifications of responses on which two routes agree, by the addresses of the routes' options.
    answers: RefCell<HashMap<(usize, usize), Arc<ResponseRules>>>,
}

impl TransitionRules {
    /// The rules for a change between two policies; `None` if either is not a sidecar's policy.
    pub fn between(old: Rc<Rules>, new: Rc<Rules>) -> Option<Self> {
        let is_sidecar = |rules: &Rules| matches!(rules, Rules::Sidecar(_));
        (is_sidecar(&old) && is_sidecar(&new)).then(|| TransitionRules {
            old,
            new,
            answers: RefCell::default(),
        })
    }

    pub(super) fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        let (Rules::Sidecar(old), Rules::Sidecar(new)) = (&*self.old, &*self.new) else {
            return Err(reject_temporarily("no policy"));
        };
        normalize_target(parts)?;
        let (old_evaluation, new_evaluation) =
            (old.evaluate(parts, client), new.evaluate(parts, client));
        let calls = (
            old_evaluation.as_ref().ok().map(Evaluation::resolved_call),
            new_evaluation.as_ref().ok().map(Evaluation::resolved_call),
        );
        let intersection = intersect(calls.0.as_ref(), calls.1.as_ref());
        let intersection = intersection.map_err(|mismatch| {
            reject_temporarily(format!("a change of policy is under way: {mismatch}"))
        })?;
        let (by_old, by_new) = match (old_evaluation, new_evaluation) {
            (Ok(old), Ok(new)) => (old.admitted, new.admitted),
            // If only one policy rejected the request, `intersect` has failed: here both have rejected it.
            (Err(rejection), _) | (_, Err(rejection)) => return Err(rejection),
        };
        let Some(intersection) = intersection else {
            return Err(reject_temporarily("no policy"));
        };
        let answers = self.answers(&by_old.options, &by_new.options);
        let options = Rc::new(AttemptOptions {
            connect_timeout: intersection.connect_timeout,
            answers,
            max_body_len: intersection.max_body_bytes,
        });
        let chosen = if intersection.class == Side::Old {
            by_old
        } else {
            by_new
        };
        old.set_forwarding_headers(parts);
        Ok(Admitted {
            timeout: intersection.timeout,
            policy: intersection.policy,
            max_body_len: intersection.max_body_bytes,
            options,
            ..chosen
        })
    }

    /// The classification of responses on which two routes agree. It is computed once for each pair of routes.
    fn answers(&self, old: &Rc<AttemptOptions>, new: &Rc<AttemptOptions>) -> Arc<ResponseRules> {
        // The addresses are unique, as both policies, and with them all options, live as long as `self`.
        let addresses = (Rc::as_ptr(old) as usize, Rc::as_ptr(new) as usize);
        let mut cache = self.answers.borrow_mut();
        let answers = cache
            .entry(addresses)
            .or_insert_with(|| Arc::new(intersect_answers(&old.answers, &new.answers)));
        Arc::clone(answers)
    }
}

/// The rules of a proxy without a valid lease: only some classes of its last policy are admitted.
pub struct FallbackRules {
    rules: Rc<Rules>,
    classes: Vec<ClassId>,
}

impl FallbackRules {
    /// Restricts the rules of a policy to these classes.
    pub fn new(rules: Rc<Rules>, classes: Vec<ClassId>) -> Self {
        FallbackRules { rules, classes }
    }

    pub(super) fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        let admitted = self.rules.admit(parts, client)?;
        if self.classes.contains(&admitted.class) {
            Ok(admitted)
        } else {
            Err(reject_temporarily(
                "cut off from control, and no call of the floor",
            ))
        }
    }
}
