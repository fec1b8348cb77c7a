//! The bound on memory for bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes reserved for bodies, so that the process stays under its limit of memory.
#[derive(Debug)]
pub struct MemoryBudget {
    free: Cell<usize>,
}

/// Reserved bytes; dropping them gives them back.
#[derive(Debug)]
pub struct Reservation(Rc<MemoryBudget>, usize);

impl MemoryBudget {
    /// Allows `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            free: Cell::new(limit),
        })
    }

    /// Reserves `count` bytes; `None` if fewer are free.
    pub fn reserve(self: &Rc<Self>, count: usize) -> Option<Reservation> {
        self.free.set(self.free.get().checked_sub(count)?);
        Some(Reservation(Rc::clone(self), count))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + self.1);
    }
}
