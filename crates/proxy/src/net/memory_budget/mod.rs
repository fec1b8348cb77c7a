//! The memory budget: one account of all memory that clients, hosts and the endpoint list can make grow.
//!
//! Everything that takes such memory holds a [`Reservation`]. A reservation that does not fit is refused, or waits while
//! connections are evicted. What has to be taken in any case is charged, and connections are evicted if that exceeds the
//! budget.

mod held_bytes;
#[cfg(test)]
mod tests;

pub use held_bytes::HeldBytes;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Memory of the program itself, in bytes: its code, the runtime and the state of a small deployment.
const PROGRAM_MEMORY: usize = 8 << 20;
/// The sixteenths of the memory that are left for what is not counted, such as fragmentation.
const UNCOUNTED_SIXTEENTHS: usize = 3;
/// The smallest budget, in bytes: enough for a few calls.
const MIN_BUDGET: usize = 1 << 20;

/// A connection of a client: its task and the buffers of the HTTP library, in bytes.
pub const CLIENT_CONNECTION_COST: usize = 20 * 1024;
/// A connection to an endpoint, in use or idle, in bytes.
pub const UPSTREAM_CONNECTION_COST: usize = 20 * 1024;
/// A call with a short head and no body: its state, its attempt, and the read buffer that its head holds, in bytes.
pub const CALL_COST: usize = 16 * 1024;
/// A field of the head of a request, in bytes, in the call and in its attempt.
pub const FIELD_COST: usize = 512;
/// The copies of the head of a request: as received, and as written to an endpoint in a buffer that has grown.
pub const HEAD_COPIES: usize = 3;
/// What the read buffer of a client's connection grows by for a long head, in bytes: it doubles, and its next allocation is
/// as large while a call holds the head.
pub const LONG_HEAD_COST: usize = 48 * 1024;
/// The read buffer that the head of a response holds, in bytes.
pub const RESPONSE_HEAD_COST: usize = 8 * 1024;
/// A listed endpoint, in bytes.
pub const ENDPOINT_COST: usize = 3 * 512;

/// What memory is reserved for. The further a request has come, the more of the budget it may use: what has been begun is
/// finished before something new is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request with a long body or a long head.
    LongRequest,
    /// The body of a response.
    ResponseBody,
    /// Any other request, or a connection to an endpoint.
    ShortRequest,
}

impl Purpose {
    /// The part of the budget that a reservation for this purpose leaves free, as a divisor.
    fn headroom_divisor(self) -> usize {
        match self {
            Purpose::LongRequest => 4,
            Purpose::ResponseBody => 8,
            Purpose::ShortRequest => 16,
        }
    }
}

/// A reservation that waits for memory.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    purpose: Purpose,
    bytes: usize,
}

/// Counts the bytes that are reserved, so that the process stays within its memory limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: Cell<usize>,
    waiting: RefCell<BTreeMap<u64, Wanted>>,
    next_waiter: Cell<u64>,
    released: Notify,
    shortage: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit,
            used: Cell::new(0),
            waiting: RefCell::default(),
            next_waiter: Cell::new(0),
            released: Notify::new(),
            shortage: Notify::new(),
        })
    }

    /// Creates the budget of a process that may use `memory` bytes.
    pub fn for_process(memory: usize) -> Rc<Self> {
        let limit = memory
            .saturating_sub(PROGRAM_MEMORY)
            .saturating_sub(memory / 16 * UNCOUNTED_SIXTEENTHS);
        MemoryBudget::new(limit.max(MIN_BUDGET))
    }

    /// The size of the budget, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Reserves bytes. Returns `None` if they do not fit.
    pub fn reserve(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        (self.missing_for(Wanted { purpose, bytes }) == 0).then(|| self.charge(bytes))
    }

    /// Reserves bytes. If they do not fit, waits until connections have been evicted for them. Returns `None` if that
    /// takes longer than `patience`.
    pub async fn reserve_within(
        self: &Rc<Self>,
        purpose: Purpose,
        bytes: usize,
        patience: Duration,
    ) -> Option<Reservation> {
        if let Some(reservation) = self.reserve(purpose, bytes) {
            return Some(reservation);
        }
        let _wanted = self.want(purpose, bytes);
        let reserve = async {
            loop {
                let released = self.released.notified();
                if let Some(reservation) = self.reserve(purpose, bytes) {
                    return reservation;
                }
                self.shortage.notify_one();
                released.await;
            }
        };
        tokio::time::timeout(patience, reserve).await.ok()
    }

    /// Counts bytes that are taken in any case.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.take(bytes);
        Reservation {
            budget: Rc::clone(self),
            bytes,
        }
    }

    /// Resolves when memory is short: a reservation waits, or more is used than the budget has.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }

    /// Resolves when memory has been released.
    pub async fn memory_released(&self) {
        self.released.notified().await;
    }

    /// How many bytes have to be released for the reservation that lacks most, or until the budget is kept.
    pub fn missing(&self) -> usize {
        let waiting = self.waiting.borrow();
        let most = waiting
            .values()
            .map(|&wanted| self.missing_for(wanted))
            .max();
        let exceeding = self.used.get().saturating_sub(self.limit);
        most.unwrap_or_default().max(exceeding)
    }

    fn missing_for(&self, wanted: Wanted) -> usize {
        let headroom = self.limit / wanted.purpose.headroom_divisor();
        let needed = self.used.get() + wanted.bytes + headroom;
        needed.saturating_sub(self.limit)
    }

    /// Registers that bytes are wanted, so that connections are evicted for them.
    fn want(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> WantedMemory {
        let id = self.next_waiter.replace(self.next_waiter.get() + 1);
        self.waiting
            .borrow_mut()
            .insert(id, Wanted { purpose, bytes });
        self.shortage.notify_one();
        WantedMemory {
            budget: Rc::clone(self),
            id,
        }
    }

    fn take(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
        if self.used.get() > self.limit {
            self.shortage.notify_one();
        }
    }

    fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
        self.released.notify_waiters();
    }
}

/// Memory that is wanted and not reserved yet, until this is dropped.
#[derive(Debug)]
pub struct WantedMemory {
    budget: Rc<MemoryBudget>,
    id: u64,
}

impl Drop for WantedMemory {
    fn drop(&mut self) {
        self.budget.waiting.borrow_mut().remove(&self.id);
    }
}

/// A reservation of bytes, which are released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes.
    ///
    /// # Errors
    /// If they do not fit. Connections are evicted for them as long as the error is kept.
    pub fn try_add(&mut self, purpose: Purpose, bytes: usize) -> Result<(), WantedMemory> {
        if self.budget.missing_for(Wanted { purpose, bytes }) > 0 {
            return Err(self.budget.want(purpose, bytes));
        }
        self.add(bytes);
        Ok(())
    }

    /// Counts further bytes that are taken in any case.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.take(bytes);
    }

    /// Counts this number of bytes from now on, in any case.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.add(bytes - self.bytes);
        } else {
            self.shrink_to(bytes);
        }
    }

    /// Releases what exceeds this number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.budget.release(released);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
