//! Guards that clean up when a request ends, also when its future is dropped.

use super::request_ids::InFlightId;
use crate::net::driver::Driver;
use badgerramp_decisions::CallId;

/// Notifies the driver when the client disconnects before the answer, as hyper then drops the future of the request.
pub(super) struct DisconnectGuard<'a> {
    pub(super) driver: &'a Driver,
    pub(super) call: CallId,
    pub(super) id: Option<&'a InFlightId<'a>>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let may_have_executed = self.driver.client_disconnected(self.call);
        if let Some(id) = self.id.filter(|_| may_have_executed) {
            id.abandon(self.driver.clock().now());
        }
    }
}
