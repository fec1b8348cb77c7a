//! One proxy among its peers.
//!
//! Membership (which proxies are alive) is SWIM, by the `foca` crate. The endpoint list spreads beside it by gossip: a
//! peer that accepts a newer list sends it to some others at once, each of which does the same when it first accepts it;
//! a peer without a list requests it from those it knows, first from the seeds; and each sends its status to two others
//! periodically, so that lost messages are made up for.
//!
//! - `interface`: inputs, outputs and reports.
//! - `message`: the messages between peers.
//! - `receive`, `send`: incoming and outgoing messages; `rate_limiter`: the limit of the latter.
//! - `transfer`: lists in parts.
//! - `poll`: polls of the list service, and the dissemination of a new list.
//! - `members`: membership.
//! - `timers`: timers and the periodic status.

mod interface;
mod members;
mod message;
mod poll;
mod rate_limiter;
mod receive;
mod send;
mod timers;
mod transfer;

pub use interface::{
    Input, ListStatus, Member, Metrics, Output, PeerConfig, PeerEvent, PeerStatus, PollAnswer,
};
pub use rate_limiter::{MESSAGES_PER_SECOND, MESSAGE_BURST};

use crate::acceptance::ListAcceptance;
use crate::endpoint_list::{EndpointList, ListVersion};
use crate::packed_list::{PackedList, PART_SIZE};
use crate::polling::{Mechanism, PollScheduler};
use crate::Micros;
use foca::{AccumulatingRuntime, Foca, PostcardCodec, Timer};
use members::{swim_config, Swim, MAX_SWIM_MESSAGE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rate_limiter::RateLimiter;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::MIN_STATUS_INTERVAL;
use transfer::Transfer;

/// Greatest size of a message in bytes, without its authentication: with that and the headers of UDP and IP it fits into
/// any Ethernet frame.
pub const MAX_MESSAGE_SIZE: usize = 1_200;

const _: () = assert!(PART_SIZE < MAX_SWIM_MESSAGE && MAX_SWIM_MESSAGE < MAX_MESSAGE_SIZE);

/// Keeps the random numbers of a peer apart from those of its [`PollScheduler`], which has the same seed.
const RANDOM_STREAM: u64 = 0x9e37_79b9;

/// One proxy among its peers.
///
/// The caller passes what happens to [`Peer::handle`], carries out the outputs, and passes [`Input::Timer`] when
/// [`Peer::next_deadline`] has passed. All times are in microseconds of the caller's clock, which must not go back.
pub struct Peer {
    own: Member,
    seeds: Vec<SocketAddr>,
    started_at: Micros,
    disabled: Option<Mechanism>,
    random: Pcg32,
    metrics: Metrics,

    acceptance: ListAcceptance,
    /// The peer that the list came from; `None`: the service.
    source: Option<SocketAddr>,
    /// The accepted list, ready to be sent in parts.
    packed: Option<PackedList>,
    /// A newer list that has arrived in part.
    transfer: Option<Transfer>,

    polling: PollScheduler,
    /// The next poll asks for the complete list.
    needs_complete_list: bool,

    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    /// Timers of SWIM, by time and by the order in which they were scheduled.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timers_scheduled: u64,
    /// The number of live proxies that was last reported.
    reported_alive: usize,
    /// Periodic statuses since the last new member.
    steady_statuses: u32,
    /// Greatest number of live proxies since the fleet has converged; `None` until then.
    peak_alive: Option<usize>,

    next_status_at: Micros,
    status_interval: Micros,
    next_seed_contact: Micros,
    /// When statuses of pollers were last forwarded at once.
    statuses_forwarded_at: Micros,
    recent_senders: VecDeque<SocketAddr>,
    rate_limiter: RateLimiter,
}

impl Peer {
    /// A proxy that starts now. Its random numbers are seeded by its [`Member::id`].
    pub fn new(now: Micros, config: PeerConfig) -> Self {
        let own = config.own;
        let has_no_other_seed = config.seeds.iter().all(|seed| *seed == own.address);
        let is_seed = has_no_other_seed || config.seeds.contains(&own.address);
        let mut seeds = config.seeds;
        seeds.retain(|seed| *seed != own.address);
        let mut random = Pcg32::seed_from_u64(own.id.0 ^ RANDOM_STREAM);
        let swim_random = rand_members::SeedableRng::seed_from_u64(random.gen());
        Peer {
            own,
            seeds,
            started_at: now,
            disabled: config.disabled,
            random,
            metrics: Metrics::default(),
            acceptance: ListAcceptance::default(),
            source: None,
            packed: None,
            transfer: None,
            polling: PollScheduler::new(own.id, is_seed).with_disabled(config.disabled),
            needs_complete_list: true,
            swim: Foca::new(own, swim_config(), swim_random, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timers_scheduled: 0,
            reported_alive: 0,
            steady_statuses: 0,
            peak_alive: None,
            next_status_at: now,
            status_interval: MIN_STATUS_INTERVAL,
            next_seed_contact: now,
            statuses_forwarded_at: 0,
            recent_senders: VecDeque::new(),
            rate_limiter: RateLimiter::new(now),
        }
    }

    /// When [`Input::Timer`] is due.
    pub fn next_deadline(&self) -> Micros {
        let swim = self.timers.first_key_value().map(|((at, _), _)| *at);
        let transfer = self.transfer.as_ref().map(Transfer::deadline);
        let poll = self.polling.next_deadline();
        [swim, transfer, poll]
            .into_iter()
            .flatten()
            .fold(self.next_status_at, Micros::min)
    }

    /// What this proxy knows, for operators.
    pub fn status(&self, now: Micros) -> PeerStatus {
        let accepted = self.acceptance.accepted();
        PeerStatus {
            own: *self.swim.identity(),
            list: accepted.map(|accepted| ListStatus {
                version: accepted.version,
                age: now.saturating_sub(accepted.since),
                source: self.source,
            }),
            endpoints: accepted.map_or(0, |accepted| accepted.endpoints.count_up()),
            alive: self.alive(),
            converged: self.peak_alive.is_some(),
            pollers: self.polling.pollers(now),
            metrics: Metrics {
                quarantined: self.acceptance.quarantined,
                ..self.metrics
            },
        }
    }

    /// The accepted list and its version.
    pub fn endpoint_list(&self) -> Option<(&ListVersion, &EndpointList)> {
        let accepted = self.acceptance.accepted()?;
        Some((&accepted.version, &accepted.endpoints))
    }

    /// Number of live proxies, as this one knows, itself included.
    pub fn alive(&self) -> usize {
        self.swim.num_members() + 1
    }

    /// Handles what has happened; what is to be done is appended to `out`.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Message(bytes) => self.handle_message(now, bytes, out),
            Input::Timer => {}
            Input::PollAnswered(answer) => self.handle_poll_answer(now, answer, out),
            Input::PollFailed { retry_after } => self.handle_poll_failure(now, retry_after, out),
            Input::SourceChanged => {
                self.needs_complete_list = true;
                self.polling.source_changed(now);
            }
            Input::Leave => {
                // If it fails, the others declare this proxy down by themselves.
                let _ = self.swim.leave_cluster(&mut self.runtime);
                self.carry_out_swim(now, out);
                return;
            }
        }
        self.handle_timers(now, out);
        self.poll_service(now, out);
    }
}
