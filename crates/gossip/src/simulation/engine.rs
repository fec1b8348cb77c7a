//! The event loop of a simulation.

use super::config::{FaultKind, SimConfig};
use super::network::{address_of, deliveries, proxy_at};
use super::outcome::{is_in_last_second, Outcome};
use super::queue::{Event, EventQueue, Poll, PollId};
use super::second_of;
use super::service::ListService;
use crate::peer::{Input, Member, Output, Peer, PeerConfig, PeerStatus};
use crate::polling::PeerId;
use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Unix time at the start of a simulation, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time after which a proxy notices that a poll was lost.
const LOST_POLL_TIMEOUT: Micros = 3_500_000;

/// Time after which a proxy notices that its connection was refused, because the service is down.
const CONNECTION_REFUSED_AFTER: Micros = 500;

/// Interval at which the service checks whether the list has changed, for a poll that it holds.
const LONG_POLL_INTERVAL: Micros = 5_000;

/// A position in the fleet, with the proxy that runs there.
struct Proxy {
    /// State of the proxy; `None` while it is not running.
    peer: Option<Peer>,
    /// Incremented at each start and each crash.
    incarnation: u32,
    /// Number of the last poll. Answers to earlier polls are ignored.
    last_poll: u64,
    /// When the proxy's next timer event is scheduled.
    timer_at: Micros,
    /// Number of messages sent within `current_second`.
    sent: u64,
    current_second: usize,
}

impl Proxy {
    fn new() -> Self {
        Proxy {
            peer: None,
            incarnation: 0,
            last_poll: 0,
            timer_at: 0,
            sent: 0,
            current_second: 0,
        }
    }

    /// Counts a message, and returns the number of messages sent within the current second.
    fn record_sent(&mut self, now: Micros) -> u64 {
        let second = second_of(now);
        if second != self.current_second {
            self.current_second = second;
            self.sent = 0;
        }
        self.sent += 1;
        self.sent
    }

    fn is_in_flight(&self, poll: PollId) -> bool {
        self.incarnation == poll.incarnation && self.last_poll == poll.number
    }
}

struct Simulation<'c> {
    config: &'c SimConfig,
    random: Pcg32,
    queue: EventQueue,
    proxies: Vec<Proxy>,
    service: ListService,
    outcome: Outcome,
    sent_in_last_second: u64,
}

/// Runs a simulation. The same configuration and seed give the same outcome.
pub fn simulate(config: &SimConfig, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(config, seed);
    while let Some((now, event)) = simulation.queue.pop() {
        if now > config.duration {
            break;
        }
        simulation.handle_event(now, event);
    }
    simulation.into_outcome()
}

impl<'c> Simulation<'c> {
    fn new(config: &'c SimConfig, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let started: Vec<Micros> = (0..config.proxies)
            .map(|_| random.gen_range(0..=config.start_window))
            .collect();
        let mut queue = EventQueue::default();
        for (proxy, at) in started.iter().enumerate() {
            queue.push(*at, Event::Start { proxy });
        }
        for at in &config.changes {
            queue.push(*at, Event::ListChange);
        }
        for fault in &config.faults {
            if let FaultKind::Crash(proxies) = &fault.kind {
                for &proxy in proxies {
                    queue.push(fault.from, Event::Crash { proxy });
                    queue.push(fault.until, Event::Start { proxy });
                }
            }
        }
        let outcome = Outcome {
            received_list_at: vec![None; config.proxies],
            started,
            spread: vec![None; config.changes.len()],
            ..Outcome::default()
        };
        Simulation {
            config,
            random,
            queue,
            proxies: (0..config.proxies).map(|_| Proxy::new()).collect(),
            service: ListService::new(),
            outcome,
            sent_in_last_second: 0,
        }
    }

