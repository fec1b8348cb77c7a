//! A set of slots with weighted random draws: the probability of each slot is proportional to its
//! weight. All operations take time logarithmic in the number of slots, so the cost of a draw
//! hardly depends on the size of the fleet.

use rand::Rng;

/// The weight of size 1. Weights are integers, so that sums do not accumulate rounding errors.
const UNIT: f64 = (1 << 20) as f64;
/// Maximum weight; the sum of thousands of them still fits a `u64`.
const MAX_WEIGHT: f64 = (1_u64 << 44) as f64;

/// The weight of an endpoint of this size. It is at least 1, because weight 0 means that a slot is
/// not in the set.
pub(crate) fn weight(size: f64) -> u64 {
    (size * UNIT).clamp(1.0, MAX_WEIGHT) as u64
}

/// The size that corresponds to a sum of weights.
pub(crate) fn size(weights: u64) -> f64 {
    weights as f64 / UNIT
}

/// A binary indexed tree (P. Fenwick, 1994) over the weights of slots. A slot with weight 0 is not
/// in the set.
#[derive(Clone, Debug, Default)]
pub(crate) struct WeightedSet {
    weights: Vec<u64>,
    /// `tree[i]` is the sum of the weights of the slots up to and including `i`; the number of
    /// slots is the lowest set bit of `i + 1`.
    tree: Vec<u64>,
    total: u64,
    len: usize,
}

impl WeightedSet {
    /// The number of slots in the set.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The sum of all weights.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Whether a slot is in the set.
    pub(crate) fn contains(&self, slot: usize) -> bool {
        self.weights.get(slot).is_some_and(|&w| w > 0)
    }

    /// Adds a slot with this weight or changes its weight; 0 removes it.
    pub(crate) fn set(&mut self, slot: usize, weight: u64) {
        if slot >= self.weights.len() {
            if weight == 0 {
                return;
            }
            self.grow(slot + 1);
        }
        let old = std::mem::replace(&mut self.weights[slot], weight);
        if old == weight {
            return;
        }
        self.len = self.len + usize::from(old == 0) - usize::from(weight == 0);
        self.total = self.total - old + weight;
        let mut node = slot;
        while node < self.tree.len() {
            self.tree[node] = self.tree[node] - old + weight;
            node |= node + 1;
        }
    }

    /// Grows the set to at least this many slots, rounded up to a power of two so that the
    /// amortized cost per slot is low.
    fn grow(&mut self, slots: usize) {
        let slots = slots.next_power_of_two().max(16);
        self.weights.resize(slots, 0);
        self.tree.clone_from(&self.weights);
        for node in 0..slots {
            let parent = node | (node + 1);
            if parent < slots {
                self.tree[parent] += self.tree[node];
            }
        }
    }

    /// The slot at `offset` (below the total) when the slots are laid end to end by weight, and the
    /// offset at which the next slot begins.
    pub(crate) fn slot_at(&self, offset: u64) -> Option<(usize, u64)> {
        if offset >= self.total {
            return None;
        }
        let (mut slot, mut remaining, mut step) = (0, offset, self.tree.len());
        while step > 0 {
            if let Some(&below) = self
                .tree
                .get(slot + step - 1)
                .filter(|&&below| below <= remaining)
            {
                remaining -= below;
                slot += step;
            }
            step /= 2;
        }
        Some((slot, offset - remaining + self.weights[slot]))
    }

    /// Draws a random slot, with probability proportional to weight.
    pub(crate) fn draw(&self, random: &mut impl Rng) -> Option<usize> {
        (self.total > 0)
            .then(|| random.gen_range(0..self.total))
            .and_then(|offset| self.slot_at(offset))
            .map(|(slot, _)| slot)
    }

    /// Iterates over all slots in order, starting at the slot at `offset` and wrapping around.
    pub(crate) fn iter_from(&self, offset: u64) -> impl Iterator<Item = usize> + '_ {
        let mut next = self.slot_at(offset);
        let (first, mut remaining) = (next.map_or(0, |(slot, _)| slot), self.len);
        std::iter::from_fn(move || {
            let (slot, end) = next.filter(|_| remaining > 0)?;
            remaining -= 1;
            next = self
                .slot_at(end)
                .or_else(|| self.slot_at(0))
                .filter(|&(slot, _)| slot != first);
            Some(slot)
        })
    }
}

#[cfg(test)]
mod tests;
