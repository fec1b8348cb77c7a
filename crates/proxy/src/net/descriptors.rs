//! The limit of open sockets. Each open socket holds a [`Descriptor`].

use std::cell::Cell;
use std::rc::Rc;

/// Counts open sockets, so that the process never reaches the system's limit of descriptors.
#[derive(Debug)]
pub struct Descriptors {
    limit: usize,
    open: Cell<usize>,
}

/// A permit for one open socket, which is released when it is dropped.
#[derive(Debug)]
pub struct Descriptor(Rc<Descriptors>);

impl Descriptors {
    /// Creates a counter that allows `limit` open sockets.
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

    /// Acquires a permit for one more socket. Returns `None` at the limit.
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