    fn handle_event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start { proxy } => self.start(now, proxy),
            Event::Crash { proxy } => {
                self.proxies[proxy].peer = None;
                self.proxies[proxy].incarnation += 1;
            }
            Event::Message { to, bytes } => self.handle_input(now, to, Input::Message(&bytes)),
            Event::Timer { proxy } => {
                if self.proxies[proxy].timer_at == now {
                    self.handle_input(now, proxy, Input::Timer);
                }
            }
            Event::Poll(poll) => self.handle_poll(now, poll),
            Event::LongPoll { poll, index, until } => {
                self.handle_long_poll(now, poll, index, until);
            }
            Event::PollTimeout(poll) => {
                self.outcome.polls_timed_out += 1;
                self.fail_poll(now, poll);
            }
            Event::Answer { poll, immediate } => self.answer_poll(now, poll, immediate),
            Event::PollFailed(poll) => self.fail_poll(now, poll),
            Event::ListChange => self.service.change_list(),
        }
    }

    fn start(&mut self, now: Micros, proxy: usize) {
        let own = Member {
            address: address_of(proxy),
            id: PeerId(self.random.gen()),
            started: EPOCH_MS + now / 1_000,
        };
        let config = PeerConfig {
            own,
            seeds: (0..self.config.seeds).map(address_of).collect(),
            disabled: self.config.disabled,
        };
        let state = &mut self.proxies[proxy];
        state.incarnation += 1;
        state.timer_at = now;
        state.peer = Some(Peer::new(now, config));
        self.outcome.started[proxy] = now;
        self.outcome.received_list_at[proxy] = None;
        self.handle_input(now, proxy, Input::Timer);
    }

    /// Passes an input to a proxy, if it is running, and carries out the outputs.
    fn handle_input(&mut self, now: Micros, proxy: usize, input: Input<'_>) {
        let state = &mut self.proxies[proxy];
        let Some(peer) = state.peer.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        peer.handle(now, input, &mut out);
        let deadline = peer.next_deadline().max(now + 1);
        if deadline < state.timer_at || state.timer_at <= now {
            state.timer_at = deadline;
            self.queue.push(deadline, Event::Timer { proxy });
        }
        for output in out {
            match output {
                Output::Send(to, bytes) => self.send(now, proxy, proxy_at(to), &bytes),
                Output::Poll { index, wait } => self.send_poll(now, proxy, index, wait),
                Output::ListChanged { .. } => self.record_list(now, proxy),
                Output::AliveCount(_) | Output::Event(_) => {}
            }
        }
    }

    fn record_list(&mut self, now: Micros, proxy: usize) {
        self.outcome.received_list_at[proxy].get_or_insert(now);
        let running = self.proxies.iter().filter_map(|state| state.peer.as_ref());
        let oldest_index = running
            .map(|peer| list_index(peer).unwrap_or(0))
            .min()
            .unwrap_or(0);
        self.outcome.record_spread(now, oldest_index);
    }

    fn send(&mut self, now: Micros, from: usize, to: usize, bytes: &[u8]) {
        let sent_by_proxy = self.proxies[from].record_sent(now);
        self.outcome.record_message(now, bytes, sent_by_proxy);
        if is_in_last_second(now, self.config) {
            self.sent_in_last_second += 1;
        }
        let deliveries = deliveries(self.config, &mut self.random);
        if to >= self.proxies.len() || self.config.is_partitioned(now, from, to) {
            return;
        }
        for latency in deliveries.into_iter().flatten() {
            let bytes = bytes.to_vec();
            self.queue.push(now + latency, Event::Message { to, bytes });
        }
    }

    /// Sends a proxy's poll to the list service.
    fn send_poll(&mut self, now: Micros, proxy: usize, index: Option<u64>, wait: Micros) {
        let state = &mut self.proxies[proxy];
        state.last_poll += 1;
        let id = PollId {
            proxy,
            incarnation: state.incarnation,
            number: state.last_poll,
        };
        if self.config.is_service_unreachable(now, proxy) {
            self.queue
                .push(now + LOST_POLL_TIMEOUT, Event::PollFailed(id));
            return;
        }
        self.outcome.record_poll(now);
        if self.config.is_service_down(now) {
            self.queue
                .push(now + CONNECTION_REFUSED_AFTER, Event::PollFailed(id));
            return;
        }
        let timeout_at = now + self.config.poll_timeout;
        // The service also handles polls that have timed out at the proxy.
        let handled_at = self.service.enqueue(now, self.config);
        if handled_at > timeout_at {
            self.queue.push(timeout_at, Event::PollTimeout(id));
        } else {
            let poll = Poll {
                id,
                index,
                sent_at: now,
                wait,
            };
            self.queue.push(handled_at, Event::Poll(poll));
        }
    }

    /// The service answers a poll, or holds it if the proxy has the current list.
    fn handle_poll(&mut self, now: Micros, poll: Poll) {
        let event = match poll.index {
            Some(index) if index == self.service.index(now, self.config) => Event::LongPoll {
                poll,
                index,
                until: now + poll.wait,
            },
            _ => Event::Answer {
                poll,
                immediate: true,
            },
        };
        self.queue.push(now, event);
    }

    /// The service answers a poll that it holds if the list has changed or the wait is over, or keeps holding it.
    fn handle_long_poll(&mut self, now: Micros, poll: Poll, index: u64, until: Micros) {
        if self.config.is_service_down(now) {
            self.queue.push(now, Event::PollFailed(poll.id));
        } else if self.service.index(now, self.config) != index || now >= until {
            let immediate = false;
            self.queue.push(now, Event::Answer { poll, immediate });
        } else {
            let next = (now + LONG_POLL_INTERVAL).min(until);
            self.queue
                .push(next, Event::LongPoll { poll, index, until });
        }
    }

    fn answer_poll(&mut self, now: Micros, poll: Poll, immediate: bool) {
        let proxy = poll.id.proxy;
        if !self.proxies[proxy].is_in_flight(poll.id) {
            return;
        }
        self.outcome.first_answer.get_or_insert(now);
        let mut answer = self.service.answer(now, self.config, poll.index);
        answer.latency = now - poll.sent_at;
        answer.immediate = immediate;
        self.handle_input(now, proxy, Input::PollAnswered(answer));
    }

    fn fail_poll(&mut self, now: Micros, poll: PollId) {
        if self.proxies[poll.proxy].is_in_flight(poll) {
            let input = Input::PollFailed { retry_after: None };
            self.handle_input(now, poll.proxy, input);
        }
    }

    fn into_outcome(self) -> Outcome {
        let mut outcome = self.outcome;
        outcome.final_rate = self.sent_in_last_second as f64 / self.config.proxies.max(1) as f64;
        outcome.index = self
            .proxies
            .iter()
            .map(|state| state.peer.as_ref().and_then(list_index))
            .collect();
        let statuses: Vec<PeerStatus> = self
            .proxies
            .iter()
            .filter_map(|state| state.peer.as_ref())
            .map(|peer| peer.status(self.config.duration))
            .collect();
        outcome.pollers = statuses.iter().filter(|status| is_poller(status)).count();
        let alive = || statuses.iter().map(|status| status.alive);
        outcome.min_alive = alive().min().unwrap_or(0);
        outcome.max_alive = alive().max().unwrap_or(0);
        outcome.converged = statuses.iter().filter(|status| status.converged).count();
        outcome
    }
}

/// The index of a proxy's accepted list.
fn list_index(peer: &Peer) -> Option<u64> {
    peer.endpoint_list().map(|(version, _)| version.index)
}

fn is_poller(status: &PeerStatus) -> bool {
    let own_id = status.own.id;
    status
        .pollers
        .iter()
        .any(|poller| poller.status.id == own_id)
}
