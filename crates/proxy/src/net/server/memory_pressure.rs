//! Eviction of connections when memory is short.

use super::Server;
use crate::net::memory_budget::UPSTREAM_CONNECTION_COST;
use badgerramp_decisions::Micros;
use std::time::Duration;

/// How long the server waits for an evicted connection to release its memory, or for one that may be evicted.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(10);

impl Server {
    /// Evicts connections whenever memory is short. Never returns.
    pub async fn relieve_memory_shortages(&self) {
        loop {
            self.memory_budget.shortage().await;
            while self.memory_budget.missing() > 0 {
                self.evict_for_memory(self.memory_budget.missing());
                let released = self.memory_budget.memory_released();
                let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
                self.clients.resume_heads();
            }
            self.clients.resume_heads();
        }
    }

    /// Evicts connections until this number of bytes is released: those that have been idle longest, of clients and to
    /// endpoints, then clients with incomplete requests or overdue responses.
    fn evict_for_memory(&self, missing: usize) {
        let now = self.driver.clock().now();
        // Evicted connections release their memory once their tasks have run.
        let mut released = self.clients.evicting_memory();
        while released < missing {
            if let Some(memory) = self.evict_longest_idle(now) {
                released += memory;
            } else if let Some(memory) = self.clients.evict_for_memory(now) {
                released += memory;
            } else {
                return;
            }
        }
    }

    /// Evicts the connection that has been idle longest, and returns the memory that it holds.
    fn evict_longest_idle(&self, now: Micros) -> Option<usize> {
        let client_since = self.clients.longest_idle_since(now);
        let upstream_since = self.pool.longest_idle_since();
        let upstream_first = upstream_since
            .is_some_and(|upstream| client_since.is_none_or(|client| upstream <= client));
        if upstream_first && self.pool.evict_idle() {
            return Some(UPSTREAM_CONNECTION_COST);
        }
        let evicted = self.clients.evict_idle_for_memory(now);
        evicted.or_else(|| self.pool.evict_idle().then_some(UPSTREAM_CONNECTION_COST))
    }
}
