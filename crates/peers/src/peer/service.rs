//! The list service: requests to it, its answers, and the spread of a new list.

use super::message::Message;
use super::send::FAN;
use super::{Answer, Note, Output, Peer, MESSAGE_MOST};
use crate::belief::{Verdict, DOUBT};
use crate::list::{Book, Change, Stamp};
use crate::parcel::Parcel;
use crate::turns::Mechanism;
use crate::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// How long a question waits at the service for news; the first one of a proxy for less: its answer shows that the
/// service is heard.
const WAIT: Micros = 10_000_000;

const WAIT_FIRST: Micros = 1_000_000;

/// A pause after an answer that came at once and told nothing new.
const CALM: Micros = 50_000;

impl Peer {
    pub(super) fn answered(&mut self, now: Micros, answer: Answer, out: &mut Vec<Output>) {
        let first = !self.turns.hears();
        self.turns.answered(now, answer.at_once.then_some(answer.took));
        let from = self.belief.stamp();
        let verdict = match answer.whole {
            true => self.belief.whole(now, answer.index, Book::new(answer.changes)),
            false => self.belief.changes(now, answer.index, &answer.changes),
        };
        self.whole = matches!(verdict, Verdict::Doubted | Verdict::Unfit);
        match verdict {
            Verdict::News(changes) => self.believe(now, from, (None, changes), out),
            Verdict::Known if answer.took < CALM => self.turns.not_before(now + CALM),
            Verdict::Doubted => {
                out.push(Output::Note(Note::Doubts(answer.index)));
                // Asked for the whole list, it answers at once.
                self.turns.not_before(now + DOUBT / 4);
            }
            Verdict::Unfit => self.turns.not_before(now + CALM),
            Verdict::Known => {}
        }
        if first {
            self.tell(now, out);
        }
    }

    pub(super) fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        let before = self.turns.asks();
        let listed = self.belief.held().is_some();
        let asks = self.turns.ask(now, listed);
        if self.turns.asks() != before {
            out.push(Output::Note(Note::Asks(!before)));
            self.tell(now, out);
        }
        if asks {
            self.counts.questions += 1;
            let index = self.belief.stamp().map(|s| s.index).filter(|_| !self.whole || !listed);
            let wait = if self.turns.hears() { WAIT } else { WAIT_FIRST };
            // Each a little less: questions that began together are not to end together for ever.
            let wait = wait - self.random.gen_range(0..=wait / 8);
            out.push(Output::Ask { index, wait });
        }
    }

    /// A new list is believed: calls hear of it, and others.
    pub(super) fn believe(
        &mut self,
        now: Micros,
        from: Option<Stamp>,
        (source, changes): (Option<SocketAddr>, Vec<Change>),
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.belief.held() else { return };
        let stamp = held.stamp;
        self.source = source;
        self.parcel = Parcel::pack(stamp, &held.book);
        if from.is_none() {
            let (hosts, after) = (held.book.up(), now - self.began);
            out.push(Output::Note(Note::Listed { from: source, stamp, hosts, after }));
        }
        if from.is_some_and(|f| f.life < stamp.life) {
            out.push(Output::Note(Note::Life(stamp.life)));
        }
        if self.assembly.as_ref().is_some_and(|(a, ..)| a.stamp <= stamp) {
            self.assembly = None;
        }
        self.hurry(now);
        let news = from.map(|from| Message::News { from, to: stamp, changes: changes.clone() });
        let news = news.and_then(|news| self.written(news)).filter(|bytes| bytes.len() <= MESSAGE_MOST);
        out.push(Output::List { whole: from.is_none(), changes });
        let bytes = match (news, &self.parcel) {
            (Some(bytes), _) => Some(bytes),
            (None, Some(parcel)) if parcel.parts() == 1 => self.part(0).and_then(|m| self.written(m)),
            _ => {
                let words = self.turns.words(now, false);
                self.written(Message::Status { stamp: Some(stamp), words })
            }
        };
        let fan = if self.without == Some(Mechanism::Push) { 0 } else { FAN };
        for to in self.others(fan, source) {
            self.post(now, to, bytes.clone(), out);
        }
    }
}
