//! One proxy among its peers.
//!
//! Membership (which proxies are alive) is SWIM's, by the `foca` crate. The list of hosts spreads beside it by gossip: a
//! peer that learns a newer list sends it to some others at once, each of which does the same when it first receives it;
//! a peer without a list asks those it knows, first the seeds; and each sends its status to two others periodically, so
//! that lost messages are made up for.
//!
//! - `interface`: inputs, outputs and reports.
//! - `message`: the messages between peers.
//! - `receive`, `send`: messages in and out.
//! - `transfer`: lists in parts.
//! - `service`: requests to the list service, and the spread of a new list.
//! - `members`: membership.
//! - `tick`: timers.

mod interface;
mod members;
mod message;
mod receive;
mod send;
mod service;
mod tick;
mod transfer;

pub use interface::{
    Input, Member, Metrics, Output, PeerConfig, PeerEvent, PeerStatus, PollAnswer,
};
pub use send::{MESSAGES_PER_SECOND, MESSAGE_BURST};

use crate::acceptance::ListAcceptance;
use crate::endpoint_list::{EndpointList, ListVersion};
use crate::packed_list::{PackedList, PartialList, PART_SIZE};
use crate::polling::{Mechanism, PollScheduler};
use crate::Micros;
use foca::{AccumulatingRuntime, Foca, PostcardCodec, Timer};
use members::{swim_config, Swim, MAX_SWIM_MESSAGE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tick::MIN_TICK;
use transfer::PART_TIMEOUT;

/// Most bytes of a message, without its seal: with it and the heads of UDP and IP it fits into any Ethernet frame.
pub const MAX_MESSAGE_SIZE: usize = 1_200;

/// One proxy among its peers.
pub struct Peer {
    own: Member,
    seeds: Vec<SocketAddr>,
    began: Micros,
    acceptance: ListAcceptance,
    /// The peer that the list came from; `None`: the service.
    source: Option<SocketAddr>,
    /// The list, ready to be sent in parts.
    packed: Option<PackedList>,
    /// A newer list that has come in part, the sender of its last part, and when that came.
    partial: Option<(PartialList, SocketAddr, Micros)>,
    polling: PollScheduler,
    disabled: Option<Mechanism>,
    /// The next request to the service is for the request_full_list list.
    request_full_list: bool,
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timers_set: u64,
    random: Pcg32,
    tick_at: Micros,
    tick: Micros,
    seeds_at: Micros,
    /// When news of pollers was last passed on.
    passed_on: Micros,
    /// The last senders, for use while members are few.
    heard: VecDeque<SocketAddr>,
    tokens: f64,
    tokens_at: Micros,
    told_alive: usize,
    steady: u32,
    /// Proxies alive at the highest, since the start was over.
    converged: Option<usize>,
    metrics: Metrics,
}

impl Peer {
    /// A proxy that starts now. All chance is drawn from its number.
    pub fn new(now: Micros, config: PeerConfig) -> Self {
        let own = config.own;
        let alone = config.seeds.iter().all(|s| *s == own.address);
        let seed = alone || config.seeds.contains(&own.address);
        let mut random = Pcg32::seed_from_u64(own.id.0 ^ 0x9e37_79b9);
        let rng = rand_members::SeedableRng::seed_from_u64(random.gen());
        Peer {
            own,
            seeds: config
                .seeds
                .into_iter()
                .filter(|s| *s != own.address)
                .collect(),
            began: now,
            acceptance: ListAcceptance::default(),
            source: None,
            packed: None,
            partial: None,
            polling: PollScheduler::new(own.id, seed).with_disabled(config.disabled),
            disabled: config.disabled,
            request_full_list: true,
            swim: Foca::new(own, swim_config(), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            random,
            tick_at: now,
            tick: MIN_TICK,
            seeds_at: now,
            passed_on: 0,
            heard: VecDeque::new(),
            tokens: MESSAGE_BURST,
            tokens_at: now,
            told_alive: 0,
            steady: 0,
            converged: None,
            metrics: Metrics::default(),
        }
    }

    /// When [`Input::Timer`] is due.
    pub fn next_deadline(&self) -> Micros {
        let swim = self.timers.first_key_value().map(|(key, _)| key.0);
        let stalled = self.partial.as_ref().map(|(_, _, at)| at + PART_TIMEOUT);
        [swim, stalled, self.polling.next_deadline()]
            .into_iter()
            .flatten()
            .fold(self.tick_at, Micros::min)
    }

    /// What this proxy knows.
    pub fn status(&self, now: Micros) -> PeerStatus {
        let held = self.acceptance.accepted();
        PeerStatus {
            own: *self.swim.identity(),
            list: held.map(|h| (h.version, now.saturating_sub(h.since), self.source)),
            endpoints: held.map_or(0, |h| h.hosts.count_up()),
            alive: self.alive(),
            converged: self.converged.is_some(),
            pollers: self.polling.pollers(now),
            metrics: Metrics {
                quarantined: self.acceptance.quarantined,
                ..self.metrics
            },
        }
    }

    /// The list that it believes.
    pub fn endpoint_list(&self) -> Option<(&ListVersion, &EndpointList)> {
        self.acceptance.accepted().map(|h| (&h.version, &h.hosts))
    }

    /// Proxies alive, as it knows, itself included.
    pub fn alive(&self) -> usize {
        self.swim.num_members() + 1
    }

    /// Tells what happens; what is to be done comes into `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Message(bytes) => self.handle_message(now, bytes, out),
            Input::Timer => {}
            Input::PollAnswered(answer) => self.handle_answer(now, answer, out),
            Input::PollFailed { retry_after } => {
                self.metrics.polls_failed += 1;
                self.request_full_list |= self.acceptance.accepted().is_none();
                self.polling.poll_failed(now, retry_after);
                self.send_status_to_some(now, out);
            }
            Input::SourceChanged => {
                self.request_full_list = true;
                self.polling.source_changed(now);
            }
            Input::Leave => {
                let _ = self.swim.leave_cluster(&mut self.runtime);
                self.carry_out_swim(now, out);
                return;
            }
        }
        self.handle_timers(now, out);
        self.poll_service(now, out);
    }
}

const _: () = assert!(PART_SIZE < MAX_SWIM_MESSAGE && MAX_SWIM_MESSAGE < MAX_MESSAGE_SIZE);
