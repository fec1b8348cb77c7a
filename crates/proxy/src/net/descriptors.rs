//! The bound on open sockets.

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
