//! Protection against replayed messages: a sliding window for each sender, as in [RFC 4303], appendix A2.
//!
//! A sender uses one sequence for its messages to all receivers, so the window must be wide. A message can be accepted
//! twice if its sender's window was evicted in between (after [`MAX_SENDERS`] other senders), or if it was sent before
//! the receiver started. This is harmless: a replayed message never replaces a list or a poller's status by an older
//! one.
//!
//! [RFC 4303]: https://www.rfc-editor.org/rfc/rfc4303

use std::collections::HashMap;

/// Maximum number of senders whose windows are kept.
pub const MAX_SENDERS: usize = 4_096;

/// Number of sequence numbers in a sender's window.
const WINDOW: u64 = 1_024;

const BITS_PER_WORD: u64 = 64;
const WORDS: usize = (WINDOW / BITS_PER_WORD) as usize;

/// The accepted sequence numbers of one sender, as a circular bitmap.
#[derive(Clone, Debug)]
struct Window {
    highest: u64,
    seen: [u64; WORDS],
    /// Value of [`ReplayFilter::checked`] when a message of this sender was last checked.
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

    /// Records a sequence number. Returns whether it is within the window and was not recorded before.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW <= self.highest {
            return false;
        }
        self.advance(sequence);
        let (word, mask) = word_and_mask(sequence);
        let is_new = self.seen[word] & mask == 0;
        self.seen[word] |= mask;
        is_new
    }

    /// Moves the window forward so that it ends at `sequence`, and clears the bits that enter it.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let steps = (sequence - self.highest).min(WINDOW);
        for entering in sequence - steps + 1..=sequence {
            let (word, mask) = word_and_mask(entering);
            self.seen[word] &= !mask;
        }
        self.highest = sequence;
    }
}

/// Index of the word, and mask of the bit, that represent a sequence number.
fn word_and_mask(sequence: u64) -> (usize, u64) {
    let word = (sequence % WINDOW / BITS_PER_WORD) as usize;
    (word, 1 << (sequence % BITS_PER_WORD))
}

/// Rejects messages that were accepted before.
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
    /// Number of messages checked so far.
    checked: u64,
}

impl ReplayFilter {
    /// Records a message by its sender and sequence number. Returns `false` if it was accepted before, or is older than
    /// the sender's window.
    pub fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        self.checked += 1;
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender) {
            self.evict_least_recently_used();
        }
        let window = self.windows.entry(sender).or_insert_with(Window::new);
        window.last_used = self.checked;
        window.accept(sequence)
    }

    fn evict_least_recently_used(&mut self) {
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
