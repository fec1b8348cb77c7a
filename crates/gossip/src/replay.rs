//! Protection against replayed messages: a sliding window for each sender, as in [RFC 4303], appendix A2.
//!
//! A sender numbers its messages to all others together, so its window is wide. A message of a sender that was forgotten
//! (after [`MAX_SENDERS`] others) could be accepted twice; so could all messages sent before the receiver's own start.
//! Neither makes an older list newer, nor an older status of a poller.
//!
//! [RFC 4303]: https://www.rfc-editor.org/rfc/rfc4303

use std::collections::HashMap;

/// Number of senders that are remembered.
pub const MAX_SENDERS: usize = 4_096;

/// Number of sequence numbers in the window of a sender.
const WINDOW: u64 = 1_024;

const BITS_PER_WORD: u64 = 64;
const WORDS: usize = (WINDOW / BITS_PER_WORD) as usize;

/// The sequence numbers of one sender that were accepted: a ring of bits.
#[derive(Clone, Debug)]
struct Window {
    highest: u64,
    seen: [u64; WORDS],
    /// When a message of this sender was last checked, counted in messages of all senders.
    last_used: u64,
}

impl Window {
    fn new() -> Self {
        Window {
            highest: 0,
            seen: [0; WORDS],
            last_used: 0,
        }
    }

    /// Accepts a sequence number once.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW <= self.highest {
            return false;
        }
        self.advance(sequence);
        let (word, mask) = position(sequence);
        let is_new = self.seen[word] & mask == 0;
        self.seen[word] |= mask;
        is_new
    }

    /// Moves the window forward, so that it ends at this sequence number, and clears the bits that come into it.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let steps = (sequence - self.highest).min(WINDOW);
        for entering in sequence - steps + 1..=sequence {
            let (word, mask) = position(entering);
            self.seen[word] &= !mask;
        }
        self.highest = sequence;
    }
}

/// The word and the bit of a sequence number.
fn position(sequence: u64) -> (usize, u64) {
    let word = (sequence % WINDOW / BITS_PER_WORD) as usize;
    (word, 1 << (sequence % BITS_PER_WORD))
}

/// Accepts each message once.
///
/// ```
/// use badgerramp_gossip::replay::ReplayFilter;
///
/// let mut filter = ReplayFilter::default();
/// assert!(filter.accept(7, 2));
/// assert!(filter.accept(7, 1));
/// assert!(!filter.accept(7, 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    windows: HashMap<u64, Window>,
    /// Messages that were checked.
    checked: u64,
}

impl ReplayFilter {
    /// Records a message by its sender and that sender's sequence number. Returns `false` if it was accepted before, or
    /// is too old to tell.
    pub fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        self.checked += 1;
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender) {
            self.forget_least_recently_used();
        }
        let window = self.windows.entry(sender).or_insert_with(Window::new);
        window.last_used = self.checked;
        window.accept(sequence)
    }

    fn forget_least_recently_used(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_used)
            .map(|(sender, _)| *sender);
        if let Some(sender) = oldest {
            self.windows.remove(&sender);
        }
    }
}

#[cfg(test)]
mod tests;
