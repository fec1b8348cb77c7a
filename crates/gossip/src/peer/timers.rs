//! The timers of a peer: those of SWIM, the retry of a stalled transfer, and the periodic status.

use super::members::SEED_INTERVAL;
use super::message::{ListRequest, Message};
use super::send::STATUS_FANOUT;
use super::{Member, Output, Peer};
use crate::polling::PeerId;
use crate::Micros;
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// Interval between periodic statuses after a change.
pub(super) const MIN_STATUS_INTERVAL: Micros = 100_000;

/// Interval between periodic statuses when there has been no change for long.
const MAX_STATUS_INTERVAL: Micros = 1_000_000;

/// Maximum interval between periodic statuses while the proxy has no list.
const MAX_STATUS_INTERVAL_WITHOUT_LIST: Micros = 250_000;

/// Range of the interval's jitter, in percent, so that proxies that start together do not keep sending together.
const INTERVAL_JITTER_PERCENT: std::ops::RangeInclusive<Micros> = 75..=125;

impl Peer {
    /// Runs the timers that are due.
    pub(super) fn handle_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.run_swim_timers(now, out);
        self.retry_transfer(now, out);
        if self.next_status_at <= now {
            self.send_periodic_status(now, out);
        }
    }

    fn run_swim_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut due = Vec::new();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        // The library expects timers that are due together in this order.
        due.sort();
        for timer in due {
            // The library reports an error for a late timer, which is normal after the process was suspended. It
            // recovers by itself.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.process_swim_outputs(now, out);
    }

    /// Sends the periodic status, or requests a list if there is none, and contacts missing seeds.
    fn send_periodic_status(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.schedule_next_status(now);
        let has_no_members = self.swim.num_members() == 0;
        if has_no_members || self.next_seed_contact <= now {
            self.contact_missing_seed(now, out);
        }
        let status = self.status_message(now, true);
        let has_list = self.acceptance.accepted().is_some();
        if has_list || self.transfer.is_none() {
            let message = if has_list {
                status
            } else {
                Message::ListRequest(ListRequest {
                    version: None,
                    partial_version: None,
                    parts: Vec::new(),
                })
            };
            let receivers = self.random_peers(STATUS_FANOUT, None);
            if let Some(bytes) = self.encode(message) {
                self.send_to_all(now, receivers, &bytes, out);
            }
        }
        self.update_converged(out);
    }

    fn schedule_next_status(&mut self, now: Micros) {
        let jitter = self.random.gen_range(INTERVAL_JITTER_PERCENT);
        self.next_status_at = now + self.status_interval * jitter / 100;
        let longest = if self.acceptance.accepted().is_some() {
            MAX_STATUS_INTERVAL
        } else {
            MAX_STATUS_INTERVAL_WITHOUT_LIST
        };
        self.status_interval = (self.status_interval * 3 / 2).min(longest);
    }

    /// Announces this proxy to a seed that is not a member. This is needed at the start, and after a partition of the
    /// network.
    fn contact_missing_seed(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.next_seed_contact = now + SEED_INTERVAL;
        let members = self.member_addresses();
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !members.contains(seed))
            .copied()
            .collect();
        if let Some(&address) = missing.choose(&mut self.random) {
            let seed = Member {
                address,
                id: PeerId(0),
                started: 0,
            };
            // If this fails, it is tried again with a later periodic status.
            let _ = self.swim.announce(seed, &mut self.runtime);
            self.process_swim_outputs(now, out);
        }
    }
}
