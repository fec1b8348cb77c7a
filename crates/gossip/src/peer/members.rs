//! Membership by SWIM: its configuration, the outputs of the `foca` library, and the convergence of the fleet.

use super::message::Message;
use super::{Member, Output, Peer, PeerEvent};
use crate::Micros;
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec};
use rand_members::rngs::SmallRng;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Maximum size in bytes of a SWIM message, which is wrapped into a [`Message`].
pub(super) const MAX_SWIM_MESSAGE: usize = 1_100;

/// Interval at which a seed that is not a member is contacted.
pub(super) const SEED_INTERVAL: Micros = 5_000_000;

/// Number of consecutive periodic statuses without a new member after which the fleet may count as converged.
const CONVERGED_AFTER_STATUSES: u32 = 10;

/// Inverse of the share of the live proxies by which their number must change to be reported again.
const REPORTED_CHANGE_DIVISOR: usize = 10;

pub(super) type Swim = Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// The configuration of SWIM.
pub(super) fn swim_config() -> foca::Config {
    let mut config = foca::Config::simple();
    config.probe_period = Duration::from_millis(1_000);
    config.probe_rtt = Duration::from_millis(500);
    // A process on a busy machine, or one that is suspended for a moment, must not be declared down.
    config.suspect_to_down_after = Duration::from_secs(3);
    // A proxy that restarts after its clock was set back has an earlier start time: its old identity must expire first.
    config.remove_down_after = Some(Duration::from_secs(60));
    config.max_transmissions = NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN);
    config.max_packet_size = NonZeroUsize::new(MAX_SWIM_MESSAGE).unwrap_or(NonZeroUsize::MIN);
    config.notify_down_members = true;
    config.periodic_announce = periodic(Duration::from_secs(5), 1);
    config.periodic_announce_to_down_members = periodic(Duration::from_secs(10), 2);
    config.periodic_gossip = periodic(Duration::from_millis(500), 3);
    config
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
    })
}

impl Peer {
    /// The addresses of all live members except this proxy.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        self.swim
            .iter_members()
            .map(|member| member.id().address)
            .collect()
    }

    /// Processes the outputs of the SWIM library: messages to send, timers to schedule, and membership notifications.
    pub(super) fn process_swim_outputs(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.send(now, to.address, Message::Swim(bytes.to_vec()), out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_scheduled += 1;
            let at = now + after.as_micros() as Micros;
            self.timers.insert((at, self.timers_scheduled), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.handle_notification(now, &notification);
        }
        let alive = self.alive();
        let reported = self.reported_alive;
        if alive.abs_diff(reported) * REPORTED_CHANGE_DIVISOR > reported {
            self.reported_alive = alive;
            out.push(Output::AliveCount(alive));
        }
    }

    fn handle_notification(&mut self, now: Micros, notification: &OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(_) => {
                self.statuses_since_last_join = 0;
                if self.peak_alive.is_none() {
                    self.expedite_status(now);
                }
            }
            // `Rename` means that a new process has the address of an old one, which is gone.
            OwnedNotification::MemberDown(old) | OwnedNotification::Rename(old, _)
                if old.id != self.own.id =>
            {
                self.polling.peer_down(now, old.id);
            }
            _ => {}
        }
    }

    /// Detects that the fleet has converged, or that more than half of its members are gone since.
    pub(super) fn update_converged(&mut self, out: &mut Vec<Output>) {
        let alive = self.alive();
        self.statuses_since_last_join = self.statuses_since_last_join.saturating_add(1);
        match self.peak_alive {
            None => {
                let has_converged = self.statuses_since_last_join >= CONVERGED_AFTER_STATUSES
                    && self.acceptance.accepted().is_some()
                    && self.polling.knows_healthy_poller();
                if has_converged {
                    self.peak_alive = Some(alive);
                    out.push(Output::Event(PeerEvent::Converged { alive }));
                }
            }
            Some(peak) if 2 * alive < peak => {
                self.peak_alive = None;
                self.statuses_since_last_join = 0;
                out.push(Output::Event(PeerEvent::MembershipLost { alive }));
            }
            Some(peak) => self.peak_alive = Some(alive.max(peak)),
        }
    }
}
