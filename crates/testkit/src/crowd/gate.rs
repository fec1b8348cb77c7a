//! What the clients of a crowd have to know of the signals that the program gets.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Whether clients may open connections, and how often the program has been killed.
#[derive(Clone, Debug)]
pub struct Gate(Arc<State>);

#[derive(Debug)]
struct State {
    open: AtomicBool,
    kills: AtomicUsize,
}

impl Default for Gate {
    fn default() -> Self {
        Gate(Arc::new(State {
            open: AtomicBool::new(true),
            kills: AtomicUsize::new(0),
        }))
    }
}

impl Gate {
    /// Allows clients to open connections, or forbids it. They go on to use those that they have.
    pub fn set_open(&self, open: bool) {
        self.0.open.store(open, Ordering::SeqCst);
    }

    /// Whether clients may open connections.
    pub fn is_open(&self) -> bool {
        self.0.open.load(Ordering::SeqCst)
    }

    /// Records that the program is being killed, so that what it holds is not lost through a fault of its own.
    pub fn record_kill(&self) {
        self.0.kills.fetch_add(1, Ordering::SeqCst);
    }

    /// How often the program has been killed.
    pub fn kills(&self) -> usize {
        self.0.kills.load(Ordering::SeqCst)
    }
}
