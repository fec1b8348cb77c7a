//! Eviction: which connections may be closed to free their descriptors for others, and in which order.

use super::{ClientConnection, Phase};
use badgerramp_decisions::Micros;

/// How long a client that has connected, or has begun to send a request, is protected from eviction, in microseconds.
pub const INCOMPLETE_REQUEST_GRACE: Micros = 100_000;
/// How long after its client's deadline a response counts as overdue, in microseconds: then the client no longer relies on
/// it.
const RESPONSE_GRACE: Micros = 500_000;

/// Which connections are evicted first: those whose clients lose least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// All responses have been written, and no further request is read.
    Closing,
    /// The client has no request in flight.
    Idle,
    /// The client has just connected, or its request is incomplete. It is told that its request was not executed.
    IncompleteRequest,
    /// The client has not read its response in time, which it can tell is incomplete.
    OverdueResponse,
}

impl ClientConnection {
    /// Whether the connection is evicted. The proxy then does not wait for the client to close it.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get().is_some()
    }

    /// Whether the request that is being received is to be rejected, as its connection is evicted.
    pub fn is_rejected(&self) -> bool {
        self.evicted.get() == Some(EvictionClass::IncompleteRequest)
    }

    /// Whether the client has not read its response, and no longer relies on it.
    pub fn has_overdue_response(&self) -> bool {
        let expected_by = self.deadline.get().max(self.phase_since.get());
        self.phase.get() == Phase::Responding && expected_by + RESPONSE_GRACE <= self.clock.now()
    }

    /// Which of the connections that may be evicted this one is, or `None` if it may not be evicted: while a response is
    /// owed, while the client is within `grace` of its connect or of the first byte of its request, or if it has been
    /// requested to close already. Does not check for unread data.
    pub(super) fn eviction_class(&self, now: Micros, grace: Micros) -> Option<EvictionClass> {
        if self.is_evicted() {
            return None;
        }
        let waited = now.saturating_sub(self.phase_since.get());
        // Once a request has been answered the connection may be closed at once, as many clients that send one request
        // and stay connected would otherwise keep all others out.
        let has_rested = self.has_requested.get() || waited >= INCOMPLETE_REQUEST_GRACE;
        match self.phase.get() {
            Phase::Closing => Some(EvictionClass::Closing),
            _ if self.close_pending.get() => None,
            Phase::Idle if has_rested => Some(EvictionClass::Idle),
            Phase::Idle | Phase::ReadingHead | Phase::ReadingBody if waited >= grace => {
                Some(EvictionClass::IncompleteRequest)
            }
            Phase::Responding if self.has_overdue_response() => {
                Some(EvictionClass::OverdueResponse)
            }
            _ => None,
        }
    }

    /// Since when the proxy has been waiting for the client: a client that sends its request slowly has waited less than
    /// one that has stopped.
    pub(super) fn waiting_since(&self) -> Micros {
        match self.phase.get() {
            Phase::ReadingHead | Phase::ReadingBody => self.last_received.get(),
            _ => self.phase_since.get(),
        }
    }

    /// Whether nothing has arrived that the program would have to process before it evicts the connection.
    pub(super) fn can_be_evicted_now(&self) -> bool {
        matches!(self.phase.get(), Phase::Closing | Phase::Responding)
            || self.is_stalled()
            || self.has_nothing_unread()
    }

    /// Requests the connection to close, to free its descriptor for another.
    pub(super) fn evict(&self, class: EvictionClass) {
        self.evicted.set(Some(class));
        self.request_close();
    }

    /// Revokes an eviction, as data has arrived meanwhile. Returns false if the connection was not evicted.
    pub(super) fn cancel_eviction(&self) -> bool {
        let was_evicted = self.evicted.take().is_some();
        if was_evicted {
            self.close_pending.set(false);
        }
        was_evicted
    }
}
