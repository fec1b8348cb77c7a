//! The protocol state of one proxy.
//!
//! Membership (which proxies are alive) is SWIM, implemented by the `foca` crate. The endpoint list is disseminated
//! separately, by gossip:
//!
//! - A peer that accepts a newer list immediately sends it to a few others, which do the same when they accept it.
//! - A peer without a list requests it from the peers that it knows, at first from the seeds.
//! - Each peer periodically sends its status to two others, which makes up for lost messages.
//!
//! The submodules are:
//!
//! - `interface`: inputs, outputs and reports.
//! - `message`: the messages between peers.
//! - `receive`, `send`: incoming and outgoing messages.
//! - `rate_limiter`: the rate limit of outgoing messages.
//! - `transfer`: the transfer of lists in parts.
//! - `poll`: polls of the list service, and the dissemination of a new list.
//! - `members`: membership.
//! - `timers`: the timers, among them that of the periodic status.

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

/// Maximum size of a message in bytes, without its authentication. Together with that and the UDP and IP headers, it
/// fits into any Ethernet frame.
pub const MAX_MESSAGE_SIZE: usize = 1_200;

const _: () = assert!(PART_SIZE < MAX_SWIM_MESSAGE && MAX_SWIM_MESSAGE < MAX_MESSAGE_SIZE);

/// Separates the random stream of a peer from that of its [`PollScheduler`], which has the same seed.
const RANDOM_STREAM: u64 = 0x9e37_79b9;

/// The protocol state of one proxy.
///
/// The caller passes each [`Input`] to [`Peer::handle`], carries out the outputs, and passes [`Input::Timer`] when
/// [`Peer::next_deadline`] has passed. All times are in microseconds on the caller's clock, which must not go back.
pub struct Peer {
    own: Member,
    seeds: Vec<SocketAddr>,
    started_at: Micros,
    disabled: Option<Mechanism>,
    random: Pcg32,
    metrics: Metrics,

    acceptance: ListAcceptance,
    /// The peer that sent the accepted list; `None` if the service did.
    source: Option<SocketAddr>,
    /// The accepted list in packed form, ready to be sent in parts.
    packed: Option<PackedList>,
    /// The transfer of a newer list, while some of its parts are missing.
    transfer: Option<Transfer>,

    polling: PollScheduler,
    /// Whether the next poll requests the complete list.
    needs_complete_list: bool,

    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    /// SWIM timers, ordered by time and by the order in which they were scheduled.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timers_scheduled: u64,
    /// The number of live proxies that was last reported.
    reported_alive: usize,
    /// Number of periodic statuses since the last new member joined.
    statuses_since_last_join: u32,
    /// Maximum number of live proxies since the fleet converged; `None` before that.
    peak_alive: Option<usize>,

    next_status_at: Micros,
    status_interval: Micros,
    next_seed_contact: Micros,
    /// When statuses of pollers were last forwarded immediately, rather than with the periodic status.
    statuses_forwarded_at: Micros,
    recent_senders: VecDeque<SocketAddr>,
    rate_limiter: RateLimiter,
}

impl Peer {
    /// Creates the state of a proxy that starts now. Its random numbers are seeded with [`Member::id`].
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
            statuses_since_last_join: 0,
            peak_alive: None,
            next_status_at: now,
            status_interval: MIN_STATUS_INTERVAL,
            next_seed_contact: now,
            statuses_forwarded_at: 0,
            recent_senders: VecDeque::new(),
            rate_limiter: RateLimiter::new(now),
        }
    }

    /// When to pass [`Input::Timer`].
    pub fn next_deadline(&self) -> Micros {
        let swim = self.timers.first_key_value().map(|((at, _), _)| *at);
        let transfer = self.transfer.as_ref().map(Transfer::deadline);
        let poll = self.polling.next_deadline();
        [swim, transfer, poll]
            .into_iter()
            .flatten()
            .fold(self.next_status_at, Micros::min)
    }

    /// The state of this proxy, for operators.
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

    /// Number of proxies that this one considers alive, including itself.
    pub fn alive(&self) -> usize {
        self.swim.num_members() + 1
    }

    /// Handles an input, and appends the resulting outputs to `out`.
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
                // If this fails, the other members detect by themselves that this proxy is down.
                let _ = self.swim.leave_cluster(&mut self.runtime);
                self.process_swim_outputs(now, out);
                return;
            }
        }
        self.handle_timers(now, out);
        self.poll_service(now, out);
    }
}
