//! Groups of slots by key: those of one zone, or of one cell.

use rustc_hash::FxHashMap;

/// Slots grouped by zone or cell, unordered within a group.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotGroups {
    slots_by_key: FxHashMap<u32, Vec<u32>>,
    /// The position of each slot in the list of its group.
    positions: Vec<u32>,
}

impl SlotGroups {
    /// Adds a slot that is not in any group yet.
    pub(super) fn add(&mut self, key: u32, slot: usize) {
        let list = self.slots_by_key.entry(key).or_default();
        if self.positions.len() <= slot {
            self.positions.resize(slot + 1, 0);
        }
        self.positions[slot] = list.len() as u32;
        list.push(slot as u32);
    }

    /// Removes a slot from its group, in constant time.
    pub(super) fn remove(&mut self, key: u32, slot: usize) {
        let Some(list) = self.slots_by_key.get_mut(&key) else {
            return;
        };
        let position = self.positions[slot] as usize;
        list.swap_remove(position);
        if let Some(&moved) = list.get(position) {
            self.positions[moved as usize] = position as u32;
        }
        if list.is_empty() {
            self.slots_by_key.remove(&key);
        }
    }

    /// The slots of a group.
    pub(super) fn get(&self, key: u32) -> &[u32] {
        self.slots_by_key.get(&key).map_or(&[], Vec::as_slice)
    }
}
