//! The other proxies of the fleet: datagrams, each under a seal, and the questions to the list service that
//! [`badgerramp_gossip`] wants asked. What is decided is decided there.

use super::discovery::{self, changed, Link};
use super::driver::{Driver, Endpoint, List};
use super::socket::Network;
use badgerramp_control_protocol::{SharedSecret, MAC_LEN};
use badgerramp_decisions::{ListUpdateKind, Micros};
use badgerramp_endpoint_watch::FETCH_TIMEOUT;
use badgerramp_gossip::endpoint_list::{EndpointChange, EndpointEntry};
use badgerramp_gossip::peer::{
    Input, Member, Output, Peer, PeerConfig, PeerEvent, PeerStatus, PollAnswer, MAX_MESSAGE_SIZE,
};
use badgerramp_gossip::polling::PeerId;
use badgerramp_gossip::replay::ReplayFilter;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The version of the datagrams; one of another version is counted as strange.
const VERSION: u8 = 1;
/// Version, what it is, seal, sender, the sender's count.
const HEAD: usize = 2 + MAC_LEN + 16;
/// Most bytes of a datagram: a longer one is cut when it is read, and so is strange.
const MOST: usize = HEAD + MAX_MESSAGE_SIZE;
/// Datagrams that are read before anything else gets its turn; the rest waits for the next one, and none is left out.
const AT_ONCE: usize = 64;
/// An answer that is so much later than its wait does not come: [`badgerramp_gossip`] decides what follows.
const SILENCE: Duration = Duration::from_secs(2);
/// The answer to a look is larger than any message.
const LOOK_MOST: usize = 60_000;

/// What a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// From one proxy to another.
    Letter = 0,
    /// Somebody with the secret wants to know what this proxy knows.
    Look = 1,
    /// ... and is told.
    Told = 2,
}

/// Seals datagrams and opens them.
#[derive(Clone, Debug)]
pub struct Seals {
    secret: SharedSecret,
    fleet: String,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strange {
    /// Of another form or version, or too long.
    Form,
    /// Under another secret, of another fleet, or not what was sent.
    Seal,
}

impl Seals {
    /// Those of a fleet.
    pub fn new(secret: SharedSecret, fleet: String) -> Self {
        Seals { secret, fleet }
    }

    fn seal(&self, kind: Kind, (sender, count): (u64, u64), body: &[u8]) -> Vec<u8> {
        let head = [VERSION, kind as u8];
        let numbers = [sender.to_le_bytes(), count.to_le_bytes()].concat();
        let tag = self.secret.datagram_mac(
            "badgerramp peers",
            &[self.fleet.as_bytes(), &head, &numbers, body],
        );
        [&head[..], &tag, &numbers, body].concat()
    }

    fn open<'a>(&self, kind: Kind, datagram: &'a [u8]) -> Result<(u64, u64, &'a [u8]), Strange> {
        let (head, rest) = datagram.split_at_checked(2).ok_or(Strange::Form)?;
        let (tag, rest) = rest.split_at_checked(MAC_LEN).ok_or(Strange::Form)?;
        let (numbers, body) = rest.split_at_checked(16).ok_or(Strange::Form)?;
        if head != [VERSION, kind as u8] {
            return Err(Strange::Form);
        }
        if !self.secret.verify_datagram_mac(
            "badgerramp peers",
            &[self.fleet.as_bytes(), head, numbers, body],
            tag,
        ) {
            return Err(Strange::Seal);
        }
        let number = |from: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&numbers[from..from + 8]);
            u64::from_le_bytes(bytes)
        };
        Ok((number(0), number(8), body))
    }
}

/// Datagrams that were not taken, and what went wrong with sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strangers {
    /// Of another form or version, or too long.
    pub form: u64,
    /// Under another secret, or of another fleet.
    pub seal: u64,
    /// Taken before, or too old to tell.
    pub again: u64,
    /// That the system would not send.
    pub unsent: u64,
}

/// What a running proxy tells of its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// What it knows.
    pub standing: PeerStatus,
    /// What it did not take.
    pub strangers: Strangers,
}

/// All that a proxy needs to be among its peers.
pub struct Setup {
    /// Where it hears; bound already, so that a start fails if that can't be.
    pub socket: StdSocket,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Where others may be met.
    pub seeds: Vec<SocketAddr>,
    /// Of its fleet.
    pub seals: Seals,
    /// Its number, drawn anew at each start.
    pub id: u64,
}

type Question = Pin<Box<dyn Future<Output = Asked>>>;

struct Asked {
    link: Option<Link>,
    answer: Result<PollAnswer, Option<Duration>>,
}

struct Here {
    driver: Driver,
    network: Rc<dyn Network>,
    socket: UdpSocket,
    seals: Rc<Seals>,
    id: u64,
    peer: Peer,
    replays: ReplayFilter,
    strangers: Strangers,
    count: u64,
    address: SocketAddr,
    link: Option<Link>,
    question: Option<Question>,
}

