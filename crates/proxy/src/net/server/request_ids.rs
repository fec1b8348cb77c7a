//! The ids of requests: those in flight, and those that an endpoint may have executed although their clients have left.

use badgerramp_decisions::Micros;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How long the id of an abandoned request is remembered, in microseconds.
const ABANDONED_TIME: Micros = 60_000_000;
/// The maximum number of abandoned requests that are remembered. The oldest are forgotten first.
const MAX_ABANDONED: usize = 8_192;

/// The ids of requests that may not be sent to an endpoint again.
#[derive(Debug, Default)]
pub struct RequestIds {
    in_flight: RefCell<HashSet<HeaderValue>>,
    abandoned: RefCell<AbandonedIds>,
}

impl RequestIds {
    /// Registers the id of a request that is received at `now`. Returns `None` if a request with this id is in flight, or
    /// was abandoned by its client after it had been sent to an endpoint.
    pub(super) fn enter(&self, id: HeaderValue, now: Micros) -> Option<InFlightId<'_>> {
        if self.abandoned.borrow_mut().contains(&id, now) {
            return None;
        }
        let is_new = self.in_flight.borrow_mut().insert(id.clone());
        // No guard is created for a duplicate: dropping it would remove the id of the first request.
        is_new.then(|| InFlightId { ids: self, id })
    }
}

/// The id of a request in flight, which is removed when this is dropped.
pub(super) struct InFlightId<'a> {
    ids: &'a RequestIds,
    id: HeaderValue,
}

impl InFlightId<'_> {
    /// Records that the client has left, and that an endpoint may have executed the request or may do so yet.
    pub(super) fn abandon(&self, now: Micros) {
        self.ids.abandoned.borrow_mut().insert(&self.id, now);
    }
}

impl Drop for InFlightId<'_> {
    fn drop(&mut self) {
        self.ids.in_flight.borrow_mut().remove(&self.id);
    }
}

/// A bounded set of ids with the times at which they were abandoned. It holds hashes, as an id may be as long as a head.
#[derive(Debug, Default)]
struct AbandonedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    by_time: VecDeque<(Micros, u64)>,
}

impl AbandonedIds {
    fn insert(&mut self, id: &HeaderValue, now: Micros) {
        let hash = self.hash(id);
        if self.hashes.insert(hash) {
            self.by_time.push_back((now, hash));
        }
        if self.by_time.len() > MAX_ABANDONED {
            self.forget_oldest();
        }
    }

    fn contains(&mut self, id: &HeaderValue, now: Micros) -> bool {
        while self
            .by_time
            .front()
            .is_some_and(|&(at, _)| at + ABANDONED_TIME <= now)
        {
            self.forget_oldest();
        }
        !self.hashes.is_empty() && self.hashes.contains(&self.hash(id))
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.by_time.pop_front() {
            self.hashes.remove(&hash);
        }
    }

    fn hash(&self, id: &HeaderValue) -> u64 {
        self.hasher.hash_one(id.as_bytes())
    }
}

#[cfg(test)]
mod tests;
