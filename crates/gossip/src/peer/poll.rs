//! Polls of the list service, the handling of their answers, and the dissemination of a new list.

use super::message::{ListDelta, Message};
use super::send::FANOUT;
use super::{Output, Peer, PeerEvent, PollAnswer, MAX_MESSAGE_SIZE};
use crate::acceptance::{Verdict, PARTIAL_LIST_QUARANTINE};
use crate::endpoint_list::{EndpointChange, EndpointList, ListVersion};
use crate::packed_list::PackedList;
use crate::polling::Mechanism;
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// How long the service may hold a poll until the list changes.
const POLL_WAIT: Micros = 10_000_000;

/// How long the service may hold a poll of a proxy that is not a healthy poller. It is short, as the answer shows that
/// the service is reachable.
const FIRST_POLL_WAIT: Micros = 1_000_000;

/// Minimum delay before the next poll after an answer that came sooner than this without a newer list, or whose changes
/// do not apply to the accepted list.
const UNCHANGED_ANSWER_DELAY: Micros = 50_000;

/// Minimum delay between polls while a list is quarantined, as the service answers polls for the complete list
/// immediately.
const QUARANTINE_POLL_DELAY: Micros = PARTIAL_LIST_QUARANTINE / 4;

impl Peer {
    /// Handles an answer of the list service.
    pub(super) fn handle_poll_answer(
        &mut self,
        now: Micros,
        answer: PollAnswer,
        out: &mut Vec<Output>,
    ) {
        let was_healthy = self.polling.is_healthy_poller();
        let service_latency = answer.immediate.then_some(answer.latency);
        self.polling.poll_answered(now, service_latency);
        let previous = self.acceptance.version();
        let (index, latency) = (answer.index, answer.latency);
        let verdict = self.offer_answer(now, answer);
        self.needs_complete_list = matches!(verdict, Verdict::Quarantined | Verdict::Invalid);
        match verdict {
            Verdict::Newer(changes) => self.publish_list(now, previous, None, changes, out),
            Verdict::Duplicate if latency < UNCHANGED_ANSWER_DELAY => {
                self.polling.delay_until(now + UNCHANGED_ANSWER_DELAY);
            }
            Verdict::Duplicate => {}
            Verdict::Quarantined => {
                out.push(Output::Event(PeerEvent::ListQuarantined { index }));
                self.polling.delay_until(now + QUARANTINE_POLL_DELAY);
            }
            Verdict::Invalid => self.polling.delay_until(now + UNCHANGED_ANSWER_DELAY),
        }
        if !was_healthy {
            self.send_status_to_some(now, out);
        }
    }

    fn offer_answer(&mut self, now: Micros, answer: PollAnswer) -> Verdict {
        if answer.complete {
            let list = EndpointList::new(answer.changes);
            self.acceptance.offer_service_list(now, answer.index, list)
        } else {
            self.acceptance
                .offer_service_changes(now, answer.index, &answer.changes)
        }
    }

    /// Handles the failure of a poll.
    pub(super) fn handle_poll_failure(
        &mut self,
        now: Micros,
        retry_after: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        self.metrics.polls_failed += 1;
        self.needs_complete_list |= self.acceptance.accepted().is_none();
        self.polling.poll_failed(now, retry_after);
        self.send_status_to_some(now, out);
    }

    /// Polls the list service if a poll is due.
    pub(super) fn poll_service(&mut self, now: Micros, out: &mut Vec<Output>) {
        let was_poller = self.polling.is_poller();
        let has_list = self.acceptance.accepted().is_some();
        let is_due = self.polling.start_poll(now, has_list);
        if self.polling.is_poller() != was_poller {
            let event = if was_poller {
                PeerEvent::PollingStopped
            } else {
                PeerEvent::PollingStarted
            };
            out.push(Output::Event(event));
            self.send_status_to_some(now, out);
        }
        if is_due {
            self.metrics.polls += 1;
            let index = self.known_index();
            let wait = self.poll_wait();
            out.push(Output::Poll { index, wait });
        }
    }

    /// The index of the accepted list; `None` if the complete list is needed.
    fn known_index(&self) -> Option<u64> {
        if self.needs_complete_list {
            return None;
        }
        self.acceptance.version().map(|version| version.index)
    }

    /// How long the service may hold the next poll. The wait has jitter, so that polls that began at the same time do
    /// not keep ending at the same time.
    fn poll_wait(&mut self) -> Micros {
        let wait = if self.polling.is_healthy_poller() {
            POLL_WAIT
        } else {
            FIRST_POLL_WAIT
        };
        wait - self.random.gen_range(0..=wait / 8)
    }

    /// Reports a newly accepted list and sends it to some peers. `previous` is the version accepted before; `source` is
    /// the peer that sent the list, or `None` if the service did.
    pub(super) fn publish_list(
        &mut self,
        now: Micros,
        previous: Option<ListVersion>,
        source: Option<SocketAddr>,
        changes: Vec<EndpointChange>,
        out: &mut Vec<Output>,
    ) {
        let Some(accepted) = self.acceptance.accepted() else {
            return;
        };
        let version = accepted.version;
        let endpoints = accepted.endpoints.count_up();
        self.packed = PackedList::pack(version, &accepted.endpoints);
        self.source = source;
        match previous {
            None => out.push(Output::Event(PeerEvent::ListReceived {
                source,
                version,
                endpoints,
                elapsed: now - self.started_at,
            })),
            Some(previous) if previous.incarnation < version.incarnation => {
                let incarnation = version.incarnation;
                out.push(Output::Event(PeerEvent::IncarnationStarted { incarnation }));
            }
            Some(_) => {}
        }
        let transfer = self.transfer.as_ref();
        if transfer.is_some_and(|transfer| transfer.list.version <= version) {
            self.transfer = None;
        }
        self.expedite_status(now);
        let message = self.encode_list_update(now, previous, version, &changes);
        out.push(Output::ListChanged {
            complete: previous.is_none(),
            changes,
        });
        let fanout = if self.disabled == Some(Mechanism::EagerPush) {
            0
        } else {
            FANOUT
        };
        let receivers = self.random_peers(fanout, source);
        if let Some(bytes) = message {
            self.send_to_all(now, receivers, &bytes, out);
        }
    }

    /// Encodes the message that announces a new list to peers. It holds the changes, the complete list or its version:
    /// the first of these that fits into one message.
    fn encode_list_update(
        &mut self,
        now: Micros,
        previous: Option<ListVersion>,
        version: ListVersion,
        changes: &[EndpointChange],
    ) -> Option<Vec<u8>> {
        let delta = previous.and_then(|from| {
            self.encode(Message::ListDelta(ListDelta {
                from,
                to: version,
                changes: changes.to_vec(),
            }))
        });
        if let Some(bytes) = delta.filter(|bytes| bytes.len() <= MAX_MESSAGE_SIZE) {
            return Some(bytes);
        }
        let message = match self.single_part_message() {
            Some(part) => part,
            None => self.status_message(now, false),
        };
        self.encode(message)
    }
}
