//! Polls of the list service, their answers, and the dissemination of a new list.

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

/// How long the service may hold a poll back until there is news.
const POLL_WAIT: Micros = 10_000_000;

/// The same for the first poll of a proxy, whose answer shows that the service is reachable.
const FIRST_POLL_WAIT: Micros = 1_000_000;

/// Pause after an answer that came at once without news.
const PAUSE_WITHOUT_NEWS: Micros = 50_000;

/// Pause between polls while a list is quarantined: the service answers polls for the complete list at once.
const PAUSE_IN_QUARANTINE: Micros = PARTIAL_LIST_QUARANTINE / 4;

impl Peer {
    /// The list service has answered a poll.
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
            Verdict::Duplicate if latency < PAUSE_WITHOUT_NEWS => {
                self.polling.delay_until(now + PAUSE_WITHOUT_NEWS);
            }
            Verdict::Duplicate => {}
            Verdict::Quarantined => {
                out.push(Output::Event(PeerEvent::ListQuarantined { index }));
                self.polling.delay_until(now + PAUSE_IN_QUARANTINE);
            }
            Verdict::Invalid => self.polling.delay_until(now + PAUSE_WITHOUT_NEWS),
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

    /// A poll of the list service has failed.
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

    /// Polls the list service if it is time to.
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

    /// How long the service may hold the next poll back, with jitter: polls that began together must not end together
    /// for ever.
    fn poll_wait(&mut self) -> Micros {
        let wait = if self.polling.is_healthy_poller() {
            POLL_WAIT
        } else {
            FIRST_POLL_WAIT
        };
        wait - self.random.gen_range(0..=wait / 8)
    }

    /// A new list has been accepted: reports it, and sends it to some peers. `previous`: the version before; `source`:
    /// the peer that it came from, or `None` for the service.
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
        let message = self.encode_news(now, previous, version, &changes);
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

    /// The message that tells peers of a new list: what has changed, else the list, else its version: the first that fits.
    fn encode_news(
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
