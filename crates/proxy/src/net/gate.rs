//! What may begin now, where the policy of the fleet is controlled: the lease is looked at for each call, and the clock
//! is read at that moment.

use super::admit::Rules;
use badgerramp_channel::clock;
use badgerramp_policy::{Admission, Closed, Generation, Holder, Mode};
use hyper::header::HeaderMap;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::debug;

/// Target of the line that each call leaves that begins under a lease.
pub const BEGUN: &str = "badgerramp::begun";

/// Between the two looks of a call: what it was admitted by at the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    admission: Admission,
    /// Grows each time that other rules are set.
    version: u64,
}

/// How requests are read under what is held.
#[derive(Default)]
struct Installed {
    version: u64,
    mode: Option<(Mode, Rc<Rules>)>,
    /// For a proxy that is cut off: by generation.
    floors: BTreeMap<Generation, Rc<Rules>>,
}

/// What the proxy holds, and the rules for it.
pub struct Gate {
    holder: RefCell<Holder>,
    installed: RefCell<Installed>,
}

impl Gate {
    /// A proxy that has just started.
    pub fn new(holder: Holder) -> Rc<Self> {
        Rc::new(Gate { holder: RefCell::new(holder), installed: RefCell::default() })
    }

    /// What is held, to ask and to be told. Nothing may wait while it is borrowed.
    pub fn holder(&self) -> &RefCell<Holder> {
        &self.holder
    }

    /// These rules hold for this mode, and those for its floor; set in the same moment as the mode is taken.
    pub fn install(&self, mode: Mode, rules: Rc<Rules>, floor: Rc<Rules>) {
        let mut installed = self.installed.borrow_mut();
        installed.version += 1;
        installed.mode = Some((mode, rules));
        installed.floors = BTreeMap::from([(mode.old, floor)]);
    }

    /// How a request is read that comes now.
    ///
    /// # Errors
    /// If none may begin.
    pub fn open(&self) -> Result<(Rc<Rules>, Stamp), Closed> {
        let admission = self.holder.borrow().admission(clock::now());
        let installed = self.installed.borrow();
        let rules = match admission {
            Admission::Closed(closed) => return Err(closed),
            Admission::Under(mode) => installed.mode.as_ref().filter(|(m, _)| *m == mode).map(|(_, r)| r),
            Admission::Floor(generation) => installed.floors.get(&generation),
        };
        let rules = rules.ok_or(Closed::NoLease)?;
        Ok((Rc::clone(rules), Stamp { admission, version: installed.version }))
    }

    /// A call begins now, if what it was admitted by holds still. False: it is to be admitted anew.
    pub fn begins(&self, stamp: Stamp, headers: &HeaderMap) -> bool {
        let now = clock::now();
        let admission = self.holder.borrow().admission(now);
        if admission != stamp.admission || self.installed.borrow().version != stamp.version {
            return false;
        }
        let (floor, old, new) = match admission {
            Admission::Under(mode) => (false, mode.old, mode.new),
            Admission::Floor(generation) => (true, generation, generation),
            Admission::Closed(_) => return false,
        };
        let id = || headers.get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or_default();
        debug!(target: BEGUN, at = now, old = old.0, new = new.0, floor, request = id(), "begun");
        true
    }

    /// What health says: why nothing begins, if so; else under what it does.
    pub fn told(&self) -> Result<String, String> {
        match self.holder.borrow().admission(clock::now()) {
            Admission::Under(mode) => Ok(format!("ok, {mode}")),
            Admission::Floor(generation) => Ok(format!("cut off from control, the floor of {generation}")),
            Admission::Closed(Closed::NoLease) => Err("no policy from control yet".to_owned()),
            Admission::Closed(Closed::RunOut) => Err("cut off from control".to_owned()),
            Admission::Closed(Closed::Evicted) => Err("evicted by control: start it anew".to_owned()),
        }
    }
}
