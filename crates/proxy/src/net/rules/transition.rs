//! Rules of a fleet whose policy is changing, and of a proxy that is cut off from control.

use super::head::plain_form;
use super::sidecar::Evaluation;
use super::{reject_for_now, Admitted, Rejection, Rules};
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

/// The rules while two policies overlap: some proxies still act under the old one, others already under the new one.
pub struct TransitionRules {
    old: Rc<Rules>,
    new: Rc<Rules>,
    /// The meaning of answers on which both policies agree, by the addresses of the options of their routes.
    answers: RefCell<HashMap<(usize, usize), Arc<ResponseRules>>>,
}

impl TransitionRules {
    /// The rules between two policies; `None` if one is not a policy of a sidecar.
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
            return Err(reject_for_now("no policy"));
        };
        plain_form(parts)?;
        let (by_old, by_new) = (old.evaluate(parts, client), new.evaluate(parts, client));
        let calls = (
            by_old.as_ref().ok().map(Evaluation::call),
            by_new.as_ref().ok().map(Evaluation::call),
        );
        let met = intersect(calls.0.as_ref(), calls.1.as_ref());
        let met = met.map_err(|unlike| {
            reject_for_now(format!("a change of policy is under way: {unlike}"))
        })?;
        let (by_old, by_new) = match (by_old, by_new) {
            (Ok(by_old), Ok(by_new)) => (by_old.admitted, by_new.admitted),
            // Rejected by both.
            (Err(rejection), _) | (_, Err(rejection)) => return Err(rejection),
        };
        let Some(met) = met else {
            return Err(reject_for_now("no policy"));
        };
        let answers = self.answers(&by_old.options, &by_new.options);
        let options = Rc::new(AttemptOptions {
            connect_timeout: met.connect_timeout,
            answers,
            max_body_len: met.max_body_bytes,
        });
        let chosen = if met.class == Side::Old {
            by_old
        } else {
            by_new
        };
        old.set_forwarding_headers(parts);
        Ok(Admitted {
            time: met.timeout,
            terms: met.policy,
            max_body_len: met.max_body_bytes,
            options,
            ..chosen
        })
    }

    /// Computed once for each pair of routes that meet.
    fn answers(&self, old: &Rc<AttemptOptions>, new: &Rc<AttemptOptions>) -> Arc<ResponseRules> {
        // The two policies keep their options alive as long as this lives, so that addresses are unique.
        let addresses = (Rc::as_ptr(old) as usize, Rc::as_ptr(new) as usize);
        let mut known = self.answers.borrow_mut();
        let met = known
            .entry(addresses)
            .or_insert_with(|| Arc::new(intersect_answers(&old.answers, &new.answers)));
        Arc::clone(met)
    }
}

/// The rules of a proxy that is cut off from control: it serves some classes of its last policy only.
pub struct FallbackRules {
    rules: Rc<Rules>,
    classes: Vec<ClassId>,
}

impl FallbackRules {
    /// The rules of a policy for these classes only.
    pub fn new(rules: Rc<Rules>, classes: Vec<ClassId>) -> Self {
        FallbackRules { rules, classes }
    }

    pub(super) fn admit(&self, parts: &mut Parts, client: IpAddr) -> Result<Admitted, Rejection> {
        let admitted = self.rules.admit(parts, client)?;
        if self.classes.contains(&admitted.class) {
            Ok(admitted)
        } else {
            Err(reject_for_now(
                "cut off from control, and no call of the floor",
            ))
        }
    }
}
