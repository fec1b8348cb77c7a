//! Received messages.

use super::message::{Envelope, Message};
use super::send::FANOUT;
use super::tick::MIN_TICK;
use super::transfer::PART_TIMEOUT;
use super::{Member, Output, Peer};
use crate::belief::Verdict;
use crate::list::Stamp;
use crate::polling::{Mechanism, PollerStatus};
use crate::Micros;

impl Peer {
    /// Decodes and handles a message.
    pub(super) fn handle_message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) {
        let Ok(Envelope { from, message }) = postcard::from_bytes::<Envelope>(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        if from.address == self.own.address {
            return;
        }
        self.counts.taken += 1;
        self.polling.met(now);
        if self.heard.len() >= 2 * FANOUT {
            self.heard.pop_front();
        }
        if !self.heard.contains(&from.address) {
            self.heard.push_back(from.address);
        }
        match message {
            Message::Swim(bytes) => {
                if self.swim.handle_data(&bytes, &mut self.runtime).is_err() {
                    self.counts.malformed += 1;
                }
                self.carry_out_swim(now, out);
            }
            Message::Status { stamp, statuses } => {
                self.handle_status(now, from, (stamp, &statuses), out);
            }
            Message::Want { stamp, of, parts } => {
                self.handle_list_request(now, from, (stamp, of, &parts), out);
            }
            Message::Part {
                stamp,
                number,
                parts,
                bytes,
            } => {
                self.handle_part(now, from, (stamp, number, parts), &bytes, out);
            }
            Message::News {
                from: old,
                to,
                changes,
            } => {
                let own = self.belief.stamp();
                match self.belief.news(now, (old, to), &changes) {
                    Verdict::News(changes) => {
                        self.adopt_list(now, own, (Some(from.address), changes), out);
                    }
                    Verdict::Unfit => self.request_list(now, from.address, out),
                    Verdict::Known | Verdict::Doubted => {}
                }
            }
        }
    }

    /// A peer has sent its status.
    pub(super) fn handle_status(
        &mut self,
        now: Micros,
        from: Member,
        (stamp, statuses): (Option<Stamp>, &[PollerStatus]),
        out: &mut Vec<Output>,
    ) {
        if self.polling.told(now, statuses) {
            self.advance_tick(now);
            // Further news within a tick goes with the next status: the statuses of pollers must never become a message
            // storm.
            if self.passed_on + MIN_TICK <= now && self.disabled != Some(Mechanism::Words) {
                self.passed_on = now;
                self.send_status_to_some(now, out);
            }
        }
        let own = self.belief.stamp();
        if stamp > own {
            let coming = self
                .partial
                .as_ref()
                .is_some_and(|(a, _, at)| stamp <= Some(a.stamp) && now < at + PART_TIMEOUT);
            if !coming {
                self.request_list(now, from.address, out);
            }
        } else if stamp < own {
            self.send_list(now, from.address, out);
        }
    }
}
