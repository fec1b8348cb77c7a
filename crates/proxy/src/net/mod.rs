//! The program round the decisions: sockets, clock and timers. It decides nothing.

pub mod admission_gate;
pub mod clients;
pub mod clock;
pub mod discovery;
pub mod driver;
pub mod exchange;
pub mod front;
pub mod hosts;
pub mod peers;
pub mod rules;
pub mod socket;

use std::cell::Cell;
use std::rc::Rc;

/// Counts the sockets that are open, so that the process stays under its limit instead of finding it.
#[derive(Debug)]
pub struct Descriptors {
    limit: usize,
    open: Cell<usize>,
}

/// One counted socket; dropping it counts it out.
#[derive(Debug)]
pub struct Descriptor(Rc<Descriptors>);

impl Descriptors {
    /// Room for `limit` sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Descriptors {
            limit,
            open: Cell::new(0),
        })
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts one more in, if there is room.
    pub fn acquire(self: &Rc<Self>) -> Option<Descriptor> {
        (self.open.get() < self.limit).then(|| {
            self.open.set(self.open.get() + 1);
            Descriptor(Rc::clone(self))
        })
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

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
