//! Admission of requests under a policy lease, for proxies whose policy is managed by the control plane. The lease is
//! checked against the current time at the start of each call.

use super::rules::Rules;
use badgerramp_control_protocol::clock;
use badgerramp_policy::{Admission, Generation, LeaseHolder, Mode, NotAdmitted};
use hyper::header::HeaderMap;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::debug;

/// Log target of the event that is logged for each call that starts under a lease.
pub const STARTED_CALLS: &str = "badgerramp::begun";

/// What a request was admitted under, to be checked again when its call starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProvisionalAdmission {
    admission: Admission,
    /// The version of the rules that were installed.
    version: u64,
}

/// The rules of the policy that the proxy holds a lease for.
#[derive(Default)]
struct InstalledRules {
    /// Incremented by each installation.
    version: u64,
    mode: Option<(Mode, Rc<Rules>)>,
    /// The rules for calls without a valid lease, by generation.
    fallbacks: BTreeMap<Generation, Rc<Rules>>,
}

/// Admits requests under the lease that the proxy holds.
pub struct AdmissionGate {
    holder: RefCell<LeaseHolder>,
    installed: RefCell<InstalledRules>,
}

impl AdmissionGate {
    /// Creates a gate without rules: it admits no request before [`AdmissionGate::install`].
    pub fn new(holder: LeaseHolder) -> Rc<Self> {
        Rc::new(AdmissionGate {
            holder: RefCell::new(holder),
            installed: RefCell::default(),
        })
    }

    /// The holder of the lease. It must not stay borrowed across an await point.
    pub fn holder(&self) -> &RefCell<LeaseHolder> {
        &self.holder
    }

    /// Installs the rules of a mode, and the fallback rules for the time after its lease has expired. To be called
    /// together with the change of the mode, without an await point in between.
    pub fn install(&self, mode: Mode, rules: Rc<Rules>, fallback: Rc<Rules>) {
        let mut installed = self.installed.borrow_mut();
        installed.version += 1;
        installed.mode = Some((mode, rules));
        installed.fallbacks = BTreeMap::from([(mode.old, fallback)]);
    }

    /// The rules for a request that arrives now.
    ///
    /// # Errors
    /// If no call may start now.
    pub fn admit(&self) -> Result<(Rc<Rules>, ProvisionalAdmission), NotAdmitted> {
        let admission = self.holder.borrow().admission(clock::now());
        let installed = self.installed.borrow();
        let rules = match admission {
            Admission::Denied(reason) => return Err(reason),
            Admission::Under(mode) => installed
                .mode
                .as_ref()
                .filter(|(installed_mode, _)| *installed_mode == mode)
                .map(|(_, rules)| rules),
            Admission::Fallback(generation) => installed.fallbacks.get(&generation),
        };
        let rules = rules.ok_or(NotAdmitted::NoLease)?;
        Ok((
            Rc::clone(rules),
            ProvisionalAdmission {
                admission,
                version: installed.version,
            },
        ))
    }

    /// Whether what the request was admitted under still holds. If so, the start of its call is logged; otherwise the
    /// request must be admitted again.
    pub fn confirm(&self, provisional: ProvisionalAdmission, headers: &HeaderMap) -> bool {
        let now = clock::now();
        let admission = self.holder.borrow().admission(now);
        if admission != provisional.admission
            || self.installed.borrow().version != provisional.version
        {
            return false;
        }
        let (is_fallback, old, new) = match admission {
            Admission::Under(mode) => (false, mode.old, mode.new),
            Admission::Fallback(generation) => (true, generation, generation),
            Admission::Denied(_) => return false,
        };
        let request_id = || {
            headers
                .get("x-request-id")
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        debug!(target: STARTED_CALLS, at = now, old = old.0, new = new.0, floor = is_fallback, request = request_id(), "call started");
        true
    }

    /// The text of the health check: the policy under which calls start, or as an error why none may start.
    pub fn health(&self) -> Result<String, String> {
        match self.holder.borrow().admission(clock::now()) {
            Admission::Under(mode) => Ok(format!("ok, {mode}")),
            Admission::Fallback(generation) => {
                Ok(format!("cut off from control, the floor of {generation}"))
            }
            Admission::Denied(NotAdmitted::NoLease) => Err("no policy from control yet".to_owned()),
            Admission::Denied(NotAdmitted::LeaseExpired) => Err("cut off from control".to_owned()),
            Admission::Denied(NotAdmitted::Evicted) => {
                Err("evicted by control: start it anew".to_owned())
            }
        }
    }
}
