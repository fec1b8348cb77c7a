//! The bound on memory for bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes of bodies that are held, so that the process stays under its limit of memory.
#[derive(Debug)]
pub struct MemoryBudget {
    free: Cell<usize>,
}

/// Some counted bytes; dropping them counts them out.
#[derive(Debug)]
pub struct Reservation(Rc<MemoryBudget>, usize);

impl MemoryBudget {
    /// Allows `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            free: Cell::new(limit),
        })
    }

    /// Counts so many in, if there is room.
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
