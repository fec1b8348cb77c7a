//! What is undone when a request ends, however that comes about.

use crate::net::driver::Driver;
use badgerramp_decisions::CallId;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The id of a request while it is open.
pub(super) struct InFlightGuard<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> InFlightGuard<'a> {
    /// None: it is open already.
    pub(super) fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let new = all.borrow_mut().insert(id.clone());
        // Not made in vain: its drop would free the id of the first.
        new.then(|| InFlightGuard { all, id })
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

/// Tells the driver when the client goes before its answer: hyper drops the request's future then.
pub(super) struct DisconnectGuard<'a> {
    pub(super) driver: &'a Driver,
    pub(super) call: CallId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.call);
    }
}
