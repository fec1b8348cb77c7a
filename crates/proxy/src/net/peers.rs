//! Gossip with the other proxies of the fleet over authenticated datagrams, and polls of the list service.
//!
//! This task does the I/O; every decision is made by [`badgerramp_gossip`].
//!
//! - `datagram`: the layout and the authentication of datagrams.
//! - `convert`: conversion between endpoints and entries of the gossiped list.
//! - `events`: logging of gossip events.
//! - `query`: requests the status of a running proxy, for operators.

mod convert;
mod datagram;
mod events;
mod query;

pub use datagram::{DatagramCodec, RejectedDatagrams};
pub use query::{query_status, QueryError, StatusReport};

use super::discovery::{self, address_changed, ServiceConnection};
use super::driver::{Driver, Endpoint, List};
use super::socket::Network;
use badgerramp_decisions::{ListUpdateKind, Micros};
use badgerramp_endpoint_watch::FETCH_TIMEOUT;
use badgerramp_gossip::endpoint_list::EndpointChange;
use badgerramp_gossip::peer::{Input, Member, Output, Peer, PeerConfig, PollAnswer};
use badgerramp_gossip::polling::PeerId;
use badgerramp_gossip::replay::ReplayFilter;
use datagram::{received_kind, Datagram, DatagramKind, DecodeError, MAX_DATAGRAM_SIZE};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The maximum number of datagrams that are read before other tasks run. The rest is read in the next turn.
const MAX_READS_PER_TURN: usize = 64;

/// A poll fails if its response arrives later than this after the time that the service may hold it.
const POLL_GRACE: Duration = Duration::from_secs(2);

/// The gossip configuration of a proxy.
pub struct GossipConfig {
    /// The socket for datagrams. It is bound before the start, so that the program exits if that fails.
    pub socket: StdSocket,
    /// The address at which other proxies reach this proxy.
    pub advertise: SocketAddr,
    /// Addresses of the proxies that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The codec of the fleet.
    pub codec: DatagramCodec,
    /// The id of this proxy, drawn at random at each start.
    pub id: u64,
}

/// The result of a poll of the list service, and its connection if that can be reused.
struct PollResult {
    connection: Option<ServiceConnection>,
    /// The error is the `Retry-After` of the service, if there is one.
    answer: Result<PollAnswer, Option<Duration>>,
}

type PendingPoll = Pin<Box<dyn Future<Output = PollResult>>>;

/// The task that carries out what a [`Peer`] requests.
struct GossipTask {
    driver: Driver,
    network: Rc<dyn Network>,
    socket: UdpSocket,
    codec: Rc<DatagramCodec>,
    id: u64,
    peer: Peer,
    replay_filter: ReplayFilter,
    rejected: RejectedDatagrams,
    /// The sequence number of the last datagram that was sent.
    sequence: u64,
    /// The address of the list service.
    service: SocketAddr,
    /// A connection to the list service that is not in use.
    idle_connection: Option<ServiceConnection>,
    pending_poll: Option<PendingPoll>,
}

/// Keeps the endpoint list up to date by gossip until `leave` is notified. `service` is the address of the list
/// service, which may change.
pub async fn run(
    driver: Driver,
    network: Rc<dyn Network>,
    service: watch::Receiver<SocketAddr>,
    config: GossipConfig,
    leave: Rc<Notify>,
) {
    if let Err(error) = serve(driver, network, service, config, &leave).await {
        tracing::error!(%error, "gossip failed");
    }
}

async fn serve(
    driver: Driver,
    network: Rc<dyn Network>,
    mut service: watch::Receiver<SocketAddr>,
    config: GossipConfig,
    leave: &Notify,
) -> io::Result<()> {
    let address = *service.borrow_and_update();
    let mut task = GossipTask::new(driver, network, address, config)?;
    task.handle(Input::Timer);
    let mut buffer = vec![0; MAX_DATAGRAM_SIZE + 1];
    loop {
        let deadline = task.driver.clock().instant(task.peer.next_deadline());
        tokio::select! {
            () = leave.notified() => {
                task.handle(Input::Leave);
                return Ok(());
            }
            () = address_changed(&mut service) => {
                let address = *service.borrow_and_update();
                task.replace_service(address);
            }
            ready = task.socket.readable() => {
                ready?;
                task.read_datagrams(&mut buffer);
            }
            result = poll_result(&mut task.pending_poll) => task.finish_poll(result),
            () = tokio::time::sleep_until(deadline) => task.handle(Input::Timer),
        }
    }
}

/// Resolves when the pending poll has ended; never if there is none.
async fn poll_result(pending: &mut Option<PendingPoll>) -> PollResult {
    match pending {
        Some(poll) => {
            let result = poll.as_mut().await;
            *pending = None;
            result
        }
        None => std::future::pending().await,
    }
}

impl GossipTask {
    fn new(
        driver: Driver,
        network: Rc<dyn Network>,
        service: SocketAddr,
        config: GossipConfig,
    ) -> io::Result<Self> {
        let now = driver.clock().now();
        let own = Member {
            address: config.advertise,
            id: PeerId(config.id),
            started: now / 1_000,
        };
        config.socket.set_nonblocking(true)?;
        let peer_config = PeerConfig {
            own,
            seeds: config.seeds,
            disabled: None,
        };
        let socket = UdpSocket::from_std(config.socket)?;
        tracing::info!(address = %own.address, "gossip started");
        Ok(GossipTask {
            driver,
            network,
            socket,
            codec: Rc::new(config.codec),
            id: config.id,
            peer: Peer::new(now, peer_config),
            replay_filter: ReplayFilter::default(),
            rejected: RejectedDatagrams::default(),
            sequence: 0,
            service,
            idle_connection: None,
            pending_poll: None,
        })
    }

