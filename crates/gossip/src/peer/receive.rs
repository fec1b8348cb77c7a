//! Handling of received messages.

use super::message::{Envelope, ListDelta, Message, StatusMessage};
use super::timers::MIN_STATUS_INTERVAL;
use super::{Output, Peer};
use crate::acceptance::Verdict;
use crate::polling::{Mechanism, PollerStatus};
use crate::Micros;
use std::net::SocketAddr;

impl Peer {
    /// Decodes and handles a message.
    pub(super) fn handle_message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let Ok(Envelope { from, message }) = postcard::from_bytes::<Envelope>(bytes) else {
            self.metrics.malformed += 1;
            return;
        };
        let sender = from.address;
        if sender == self.own.address {
            return;
        }
        self.metrics.accepted += 1;
        self.polling.record_contact(now);
        self.record_sender(sender);
        match message {
            Message::Swim(bytes) => self.handle_swim(now, &bytes, out),
            Message::Status(status) => self.handle_status(now, sender, &status, out),
            Message::ListRequest(request) => self.handle_list_request(now, sender, &request, out),
            Message::ListPart(part) => self.handle_list_part(now, sender, &part, out),
            Message::ListDelta(delta) => self.handle_list_delta(now, sender, &delta, out),
        }
    }

    fn handle_swim(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        if self.swim.handle_data(bytes, &mut self.runtime).is_err() {
            self.metrics.malformed += 1;
        }
        self.process_swim_outputs(now, out);
    }

    fn handle_status(
        &mut self,
        now: Micros,
        sender: SocketAddr,
        status: &StatusMessage,
        out: &mut Vec<Output>,
    ) {
        self.handle_poller_statuses(now, &status.statuses, out);
        let own = self.acceptance.version();
        if status.version > own {
            let is_being_transferred = self
                .transfer
                .as_ref()
                .is_some_and(|t| status.version <= Some(t.list.version) && !t.is_stalled(now));
            if !is_being_transferred {
                self.request_list(now, sender, out);
            }
        } else if status.version < own {
            self.send_list(now, sender, out);
        }
    }

    fn handle_poller_statuses(
        &mut self,
        now: Micros,
        statuses: &[PollerStatus],
        out: &mut Vec<Output>,
    ) {
        if !self.polling.handle_statuses(now, statuses) {
            return;
        }
        self.expedite_status(now);
        // Further changes within the interval are sent with the next periodic status, as forwarding each of them could
        // cause a message storm.
        let may_forward = self.statuses_forwarded_at + MIN_STATUS_INTERVAL <= now;
        if may_forward && self.disabled != Some(Mechanism::StatusForwarding) {
            self.statuses_forwarded_at = now;
            self.send_status_to_some(now, out);
        }
    }

    fn handle_list_delta(
        &mut self,
        now: Micros,
        sender: SocketAddr,
        delta: &ListDelta,
        out: &mut Vec<Output>,
    ) {
        let previous = self.acceptance.version();
        let verdict = self
            .acceptance
            .offer_peer_changes(now, delta.from, delta.to, &delta.changes);
        match verdict {
            Verdict::Newer(changes) => {
                self.publish_list(now, previous, Some(sender), changes, out);
            }
            Verdict::Invalid => self.request_list(now, sender, out),
            Verdict::Duplicate | Verdict::Quarantined => {}
        }
    }
}
