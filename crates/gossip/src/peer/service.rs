//! The list service: requests to it, its answers, and the spread of a new list.

use super::message::Message;
use super::send::FANOUT;
use super::{Output, Peer, PeerEvent, PollAnswer, MAX_MESSAGE_SIZE};
use crate::acceptance::{Verdict, PARTIAL_LIST_QUARANTINE};
use crate::endpoint_list::{EndpointChange, EndpointList, ListVersion};
use crate::packed_list::PackedList;
use crate::polling::Mechanism;
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// How long a request waits at the service for news.
const POLL_WAIT: Micros = 10_000_000;

/// The shorter wait of a proxy's first request, whose answer shows that the service is reachable.
const FIRST_POLL_WAIT: Micros = 1_000_000;

/// The pause after an answer that came at once without news.
const PAUSE_WITHOUT_NEWS: Micros = 50_000;

impl Peer {
    /// The list service has answered.
    pub(super) fn handle_answer(&mut self, now: Micros, answer: PollAnswer, out: &mut Vec<Output>) {
        let first = !self.polling.is_healthy_poller();
        self.polling
            .poll_answered(now, answer.immediate.then_some(answer.latency));
        let from = self.acceptance.version();
        let verdict = if answer.complete {
            self.acceptance
                .offer_service_list(now, answer.index, EndpointList::new(answer.changes))
        } else {
            self.acceptance
                .offer_service_changes(now, answer.index, &answer.changes)
        };
        self.request_full_list = matches!(verdict, Verdict::Quarantined | Verdict::Invalid);
        match verdict {
            Verdict::Newer(changes) => self.adopt_list(now, from, (None, changes), out),
            Verdict::Duplicate if answer.latency < PAUSE_WITHOUT_NEWS => {
                self.polling.delay_until(now + PAUSE_WITHOUT_NEWS);
            }
            Verdict::Quarantined => {
                out.push(Output::Event(PeerEvent::ListQuarantined {
                    index: answer.index,
                }));
                // Asked for the whole list, it answers at once.
                self.polling.delay_until(now + PARTIAL_LIST_QUARANTINE / 4);
            }
            Verdict::Invalid => self.polling.delay_until(now + PAUSE_WITHOUT_NEWS),
            Verdict::Duplicate => {}
        }
        if first {
            self.send_status_to_some(now, out);
        }
    }

    /// Polls the list service if it is time to.
    pub(super) fn poll_service(&mut self, now: Micros, out: &mut Vec<Output>) {
        let before = self.polling.is_poller();
        let listed = self.acceptance.accepted().is_some();
        let asks = self.polling.start_poll(now, listed);
        if self.polling.is_poller() != before {
            out.push(Output::Event(if before {
                PeerEvent::PollingStopped
            } else {
                PeerEvent::PollingStarted
            }));
            self.send_status_to_some(now, out);
        }
        if asks {
            self.metrics.polls += 1;
            let index = self
                .acceptance
                .version()
                .map(|s| s.index)
                .filter(|_| !self.request_full_list || !listed);
            let wait = if self.polling.is_healthy_poller() {
                POLL_WAIT
            } else {
                FIRST_POLL_WAIT
            };
            // Jitter: requests that began together are not to end together for ever.
            let wait = wait - self.random.gen_range(0..=wait / 8);
            out.push(Output::Poll { index, wait });
        }
    }

    /// A new list is believed: it is reported, and sent to some peers.
    pub(super) fn adopt_list(
        &mut self,
        now: Micros,
        from: Option<ListVersion>,
        (source, changes): (Option<SocketAddr>, Vec<EndpointChange>),
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.acceptance.accepted() else {
            return;
        };
        let version = held.version;
        self.source = source;
        self.packed = PackedList::pack(version, &held.hosts);
        if from.is_none() {
            let (endpoints, elapsed) = (held.hosts.count_up(), now - self.began);
            out.push(Output::Event(PeerEvent::ListReceived {
                source,
                version,
                endpoints,
                elapsed,
            }));
        }
        if from.is_some_and(|f| f.incarnation < version.incarnation) {
            out.push(Output::Event(PeerEvent::IncarnationStarted {
                incarnation: version.incarnation,
            }));
        }
        if self
            .partial
            .as_ref()
            .is_some_and(|(a, ..)| a.version <= version)
        {
            self.partial = None;
        }
        self.advance_tick(now);
        let news = from.map(|from| Message::ListDelta {
            from,
            to: version,
            changes: changes.clone(),
        });
        let news = news
            .and_then(|news| self.encode(news))
            .filter(|bytes| bytes.len() <= MAX_MESSAGE_SIZE);
        out.push(Output::ListChanged {
            complete: from.is_none(),
            changes,
        });
        let bytes = match (news, &self.packed) {
            (Some(bytes), _) => Some(bytes),
            (None, Some(packed)) if packed.parts() == 1 => {
                self.part_message(0).and_then(|m| self.encode(m))
            }
            _ => {
                let statuses = self.polling.statuses(now, false);
                self.encode(Message::Status {
                    version: Some(version),
                    statuses,
                })
            }
        };
        let fanout = if self.disabled == Some(Mechanism::EagerPush) {
            0
        } else {
            FANOUT
        };
        for to in self.random_peers(fanout, source) {
            self.send_encoded(now, to, bytes.clone(), out);
        }
    }
}
