//! Messages that were taken before are not taken again: the sliding window of RFC 4303 (appendix A2), for each sender.
//!
//! A sender counts its messages to all others together, so its window is wide. Of one that was forgotten (after
//! [`MAX_SENDERS`] others) a message could be taken twice; so could all that was sent before this proxy's own start. Neither
//! makes an older list newer, nor an older word on who asks.

use std::collections::HashMap;

/// Senders that are remembered.
pub const MAX_SENDERS: usize = 4_096;
/// Messages of a sender that may be under way at once.
const WINDOW: u64 = 1_024;
const WORDS: usize = (WINDOW / 64) as usize;

#[derive(Clone, Debug)]
struct Sender {
    highest: u64,
    seen: [u64; WORDS],
    /// When it was last heard, in messages of all.
    heard: u64,
}

/// The messages that were taken.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    senders: HashMap<u64, Sender>,
    taken: u64,
}

impl ReplayFilter {
    /// Notes a message by its sender and that one's count. False: it was taken before, or is too old to tell.
    pub fn accept(&mut self, sender: u64, count: u64) -> bool {
        self.taken += 1;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, s)| s.heard)
                .map(|(id, _)| *id);
            oldest.map(|id| self.senders.remove(&id));
        }
        let fresh = || Sender {
            highest: 0,
            seen: [0; WORDS],
            heard: 0,
        };
        let known = self.senders.entry(sender).or_insert_with(fresh);
        known.heard = self.taken;
        if count + WINDOW <= known.highest {
            return false;
        }
        if count > known.highest {
            // What the window has left behind is forgotten.
            let steps = (count - known.highest).min(WINDOW);
            for step in 1..=steps {
                let place = (count - steps + step) % WINDOW;
                known.seen[(place / 64) as usize] &= !(1 << (place % 64));
            }
            known.highest = count;
        }
        let (word, bit) = ((count % WINDOW / 64) as usize, 1u64 << (count % 64));
        let again = known.seen[word] & bit != 0;
        known.seen[word] |= bit;
        !again
    }
}

#[cfg(test)]
mod tests;
