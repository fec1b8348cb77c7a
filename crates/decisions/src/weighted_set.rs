//! A set of slots from which one is drawn with a chance in proportion to its weight. Every
//! operation takes the logarithm of the number of slots, so a draw costs much the same in a fleet
//! of ten and of ten thousand.

use rand::Rng;

/// Weights are whole numbers, so that sums never drift: this many stand for a size of 1.
const UNIT: f64 = (1 << 20) as f64;
/// Largest weight: thousands of them still fit their sum.
const MAX_WEIGHT: f64 = (1_u64 << 44) as f64;

/// The weight of an endpoint of this size; never nothing, as nothing means that it is not in a set.
pub(crate) fn weight(size: f64) -> u64 {
    (size * UNIT).clamp(1.0, MAX_WEIGHT) as u64
}

/// The size that a sum of weights stands for.
pub(crate) fn size(weights: u64) -> f64 {
    weights as f64 / UNIT
}

/// A binary indexed tree (P. Fenwick, 1994) over the weights of slots; a slot of weight 0 is not in
/// the set.
#[derive(Clone, Debug, Default)]
pub(crate) struct WeightedSet {
    weights: Vec<u64>,
    /// `tree[i]` holds the weights of the slots that end at `i`, as many as the lowest bit of `i +
    /// 1` says.
    tree: Vec<u64>,
    total: u64,
    len: usize,
}

impl WeightedSet {
    /// How many slots are in it.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Sum of the weights.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Whether a slot is in it.
    pub(crate) fn contains(&self, slot: usize) -> bool {
        self.weights.get(slot).is_some_and(|&w| w > 0)
    }

    /// Puts a slot in with this weight, or takes it out with 0.
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
        let mut at = slot;
        while at < self.tree.len() {
            self.tree[at] = self.tree[at] - old + weight;
            at |= at + 1;
        }
    }

    /// Makes space for this many slots at least: a power of two, so that growing costs little for
    /// each slot.
    fn grow(&mut self, slots: usize) {
        let slots = slots.next_power_of_two().max(16);
        self.weights.resize(slots, 0);
        self.tree.clone_from(&self.weights);
        for at in 0..slots {
            let parent = at | (at + 1);
            if parent < slots {
                self.tree[parent] += self.tree[at];
            }
        }
    }

    /// The slot at a mark from 0 to under the total, slots laid end to end by their weights, and
    /// the mark at which the next one begins.
    pub(crate) fn at(&self, mark: u64) -> Option<(usize, u64)> {
        if mark >= self.total {
            return None;
        }
        let (mut slot, mut left, mut step) = (0, mark, self.tree.len());
        while step > 0 {
            if let Some(&below) = self
                .tree
                .get(slot + step - 1)
                .filter(|&&below| below <= left)
            {
                left -= below;
                slot += step;
            }
            step /= 2;
        }
        Some((slot, mark - left + self.weights[slot]))
    }

    /// A random slot.
    pub(crate) fn draw(&self, random: &mut impl Rng) -> Option<usize> {
        (self.total > 0)
            .then(|| random.gen_range(0..self.total))
            .and_then(|mark| self.at(mark))
            .map(|(slot, _)| slot)
    }

    /// The slots in order, from the one at `mark` on and round to it again.
    pub(crate) fn from(&self, mark: u64) -> impl Iterator<Item = usize> + '_ {
        let mut next = self.at(mark);
        let (first, mut left) = (next.map_or(0, |(slot, _)| slot), self.len);
        std::iter::from_fn(move || {
            let (slot, end) = next.filter(|_| left > 0)?;
            left -= 1;
            next = self
                .at(end)
                .or_else(|| self.at(0))
                .filter(|&(slot, _)| slot != first);
            Some(slot)
        })
    }
}

#[cfg(test)]
mod tests;