/// Keeps the list up to date by what the fleet knows, for as long as the program runs, until `leave`.
pub async fn run(
    driver: Driver,
    network: Rc<dyn Network>,
    address: watch::Receiver<SocketAddr>,
    setup: Setup,
    leave: Rc<Notify>,
) {
    if let Err(fault) = serve(driver, network, address, setup, &leave).await {
        tracing::error!("peers: {fault}");
    }
}

async fn serve(
    driver: Driver,
    network: Rc<dyn Network>,
    mut address: watch::Receiver<SocketAddr>,
    setup: Setup,
    leave: &Notify,
) -> io::Result<()> {
    let now = driver.clock().now();
    let own = Member {
        address: setup.advertise,
        id: PeerId(setup.id),
        started: now / 1_000,
    };
    setup.socket.set_nonblocking(true)?;
    let at = *address.borrow_and_update();
    let mut here = Here {
        network,
        socket: UdpSocket::from_std(setup.socket)?,
        seals: Rc::new(setup.seals),
        id: setup.id,
        peer: Peer::new(
            now,
            PeerConfig {
                own,
                seeds: setup.seeds,
                disabled: None,
            },
        ),
        replays: ReplayFilter::default(),
        strangers: Strangers::default(),
        count: 0,
        address: at,
        link: None,
        question: None,
        driver,
    };
    tracing::info!("peers: this proxy is {} to others", own.address);
    here.tell(Input::Timer);
    let mut buffer = vec![0; MOST + 1];
    loop {
        let due = here.driver.clock().instant(here.peer.next_deadline());
        tokio::select! {
            () = leave.notified() => {
                here.tell(Input::Leave);
                return Ok(());
            }
            () = changed(&mut address) => {
                here.address = *address.borrow_and_update();
                (here.link, here.question) = (None, None);
                here.tell(Input::SourceChanged);
            }
            ready = here.socket.readable() => {
                ready?;
                here.read(&mut buffer);
            }
            asked = answered(&mut here.question) => here.asked(asked),
            () = tokio::time::sleep_until(due) => here.tell(Input::Timer),
        }
    }
}

/// Resolves with the answer; never while no question is out.
async fn answered(question: &mut Option<Question>) -> Asked {
    match question {
        Some(out) => {
            let asked = out.as_mut().await;
            *question = None;
            asked
        }
        None => std::future::pending().await,
    }
}

impl Here {
    fn now(&self) -> Micros {
        self.driver.clock().now()
    }

    fn read(&mut self, buffer: &mut [u8]) {
        for _ in 0..AT_ONCE {
            match self.socket.try_recv_from(buffer) {
                Ok((count, from)) => self.datagram(&buffer[..count], from),
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return,
                // Of an earlier datagram, which found nobody.
                Err(_) => {}
            }
        }
    }

    fn datagram(&mut self, datagram: &[u8], from: SocketAddr) {
        if datagram.len() > MOST {
            self.strangers.form += 1;
            return;
        }
        let kind = if datagram.get(1) == Some(&(Kind::Look as u8)) {
            Kind::Look
        } else {
            Kind::Letter
        };
        let seals = Rc::clone(&self.seals);
        match seals.open(kind, datagram) {
            Err(Strange::Form) => self.strangers.form += 1,
            Err(Strange::Seal) => self.strangers.seal += 1,
            Ok((sender, count, _)) if !self.replays.accept(sender, count) => {
                self.strangers.again += 1;
            }
            Ok((_, _, body)) if kind == Kind::Letter => self.tell(Input::Message(body)),
            Ok((sender, count, _)) => {
                let told = Told {
                    standing: self.peer.status(self.now()),
                    strangers: self.strangers,
                };
                if let Ok(body) = postcard::to_stdvec(&told) {
                    let bytes = self.seals.seal(Kind::Told, (sender, count), &body);
                    self.strangers.unsent +=
                        u64::from(self.socket.try_send_to(&bytes, from).is_err());
                }
            }
        }
    }

    fn asked(&mut self, asked: Asked) {
        self.link = asked.link;
        match asked.answer {
            Ok(answer) => self.tell(Input::PollAnswered(answer)),
            Err(after) => {
                let retry_after =
                    after.map(|a| Micros::try_from(a.as_micros()).unwrap_or(Micros::MAX));
                self.tell(Input::PollFailed { retry_after });
            }
        }
    }

    fn tell(&mut self, input: Input<'_>) {
        let mut out = Vec::new();
        self.peer.handle(self.now(), input, &mut out);
        for output in out {
            match output {
                Output::Send(to, body) => {
                    self.count += 1;
                    let bytes = self.seals.seal(Kind::Letter, (self.id, self.count), &body);
                    // What is not sent is as good as lost on the way.
                    self.strangers.unsent +=
                        u64::from(self.socket.try_send_to(&bytes, to).is_err());
                }
                Output::Poll { index, wait } => {
                    self.question = Some(self.ask(index, Duration::from_micros(wait)));
                }
                Output::ListChanged { complete, changes } => {
                    let kind = if complete {
                        ListUpdateKind::Full
                    } else {
                        ListUpdateKind::Delta
                    };
                    let list: Vec<Endpoint> = changes.into_iter().map(Endpoint::from).collect();
                    self.driver.members(kind, &list);
                }
                Output::AliveCount(proxies) => self
                    .driver
                    .alive(u32::try_from(proxies).unwrap_or(u32::MAX)),
                Output::Event(note) => log(&note),
            }
        }
    }

