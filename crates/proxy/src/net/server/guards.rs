//! Guards that clean up when a request ends, also when its future is dropped.

use crate::net::driver::Driver;
use badgerramp_decisions::CallId;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// Registers the id of a request while the request is in flight.
pub(super) struct InFlightGuard<'a> {
    in_flight_ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> InFlightGuard<'a> {
    /// Registers an id. Returns `None` if a request with this id is in flight.
    pub(super) fn enter(
        in_flight_ids: &'a RefCell<HashSet<HeaderValue>>,
        id: HeaderValue,
    ) -> Option<Self> {
        let is_new = in_flight_ids.borrow_mut().insert(id.clone());
        // No guard is created for a duplicate: dropping it would remove the id of the first request.
        is_new.then(|| InFlightGuard { in_flight_ids, id })
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.in_flight_ids.borrow_mut().remove(&self.id);
    }
}

/// Notifies the driver when the client disconnects before the answer, as hyper then drops the future of the request.
pub(super) struct DisconnectGuard<'a> {
    pub(super) driver: &'a Driver,
    pub(super) call: CallId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.call);
    }
}
