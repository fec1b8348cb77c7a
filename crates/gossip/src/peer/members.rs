//! Membership by SWIM: its settings, what the library asks for, and when a fleet metrics as found.

use super::message::Message;
use super::{Member, Output, Peer, PeerEvent};
use crate::Micros;
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec};
use rand_members::rngs::SmallRng;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Most bytes of a SWIM message, which is wrapped in one of ours.
pub(super) const MAX_SWIM_MESSAGE: usize = 1_100;

/// How often a seed that is no member is contacted.
pub(super) const SEED_INTERVAL: Micros = 5_000_000;

/// Ticks without a new member after which a fleet metrics as found.
const STEADY_TICKS: u32 = 10;

pub(super) type Swim = Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// The settings of SWIM.
pub(super) fn swim_config() -> foca::Config {
    let every = |ms, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams {
            frequency: Duration::from_millis(ms),
            num_members,
        })
    };
    let mut config = foca::Config::simple();
    config.probe_period = Duration::from_millis(1_000);
    config.probe_rtt = Duration::from_millis(500);
    // A process on a busy machine, or one that stands still for a moment, is not dead.
    config.suspect_to_down_after = Duration::from_secs(3);
    // One whose clock was wrong and is set back comes back as an earlier start.
    config.remove_down_after = Some(Duration::from_secs(60));
    config.max_transmissions = NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN);
    config.max_packet_size = NonZeroUsize::new(MAX_SWIM_MESSAGE).unwrap_or(NonZeroUsize::MIN);
    config.notify_down_members = true;
    config.periodic_announce = every(5_000, 1);
    config.periodic_announce_to_down_members = every(10_000, 2);
    config.periodic_gossip = every(500, 3);
    config
}

impl Peer {
    /// Carries out what the SWIM library asks for: messages, timers and notifications of members.
    pub(super) fn carry_out_swim(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.send(now, to.address, Message::Swim(bytes.to_vec()), out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_set += 1;
            self.timers
                .insert((now + after.as_micros() as Micros, self.timers_set), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(_) => {
                    self.steady = 0;
                    if self.converged.is_none() {
                        self.advance_tick(now);
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
        let (alive, told) = (self.alive(), self.told_alive);
        if alive.abs_diff(told) * 10 > told {
            self.told_alive = alive;
            out.push(Output::AliveCount(alive));
        }
    }

    /// Decides whether the start is over, or has begun again because most proxies have gone.
    pub(super) fn update_converged(&mut self, out: &mut Vec<Output>) {
        let alive = self.alive();
        self.steady = self.steady.saturating_add(1);
        match &mut self.converged {
            None if self.steady >= STEADY_TICKS
                && self.acceptance.accepted().is_some()
                && self.polling.knows_healthy_poller() =>
            {
                self.converged = Some(alive);
                out.push(Output::Event(PeerEvent::Converged { alive }));
            }
            None => {}
            Some(most) if 2 * alive < *most => {
                (self.converged, self.steady) = (None, 0);
                out.push(Output::Event(PeerEvent::MembershipLost { alive }));
            }
            Some(most) => *most = alive.max(*most),
        }
    }
}
