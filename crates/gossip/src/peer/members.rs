//! Membership by SWIM: its configuration, what the `foca` library requests, and when a fleet has converged.

use super::message::Message;
use super::{Member, Output, Peer, PeerEvent};
use crate::Micros;
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec};
use rand_members::rngs::SmallRng;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Greatest size of a SWIM message, in bytes; it is wrapped into one of ours.
pub(super) const MAX_SWIM_MESSAGE: usize = 1_100;

/// How often a seed that is no member is contacted.
pub(super) const SEED_INTERVAL: Micros = 5_000_000;

/// Periodic statuses without a new member after which the start counts as complete.
const STEADY_STATUSES: u32 = 10;

/// A change of the number of live proxies by more than one part in so many is reported.
const REPORTED_CHANGE: usize = 10;

pub(super) type Swim = Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// The configuration of SWIM.
pub(super) fn swim_config() -> foca::Config {
    let mut config = foca::Config::simple();
    config.probe_period = Duration::from_millis(1_000);
    config.probe_rtt = Duration::from_millis(500);
    // A process on a busy machine, or one that is suspended for a moment, is not dead.
    config.suspect_to_down_after = Duration::from_secs(3);
    // A proxy whose clock was wrong and is set back returns with an earlier start time.
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
    /// The addresses of all live members but this proxy.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        self.swim
            .iter_members()
            .map(|member| member.id().address)
            .collect()
    }

    /// Carries out what the SWIM library requests: messages, timers and notifications of members.
    pub(super) fn carry_out_swim(&mut self, now: Micros, out: &mut Vec<Output>) {
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
        if alive.abs_diff(reported) * REPORTED_CHANGE > reported {
            self.reported_alive = alive;
            out.push(Output::AliveCount(alive));
        }
    }

    fn handle_notification(&mut self, now: Micros, notification: &OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(_) => {
                self.steady_statuses = 0;
                if self.peak_alive.is_none() {
                    self.expedite_status(now);
                }
            }
            // A renamed member is another process at the same address: the old one has gone.
            OwnedNotification::MemberDown(old) | OwnedNotification::Rename(old, _)
                if old.id != self.own.id =>
            {
                self.polling.peer_down(now, old.id);
            }
            _ => {}
        }
    }

    /// Decides whether the start is complete, or has begun again because most proxies have gone.
    pub(super) fn update_converged(&mut self, out: &mut Vec<Output>) {
        let alive = self.alive();
        self.steady_statuses = self.steady_statuses.saturating_add(1);
        match self.peak_alive {
            None => {
                let has_converged = self.steady_statuses >= STEADY_STATUSES
                    && self.acceptance.accepted().is_some()
                    && self.polling.knows_healthy_poller();
                if has_converged {
                    self.peak_alive = Some(alive);
                    out.push(Output::Event(PeerEvent::Converged { alive }));
                }
            }
            Some(peak) if 2 * alive < peak => {
                self.peak_alive = None;
                self.steady_statuses = 0;
                out.push(Output::Event(PeerEvent::MembershipLost { alive }));
            }
            Some(peak) => self.peak_alive = Some(alive.max(peak)),
        }
    }
}
