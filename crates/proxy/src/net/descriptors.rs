//! The bound on open sockets. Each open socket holds a [`Descriptor`].

use std::cell::Cell;
use std::rc::Rc;

/// Counts open sockets, so that the process never runs into the limit of the system.
#[derive(Debug)]
pub struct Descriptors {
    limit: usize,
    open: Cell<usize>,
}

/// The permit for one open socket; dropping it gives it back.
#[derive(Debug)]
pub struct Descriptor(Rc<Descriptors>);

impl Descriptors {
    /// Allows `limit` open sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Descriptors {
            limit,
            open: Cell::new(0),
        })
    }

    /// The number of open sockets.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The permit for one more socket; `None` at the limit.
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
