//! Admission under a policy lease, where a control service owns the policy of the fleet: the lease is checked for each
//! call, against the clock at that moment.

use super::rules::Rules;
use badgerramp_control_protocol::clock;
use badgerramp_policy::{Admission, Generation, LeaseHolder, Mode, NotAdmitted};
use hyper::header::HeaderMap;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::debug;

/// Target of the log line that each call leaves that starts under a lease.
pub const STARTED_CALLS: &str = "badgerramp::begun";

/// What a request was admitted under, to be confirmed when its call starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    admission: Admission,
    /// The version of the installed rules; grows with each installation.
    version: u64,
}

/// The rules for the policy that is held.
#[derive(Default)]
struct InstalledRules {
    version: u64,
    mode: Option<(Mode, Rc<Rules>)>,
    /// The rules of a proxy that is cut off from control, by generation.
    fallbacks: BTreeMap<Generation, Rc<Rules>>,
}

/// Admits requests under the lease that the proxy holds.
pub struct AdmissionGate {
    holder: RefCell<LeaseHolder>,
    installed: RefCell<InstalledRules>,
}

impl AdmissionGate {
    /// The gate of a proxy that has just started.
    pub fn new(holder: LeaseHolder) -> Rc<Self> {
        Rc::new(AdmissionGate {
            holder: RefCell::new(holder),
            installed: RefCell::default(),
        })
    }

    /// The holder of the lease. It must not stay borrowed over an await.
    pub fn holder(&self) -> &RefCell<LeaseHolder> {
        &self.holder
    }

    /// Installs the rules of a mode, and those for a proxy that is cut off under it; called at the same moment as the
    /// mode is taken over.
    pub fn install(&self, mode: Mode, rules: Rc<Rules>, fallback: Rc<Rules>) {
        let mut installed = self.installed.borrow_mut();
        installed.version += 1;
        installed.mode = Some((mode, rules));
        installed.fallbacks = BTreeMap::from([(mode.old, fallback)]);
    }

    /// The rules for a request that arrives now.
    ///
    /// # Errors
    /// If no call may start.
    pub fn admit(&self) -> Result<(Rc<Rules>, Ticket), NotAdmitted> {
        let admission = self.holder.borrow().admission(clock::now());
        let installed = self.installed.borrow();
        let rules = match admission {
            Admission::Denied(closed) => return Err(closed),
            Admission::Under(mode) => installed
                .mode
                .as_ref()
                .filter(|(m, _)| *m == mode)
                .map(|(_, r)| r),
            Admission::Fallback(generation) => installed.fallbacks.get(&generation),
        };
        let rules = rules.ok_or(NotAdmitted::NoLease)?;
        Ok((
            Rc::clone(rules),
            Ticket {
                admission,
                version: installed.version,
            },
        ))
    }

    /// Starts a call now, if what its request was admitted under still holds. False: it must be admitted again.
    pub fn confirm(&self, ticket: Ticket, headers: &HeaderMap) -> bool {
        let now = clock::now();
        let admission = self.holder.borrow().admission(now);
        if admission != ticket.admission || self.installed.borrow().version != ticket.version {
            return false;
        }
        let (floor, old, new) = match admission {
            Admission::Under(mode) => (false, mode.old, mode.new),
            Admission::Fallback(generation) => (true, generation, generation),
            Admission::Denied(_) => return false,
        };
        let id = || {
            headers
                .get("x-request-id")
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        debug!(target: STARTED_CALLS, at = now, old = old.0, new = new.0, floor, request = id(), "begun");
        true
    }

    /// The text of the health check: under which policy calls start, or as an error why none may.
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
