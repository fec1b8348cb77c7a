//! What is undone when a request ends, however that comes about.

use crate::net::driver::Driver;
use badgerramp_decisions::CallId;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// Holds the id of a request while it is in flight.
pub(super) struct InFlightGuard<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> InFlightGuard<'a> {
    /// `None` if a request with this id is in flight.
    pub(super) fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let new = all.borrow_mut().insert(id.clone());
        // Only then: dropping the guard would free the id of the first request.
        new.then(|| InFlightGuard { all, id })
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

/// Notifies the driver when the client disconnects before its answer: hyper drops the request's future then.
pub(super) struct DisconnectGuard<'a> {
    pub(super) driver: &'a Driver,
    pub(super) call: CallId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.call);
    }
}