    fn now(&self) -> Micros {
        self.driver.clock().now()
    }

    /// Changes the address of the list service and cancels a pending poll.
    fn replace_service(&mut self, address: SocketAddr) {
        self.service = address;
        self.idle_connection = None;
        self.pending_poll = None;
        self.handle(Input::SourceChanged);
    }

    fn read_datagrams(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_READS_PER_TURN {
            match self.socket.try_recv_from(buffer) {
                Ok((size, from)) => self.handle_datagram(&buffer[..size], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The error belongs to a datagram sent earlier, whose receiver was not reachable.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        if bytes.len() > MAX_DATAGRAM_SIZE {
            self.rejected.malformed += 1;
            return;
        }
        let kind = received_kind(bytes);
        let codec = Rc::clone(&self.codec);
        let datagram = match codec.decode(kind, bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Malformed) => {
                self.rejected.malformed += 1;
                return;
            }
            Err(DecodeError::Unauthenticated) => {
                self.rejected.unauthenticated += 1;
                return;
            }
        };
        if !self
            .replay_filter
            .accept(datagram.sender, datagram.sequence)
        {
            self.rejected.replayed += 1;
        } else if kind == DatagramKind::Message {
            self.handle(Input::Message(datagram.body));
        } else {
            self.reply_status(&datagram, from);
        }
    }

    fn reply_status(&mut self, request: &Datagram<'_>, to: SocketAddr) {
        let report = StatusReport {
            status: self.peer.status(self.now()),
            rejected: self.rejected,
        };
        if let Ok(body) = postcard::to_stdvec(&report) {
            let reply = Datagram {
                body: &body,
                ..*request
            };
            self.send(DatagramKind::StatusReply, &reply, to);
        }
    }

    /// Sends a datagram. If that fails, the datagram is counted and treated as lost.
    fn send(&mut self, kind: DatagramKind, datagram: &Datagram<'_>, to: SocketAddr) {
        let bytes = self.codec.encode(kind, datagram);
        if self.socket.try_send_to(&bytes, to).is_err() {
            self.rejected.send_failed += 1;
        }
    }

    fn finish_poll(&mut self, result: PollResult) {
        self.idle_connection = result.connection;
        match result.answer {
            Ok(answer) => self.handle(Input::PollAnswered(answer)),
            Err(retry_after) => {
                let retry_after = retry_after.map(saturating_micros);
                self.handle(Input::PollFailed { retry_after });
            }
        }
    }

    /// Passes an input to the peer and carries out what it requests.
    fn handle(&mut self, input: Input<'_>) {
        let mut outputs = Vec::new();
        self.peer.handle(self.now(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send(to, body) => {
                self.sequence += 1;
                let message = Datagram {
                    sender: self.id,
                    sequence: self.sequence,
                    body: &body,
                };
                self.send(DatagramKind::Message, &message, to);
            }
            Output::Poll { index, wait } => {
                let poll = self.poll_service(index, Duration::from_micros(wait));
                self.pending_poll = Some(poll);
            }
            Output::ListChanged { complete, changes } => {
                let kind = if complete {
                    ListUpdateKind::Full
                } else {
                    ListUpdateKind::Delta
                };
                let list: Vec<Endpoint> = changes.into_iter().map(Endpoint::from).collect();
                self.driver.apply_endpoint_list(kind, &list);
            }
            Output::AliveCount(proxies) => {
                let proxies = u32::try_from(proxies).unwrap_or(u32::MAX);
                self.driver.set_alive_proxies(proxies);
            }
            Output::Event(event) => events::log(&event),
        }
    }

    /// Polls the list service for changes after `index`, or without an index for the complete list.
    fn poll_service(&mut self, index: Option<u64>, wait: Duration) -> PendingPoll {
        let network = Rc::clone(&self.network);
        let service = self.service;
        let mut connection = self.idle_connection.take();
        let memory_budget = Rc::clone(self.driver.memory_budget());
        Box::pin(async move {
            let sent_at = Instant::now();
            let timeout = if index.is_some() {
                wait + POLL_GRACE
            } else {
                Duration::from_micros(FETCH_TIMEOUT)
            };
            let request = discovery::fetch_list(
                &mut connection,
                &*network,
                service,
                (index, wait),
                &memory_budget,
            );
            let answer = match tokio::time::timeout(timeout, request).await {
                Ok(Ok(list)) => Ok(poll_answer(list, index, sent_at.elapsed())),
                Ok(Err(error)) => {
                    tracing::warn!(error = %error.message, "endpoint poll failed");
                    Err(error.retry_after)
                }
                Err(_) => {
                    tracing::warn!("endpoint poll timed out");
                    connection = None;
                    Err(None)
                }
            };
            PollResult { connection, answer }
        })
    }
}

fn poll_answer(list: List, polled_index: Option<u64>, latency: Duration) -> PollAnswer {
    PollAnswer {
        complete: list.snapshot,
        index: list.index,
        changes: list
            .endpoints
            .into_iter()
            .map(EndpointChange::from)
            .collect(),
        latency: saturating_micros(latency),
        immediate: polled_index.is_none(),
    }
}

fn saturating_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

#[cfg(test)]
mod tests;
