//! The memory of a connection: what it holds, and heads that wait for it.

use super::{ClientConnection, Phase};
use crate::net::memory_budget::{Purpose, WantedMemory, CLIENT_CONNECTION_COST, LONG_HEAD_COST};
use crate::net::socket::MAX_READ_LEN;
use crate::net::Reservation;
use std::task::{Context, Poll, Waker};

/// The length of a head up to which the read buffer of a connection need not grow, in bytes.
const SHORT_HEAD_LEN: usize = MAX_READ_LEN;

/// A head that waits for memory.
pub(super) struct StalledHead {
    waker: Waker,
    _wanted: WantedMemory,
}

impl ClientConnection {
    /// Holds the memory of the request in flight until its response has been written.
    pub fn hold_request_memory(&self, memory: Reservation) {
        *self.request_memory.borrow_mut() = Some(memory);
    }

    /// Releases the memory of the body of the request in flight. What exceeds `head_cost` is the body's.
    pub fn release_body_memory(&self, head_cost: usize) {
        if let Some(memory) = &mut *self.request_memory.borrow_mut() {
            memory.shrink_to(head_cost);
        }
    }

    /// The memory that is released when the connection is closed, in bytes.
    pub(super) fn held_memory(&self) -> usize {
        let request_memory = self.request_memory.borrow();
        self.memory.borrow().bytes() + request_memory.as_ref().map_or(0, Reservation::bytes)
    }

    /// Adjusts the memory of the connection to its buffers.
    pub(super) fn account_buffers(&self) {
        let grown = if self.has_long_head.get() {
            LONG_HEAD_COST
        } else {
            0
        };
        let read_ahead = self.read_ahead.borrow().capacity();
        self.memory
            .borrow_mut()
            .resize(CLIENT_CONNECTION_COST + grown + read_ahead);
    }

    /// Whether more of a head may be read. A long head waits until there is memory for it, and the response to its request
    /// closes the connection, whose buffer has grown.
    pub(super) fn poll_read_head(&self, cx: &Context<'_>) -> Poll<()> {
        let needs_memory = self.phase.get() == Phase::ReadingHead
            && self.head_len.get() >= SHORT_HEAD_LEN
            && !self.has_long_head.get();
        if !needs_memory {
            return Poll::Ready(());
        }
        let mut memory = self.memory.borrow_mut();
        match memory.try_add(Purpose::LongRequest, LONG_HEAD_COST) {
            Ok(()) => {
                self.stalled_head.take();
                self.has_long_head.set(true);
                self.set_close_after_response();
                Poll::Ready(())
            }
            Err(wanted) => {
                *self.stalled_head.borrow_mut() = Some(StalledHead {
                    waker: cx.waker().clone(),
                    _wanted: wanted,
                });
                Poll::Pending
            }
        }
    }

    /// Wakes the task of the connection if a long head waits for memory.
    pub(super) fn resume_head(&self) {
        if let Some(stalled) = &*self.stalled_head.borrow() {
            stalled.waker.wake_by_ref();
        }
    }

    /// Whether a long head waits for memory.
    pub(super) fn is_stalled(&self) -> bool {
        self.stalled_head.borrow().is_some()
    }
}
