//! The list service: requests to it, its answers, and the spread of a new list.

use super::message::Message;
use super::send::FANOUT;
use super::{Answer, Note, Output, Peer, MESSAGE_MOST};
use crate::belief::{Verdict, DOUBT};
use crate::list::{Change, HostList, Stamp};
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
    pub(super) fn handle_answer(&mut self, now: Micros, answer: Answer, out: &mut Vec<Output>) {
        let first = !self.polling.hears();
        self.polling
            .answered(now, answer.at_once.then_some(answer.took));
        let from = self.belief.stamp();
        let verdict = if answer.whole {
            self.belief
                .whole(now, answer.index, HostList::new(answer.changes))
        } else {
            self.belief.changes(now, answer.index, &answer.changes)
        };
        self.whole = matches!(verdict, Verdict::Doubted | Verdict::Unfit);
        match verdict {
            Verdict::News(changes) => self.adopt_list(now, from, (None, changes), out),
            Verdict::Known if answer.took < PAUSE_WITHOUT_NEWS => {
                self.polling.not_before(now + PAUSE_WITHOUT_NEWS);
            }
            Verdict::Doubted => {
                out.push(Output::Note(Note::Doubts(answer.index)));
                // Asked for the whole list, it answers at once.
                self.polling.not_before(now + DOUBT / 4);
            }
            Verdict::Unfit => self.polling.not_before(now + PAUSE_WITHOUT_NEWS),
            Verdict::Known => {}
        }
        if first {
            self.send_status_to_some(now, out);
        }
    }

    /// Polls the list service if it is time to.
    pub(super) fn poll_service(&mut self, now: Micros, out: &mut Vec<Output>) {
        let before = self.polling.asks();
        let listed = self.belief.held().is_some();
        let asks = self.polling.ask(now, listed);
        if self.polling.asks() != before {
            out.push(Output::Note(Note::Asks(!before)));
            self.send_status_to_some(now, out);
        }
        if asks {
            self.counts.questions += 1;
            let index = self
                .belief
                .stamp()
                .map(|s| s.index)
                .filter(|_| !self.whole || !listed);
            let wait = if self.polling.hears() {
                POLL_WAIT
            } else {
                FIRST_POLL_WAIT
            };
            // Jitter: requests that began together are not to end together for ever.
            let wait = wait - self.random.gen_range(0..=wait / 8);
            out.push(Output::Ask { index, wait });
        }
    }

    /// A new list is believed: it is reported, and sent to some peers.
    pub(super) fn adopt_list(
        &mut self,
        now: Micros,
        from: Option<Stamp>,
        (source, changes): (Option<SocketAddr>, Vec<Change>),
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.belief.held() else {
            return;
        };
        let stamp = held.stamp;
        self.source = source;
        self.packed = PackedList::pack(stamp, &held.hosts);
        if from.is_none() {
            let (hosts, after) = (held.hosts.up(), now - self.began);
            out.push(Output::Note(Note::Listed {
                from: source,
                stamp,
                hosts,
                after,
            }));
        }
        if from.is_some_and(|f| f.life < stamp.life) {
            out.push(Output::Note(Note::Life(stamp.life)));
        }
        if self
            .partial
            .as_ref()
            .is_some_and(|(a, ..)| a.stamp <= stamp)
        {
            self.partial = None;
        }
        self.advance_tick(now);
        let news = from.map(|from| Message::News {
            from,
            to: stamp,
            changes: changes.clone(),
        });
        let news = news
            .and_then(|news| self.encode(news))
            .filter(|bytes| bytes.len() <= MESSAGE_MOST);
        out.push(Output::List {
            whole: from.is_none(),
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
                    stamp: Some(stamp),
                    statuses,
                })
            }
        };
        let fanout = if self.disabled == Some(Mechanism::Push) {
            0
        } else {
            FANOUT
        };
        for to in self.random_peers(fanout, source) {
            self.send_encoded(now, to, bytes.clone(), out);
        }
    }
}