    fn ask(&mut self, index: Option<u64>, wait: Duration) -> Question {
        let (network, address, mut link) =
            (Rc::clone(&self.network), self.address, self.link.take());
        Box::pin(async move {
            let asked = Instant::now();
            let patience = if index.is_some() {
                wait + SILENCE
            } else {
                Duration::from_micros(FETCH_TIMEOUT)
            };
            let asking = discovery::ask(&mut link, &*network, address, (index, wait));
            let answer = match tokio::time::timeout(patience, asking).await {
                Ok(Ok(list)) => Ok(answer(list, index, asked.elapsed())),
                Ok(Err(fault)) => {
                    tracing::warn!("discovery: {}", fault.why);
                    Err(fault.retry_after)
                }
                Err(_) => {
                    tracing::warn!("discovery: no answer");
                    link = None;
                    Err(None)
                }
            };
            Asked { link, answer }
        })
    }
}

fn answer(list: List, index: Option<u64>, took: Duration) -> PollAnswer {
    PollAnswer {
        complete: list.snapshot,
        index: list.index,
        changes: list
            .endpoints
            .into_iter()
            .map(EndpointChange::from)
            .collect(),
        latency: Micros::try_from(took.as_micros()).unwrap_or(Micros::MAX),
        immediate: index.is_none(),
    }
}

impl From<Endpoint> for EndpointChange {
    fn from(e: Endpoint) -> Self {
        let Endpoint {
            name,
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        } = e;
        let gone = status == "removed";
        let entry = EndpointEntry {
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        };
        EndpointChange {
            name,
            entry: (!gone).then_some(entry),
        }
    }
}

impl From<EndpointChange> for Endpoint {
    fn from(EndpointChange { name, entry }: EndpointChange) -> Self {
        let gone = || EndpointEntry {
            status: "removed".to_owned(),
            ..EndpointEntry::default()
        };
        let EndpointEntry {
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        } = entry.unwrap_or_else(gone);
        Endpoint {
            name,
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        }
    }
}

fn log(note: &PeerEvent) {
    match note {
        PeerEvent::ListReceived {
            source,
            version,
            endpoints,
            elapsed,
        } => {
            let from = source.map_or_else(|| "the list service".to_owned(), |a| a.to_string());
            let ms = elapsed / 1_000;
            tracing::info!(
                "peers: list {} of {from} with {endpoints} hosts, {ms} ms after the start",
                version.index
            );
        }
        PeerEvent::PollingStarted => {
            tracing::info!("peers: this proxy asks the list service for others")
        }
        PeerEvent::PollingStopped => tracing::info!("peers: others ask the list service"),
        PeerEvent::ListQuarantined { index } => {
            tracing::warn!(
                "peers: list {index} of the service is doubted: older than the one held, or half of it"
            );
        }
        PeerEvent::IncarnationStarted { incarnation } => {
            tracing::warn!("peers: the list service was restored or changed: life {incarnation}");
        }
        PeerEvent::Converged { alive } => {
            tracing::info!("peers: the start is over, {alive} proxies")
        }
        PeerEvent::MembershipLost { alive } => {
            tracing::warn!("peers: most proxies have gone, {alive} are left")
        }
    }
}

/// Asks the proxy that hears at `address` what it knows.
///
/// # Errors
/// In words, if it does not answer.
pub fn look(address: SocketAddr, seals: &Seals, wait: Duration) -> Result<Told, String> {
    let any: SocketAddr = if address.is_ipv4() {
        ([0, 0, 0, 0], 0).into()
    } else {
        ([0u16; 8], 0).into()
    };
    let fault = |e: io::Error| format!("{address}: {e}");
    let socket = StdSocket::bind(any).map_err(fault)?;
    socket.connect(address).map_err(fault)?;
    socket.set_read_timeout(Some(wait)).map_err(fault)?;
    let sender = rand::random();
    socket
        .send(&seals.seal(Kind::Look, (sender, 1), &[]))
        .map_err(fault)?;
    let mut buffer = vec![0; LOOK_MOST];
    let count = socket.recv(&mut buffer).map_err(|e| match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            format!(
                "{address}: no answer within {} s: another secret or fleet, or no proxy",
                wait.as_secs()
            )
        }
        _ => fault(e),
    })?;
    match seals.open(Kind::Told, &buffer[..count]) {
        Ok((who, _, body)) if who == sender => {
            postcard::from_bytes(body).map_err(|e| format!("{address}: an odd answer: {e}"))
        }
        _ => Err(format!("{address}: an answer under another seal")),
    }
}

#[cfg(test)]
mod tests;
