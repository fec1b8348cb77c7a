//! The limit of memory for bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes that are reserved for bodies, so that the process stays within its memory limit.
#[derive(Debug)]
pub struct MemoryBudget {
    free: Cell<usize>,
}

/// A reservation of bytes, which are released when it is dropped.
#[derive(Debug)]
pub struct Reservation(Rc<MemoryBudget>, usize);

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            free: Cell::new(limit),
        })
    }

    /// Reserves `count` bytes. Returns `None` if fewer are free.
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
