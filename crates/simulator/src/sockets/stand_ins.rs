//! Who stands round the program on sockets: hosts out of the model, the list service, and clients. In a simulation they
//! run on its network and time; the model is the one of the virtual play.

use super::http_message::{self, Message};
use super::memory_network::Who;
use super::transport::{Door, Io};
use super::Shared;
use badgerramp_sim_model::{
    Arrival, ClientRequest, Completion, FaultKind, FinalAnswer, Host, HostLoad, Invariant, Job,
    JobOutcome, ListEntry, ListResponse, Micros, OpId, RetryDecision,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::{oneshot, Notify};

/// The program's own figure for its watch on the list.
const WATCH_MOST: Micros = 60_000_000;

/// A host behind a socket.
pub(crate) struct HostCell {
    place: usize,
    pub(crate) host: RefCell<Host>,
    waiters: RefCell<BTreeMap<u64, oneshot::Sender<Completion>>>,
    moved: Notify,
    /// Counts its processes: connections of an earlier one break.
    process: Cell<u64>,
    died: Notify,
}

impl HostCell {
    pub(crate) fn new(place: usize, host: Host) -> Rc<Self> {
        Rc::new(HostCell {
            place,
            host: RefCell::new(host),
            waiters: RefCell::default(),
            moved: Notify::new(),
            process: Cell::new(0),
            died: Notify::new(),
        })
    }

    /// Lets its time pass and tells those whose jobs have ended.
    pub(crate) fn settle(&self, shared: &Shared) {
        let mut done = Vec::new();
        let now = shared.now();
        self.host
            .borrow_mut()
            .advance(now, &mut shared.memory.borrow_mut(), &mut done);
        for ended in done {
            if ended.took_effect {
                shared
                    .judge
                    .borrow_mut()
                    .effect_executed(ended.at, ended.job.op, self.place);
            }
            shared
                .course
                .borrow_mut()
                .record_event(ended.at, 6, ended.job.op.0, self.place as u64);
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ended.job.token) {
                let _ = waiter.send(ended);
            }
        }
    }

    /// Ends jobs when they are due, for as long as the course goes on.
    pub(crate) async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        loop {
            self.settle(&shared);
            let due = self.host.borrow().next_completion();
            match due {
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.moved.notified() => {}
                        () = tokio::time::sleep_until(shared.time().instant(at)) => {}
                    }
                }
                None => self.moved.notified().await,
            }
        }
    }

    /// Its process dies: what it had in hand is gone, and all its connections break.
    pub(crate) fn die(&self, shared: &Shared) {
        self.settle(shared);
        self.host
            .borrow_mut()
            .crash(&mut shared.memory.borrow_mut());
        self.waiters.borrow_mut().clear();
        self.process.set(self.process.get() + 1);
        self.died.notify_waiters();
    }

    pub(crate) fn stirred(&self) {
        self.moved.notify_one();
    }

    /// Takes connections in, until its process dies: then nobody listens there.
    pub(crate) async fn serve_until_death(self: Rc<Self>, shared: Rc<Shared>, door: Door) {
        let cell = Rc::clone(&self);
        tokio::select! {
            biased;
            () = cell.died.notified() => {}
            () = self.serve(shared, door) => {}
        }
    }

    async fn serve(self: Rc<Self>, shared: Rc<Shared>, door: Door) {
        loop {
            let end = door.accept().await;
            if !door.gated() && !self.takes(&shared) {
                end.abort();
                continue;
            }
            let (cell, shared) = (Rc::clone(&self), Rc::clone(&shared));
            tokio::task::spawn_local(async move {
                let process = cell.process.get();
                tokio::select! {
                    biased;
                    () = cell.died.notified() => end.abort(),
                    () = cell.connection(&shared, end.clone()) => {}
                }
                if cell.process.get() == process {
                    cell.host.borrow_mut().disconnect();
                }
            });
        }
    }

    /// Does it take one more connection?
    pub(crate) fn takes(&self, shared: &Shared) -> bool {
        self.settle(shared);
        let taken = self.host.borrow_mut().connect(shared.now());
        let count = self.host.borrow().connections();
        let mut course = shared.course.borrow_mut();
        course.max_connections = course.max_connections.max(count);
        self.stirred();
        taken
    }

    async fn connection(&self, shared: &Rc<Shared>, mut stream: Io) {
        let mut rest = Vec::new();
        let idle = Duration::from_micros(self.host.borrow().spec().idle_timeout);
        loop {
            // It closes what is idle for too long, without a word.
            let Ok(Ok(Some(message))) =
                tokio::time::timeout(idle, http_message::read(&mut stream, &mut rest, false)).await
            else {
                return;
            };
            let Some(text) = self.answer(shared, &message, &mut stream, &mut rest).await else {
                stream.abort();
                return;
            };
            let closes = text.1;
            if stream.write_all(text.0.as_bytes()).await.is_err() || closes {
                return;
            }
        }
    }

    /// The answer to a request, and whether the connection ends with it; None: it breaks.
    async fn answer(
        &self,
        shared: &Rc<Shared>,
        message: &Message,
        stream: &mut Io,
        rest: &mut Vec<u8>,
    ) -> Option<(String, bool)> {
        let Some((op, number)) = named(message) else {
            let text = format!("a host got what no client had sent: {:?}", message.start);
            shared
                .judge
                .borrow_mut()
                .record(Invariant::MixedUp, shared.now(), None, text);
            return None;
        };
        let ask = shared.asks.borrow().get(&(op, number)).copied()?;
        let (proxy, way) = (ask.proxy, (0xb17e, op.0, u64::from(number) << 8));
        shared.around.way((proxy, self.place), stream, way).await;
        self.settle(shared);
        let attempt = shared.judge.borrow_mut().attempt_sent(
            stream.read_sent(shared.now()),
            op,
            number,
            self.place,
        );
        shared.course.borrow_mut().record_attempt(&ask);
        shared
            .course
            .borrow_mut()
            .record_event(shared.now(), 5, op.0, self.place as u64);
        shared.note(op, || {
            format!(
                "attempt {attempt} reaches {}",
                self.host.borrow().spec().name
            )
        });
        let token = shared.token();
        let started = self.host.borrow().started_at();
        let informed = shared.told.borrow().get(&(proxy, self.place)) == Some(&started);
        let job = Job {
            token,
            op,
            attempt_id: (u64::from(number) << 8) | attempt as u64 & 0xff,
            effect: shared.scenario.classes[ask.class].effect,
            work: ask.work,
            expected_work: ask.expected_work,
            sender_knows_start: informed,
        };
        let fell = self.host.borrow().collapsed().is_some();
        let arrival =
            self.host
                .borrow_mut()
                .arrive(shared.now(), job, &mut shared.memory.borrow_mut());
        let now_fell = self.host.borrow().collapsed();
        if let (false, Some(pushed)) = (fell, now_fell) {
            if pushed {
                let text = format!("{} was pushed over", self.host.borrow().spec().name);
                shared
                    .judge
                    .borrow_mut()
                    .record(Invariant::ColdPushed, shared.now(), None, text);
            }
            self.die(shared);
        }
        let (verdict, report) = match arrival {
            Arrival::Nobody => return None,
            Arrival::Ended(verdict) => (verdict, self.host.borrow().load()),
            Arrival::Taken => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(token, sender);
                self.stirred();
                // One that hangs up meanwhile is seen: what only waits is dropped.
                let gone = async {
                    while !matches!(
                        http_message::read(stream, rest, false).await,
                        Ok(None) | Err(_)
                    ) {}
                };
                tokio::select! {
                    biased;
                    done = receiver => {
                        let done = done.ok()?;
                        (done.outcome, done.load)
                    }
                    () = gone => {
                        self.waiters.borrow_mut().remove(&token);
                        self.host.borrow_mut().abandon(token, &mut shared.memory.borrow_mut());
                        shared.judge.borrow_mut().attempt_ended(op, number, attempt, false);
                        return None;
                    }
                }
            }
        };
        shared.judge.borrow_mut().attempt_ended(
            op,
            number,
            attempt,
            verdict == JobOutcome::TurnedAway,
        );
        shared.note(op, || {
            format!(
                "attempt {attempt} ends at {}: {verdict:?}",
                self.host.borrow().spec().name
            )
        });
        shared
            .around
            .way(
                (proxy, self.place),
                stream,
                (way.0, way.1, way.2 + 1 + attempt as u64),
            )
            .await;
        reply(
            shared,
            verdict,
            report,
            op,
            u64::from(number) << 8 | attempt as u64,
        )
    }
}

/// The call that a request is of.
fn named(message: &Message) -> Option<(OpId, u32)> {
    let (op, number) = message.field("x-request-id")?.split_once('-')?;
    Some((OpId(op.parse().ok()?), number.parse().ok()?))
}

fn body(op: OpId) -> String {
    format!("done {}", op.0)
}

/// Not all of it: one that ends with its connection may have been cut.
fn cut(op: OpId) -> String {
    let body = body(op);
    body[..body.len() - 1].to_owned()
}

/// What a host writes; None: its connection breaks.
fn reply(
    shared: &Shared,
    verdict: JobOutcome,
    report: HostLoad,
    op: OpId,
    name: u64,
) -> Option<(String, bool)> {
    let load = format!(
        "X-Server-Load: TEXT inflight={}, queue={}\r\n",
        report.in_flight, report.queued
    );
    let text = |status: &str, more: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{more}{load}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let draw = |what: u64, most: u64| shared.draws.integer((what, op.0, name), (0, most));
    Some(match verdict {
        JobOutcome::Served => {
            let good = text("200 OK", "", &body(op));
            // Where answers are spoilt, good ones may come with more than belongs to them.
            match draw(0x5b01, 7) {
                0 if shared.spoils() => (
                    format!("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n{good}"),
                    false,
                ),
                1 if shared.spoils() => (format!("{good}{good}"), false),
                2 if shared.spoils() => (text("200 OK", "Connection: close\r\n", &body(op)), true),
                _ => (good, false),
            }
        }
        JobOutcome::Failed => (text("500 Internal Server Error", "", "it fails"), false),
        JobOutcome::TurnedAway => (
            text("503 Service Unavailable", "X-Not-Processed: 1\r\n", ""),
            false,
        ),
        JobOutcome::Reset => return None,
        JobOutcome::Spoilt => match draw(0x5b02, 5) {
            0 => (
                "\u{1}\u{2}noise that is no answer\r\n\r\n".to_owned(),
                false,
            ),
            1 => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{}",
                    body(op)
                ),
                true,
            ),
            2 => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                    cut(op)
                ),
                true,
            ),
            3 => (
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore and more".to_owned(),
                false,
            ),
            4 => (
                format!("HTTP/1.1 200 OK\r\nX-Long: {}\r\n", "x".repeat(40_000)),
                false,
            ),
            _ => (format!("HTTP/1.1 200 OK\r\n\r\n{}", cut(op)), true),
        },
    })
}

/// The list service.
pub(crate) async fn list(shared: Rc<Shared>, door: Door) {
    loop {
        let mut stream = door.accept().await;
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let mut rest = Vec::new();
            while let Ok(Some(message)) = http_message::read(&mut stream, &mut rest, false).await {
                let Who::Proxy(proxy) = stream.peer else {
                    return;
                };
                let Some(text) = members(&shared, proxy, &message).await else {
                    return;
                };
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The answer to a question for the list; None: the connection ends.
async fn members(shared: &Rc<Shared>, proxy: u32, message: &Message) -> Option<String> {
    let query = message.start.1.split_once('?').map_or("", |q| q.1);
    let number = |name: &str| -> Option<u64> {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let (known, wait) = (number("index"), number("wait").unwrap_or(0) * 1_000);
    let leaves = shared.list.borrow_mut().accept_request(shared.now());
    tokio::time::sleep_until(shared.time().instant(leaves)).await;
    let end = shared.now() + wait.min(WATCH_MOST);
    let (snapshot, version, entries) = loop {
        let told = shared.list.borrow().respond(shared.now(), known);
        match told {
            ListResponse::Full(version, list) => break (true, version, list),
            ListResponse::Changes(version, list) => break (false, version, list),
            ListResponse::Failed => {
                return Some(
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
                );
            }
            ListResponse::NoResponse => std::future::pending().await,
            ListResponse::Unchanged if shared.now() >= end => {
                break (false, known.unwrap_or(0), Vec::new())
            }
            ListResponse::Unchanged => {
                tokio::select! {
                    biased;
                    () = shared.listed.notified() => {}
                    () = tokio::time::sleep_until(shared.time().instant(end)) => {}
                }
            }
        }
    };
    let mut told: Vec<serde_json::Value> = Vec::new();
    if snapshot {
        let there: Vec<usize> = entries.iter().map(|e| e.host).collect();
        for host in (0..shared.scenario.hosts.len()).filter(|h| !there.contains(h)) {
            if shared.told.borrow_mut().remove(&(proxy, host)).is_some() {
                shared
                    .judge
                    .borrow_mut()
                    .host_status_received(shared.now(), proxy, host, false);
            }
        }
    }
    for ListEntry {
        host,
        state,
        started_at: started,
    } in entries
    {
        let ready = state == 0;
        shared
            .judge
            .borrow_mut()
            .host_status_received(shared.now(), proxy, host, ready);
        if ready {
            shared.told.borrow_mut().insert((proxy, host), started);
        }
        let spec = &shared.scenario.hosts[host];
        let status = ["up", "draining", "removed"][usize::from(state.min(2))];
        told.push(serde_json::json!({
            "name": spec.name, "address": shared.host_address(host).to_string(), "zone": spec.zone, "type": spec.kind,
            "group": spec.group, "status": status, "weight": 1.0,
            "since_ms": if started == 0 { 0 } else { (shared.unix + started) / 1_000 },
        }));
    }
    let body = serde_json::json!({ "index": version, "snapshot": snapshot, "endpoints": told })
        .to_string();
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Where a host listens.
pub(crate) fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (host >> 8) as u8, host as u8], 9_000))
}

/// Where a proxy listens.
pub(crate) fn proxy_address(proxy: u32) -> SocketAddr {
    SocketAddr::from(([127, 2, (proxy >> 8) as u8, proxy as u8], 8_080))
}

/// Where the list service listens.
pub(crate) fn list_address() -> SocketAddr {
    SocketAddr::from(([127, 3, 0, 1], 8_500))
}

/// All clients: each try is a task of its own, so that none waits for another.
pub(crate) async fn clients(shared: Rc<Shared>) {
    loop {
        let next = shared.clients.borrow_mut().next_operation();
        let Some(ask) = next else { return };
        tokio::time::sleep_until(shared.time().instant(ask.due)).await;
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move { client(shared, ask).await });
    }
}

async fn client(shared: Rc<Shared>, first: ClientRequest) {
    let mut ask = first;
    loop {
        tokio::time::sleep_until(shared.time().instant(ask.due)).await;
        shared.course.borrow_mut().record_try(&ask);
        shared.course.borrow_mut().record_event(
            shared.now(),
            1,
            ask.op.0,
            u64::from(ask.try_number),
        );
        shared.note(ask.op, || {
            format!(
                "try {} at proxy {}, waits {} us",
                ask.try_number, ask.proxy, ask.timeout
            )
        });
        let heard = ask_once(&shared, &ask).await;
        let Heard {
            answered,
            told,
            left,
        } = heard;
        let now = shared.now();
        shared
            .course
            .borrow_mut()
            .record_event(now, 2, ask.op.0, answered.map_or(9, |a| a as u64));
        shared.note(ask.op, || {
            format!(
                "try {}: {answered:?}{}",
                ask.try_number,
                if left { ", its client left" } else { "" }
            )
        });
        if left {
            shared
                .course
                .borrow_mut()
                .record_operation_end(&ask, now, Some(FinalAnswer::Failed));
            return;
        }
        let next = shared
            .clients
            .borrow()
            .after_answer(&ask, answered, now, told);
        match next {
            RetryDecision::Retry(again) => ask = again,
            RetryDecision::Stop => {
                shared
                    .course
                    .borrow_mut()
                    .record_operation_end(&ask, now, answered);
                return;
            }
        }
    }
}

/// What a client hears of one try.
struct Heard {
    answered: Option<FinalAnswer>,
    told: Option<Micros>,
    left: bool,
}

async fn ask_once(shared: &Rc<Shared>, ask: &ClientRequest) -> Heard {
    let nothing = |answered| Heard {
        answered,
        told: None,
        left: false,
    };
    let kept = shared.kept.borrow_mut().entry(ask.proxy).or_default().pop();
    // What the proxy has closed meanwhile is not used.
    let kept = kept.filter(|io: &Io| io.quiet());
    let (stream, kept) = match kept {
        Some(open) => (open, true),
        None => match shared.around.to_proxy(ask.proxy).await {
            Ok(io) => (io, false),
            // Nobody is there: that nothing ran is plain.
            Err(_) => return nothing(Some(FinalAnswer::Refused)),
        },
    };
    shared
        .asks
        .borrow_mut()
        .insert((ask.op, ask.try_number), *ask);
    let until = shared.now() + ask.timeout;
    shared.judge.borrow_mut().call_accepted(
        shared.now(),
        ask.op,
        ask.try_number,
        (ask.class, ask.proxy),
        until,
    );
    let epoch = shared.epoch(ask.proxy);
    let name = (0x1ea5e, ask.op.0, u64::from(ask.try_number));
    let leaves = shared
        .draws
        .occurs(name, shared.scenario.clients.disconnect_share);
    let after = shared
        .draws
        .integer((0x1ea5f, name.1, name.2), (1, ask.timeout.max(2) - 1));
    let end = if leaves {
        shared.now() + after
    } else {
        until + shared.slack
    };
    let exchange = exchange(shared, ask, stream);
    let heard = tokio::time::timeout_at(shared.time().instant(end), exchange).await;
    let now = shared.now();
    match heard {
        Err(_) if leaves => {
            shared
                .judge
                .borrow_mut()
                .client_left(now, ask.op, ask.try_number);
            Heard {
                answered: None,
                told: None,
                left: true,
            }
        }
        // The judge knows by itself that no answer came.
        Err(_) => nothing(None),
        Ok(None) => {
            // Closed without an answer. It is owed all the same, unless the proxy died, or had closed an idle
            // connection while this request was on its way (RFC 9112, 9.3.1): then nothing went out.
            let unseen = kept
                && !shared
                    .judge
                    .borrow()
                    .any_attempt_sent(ask.op, ask.try_number);
            if shared.epoch(ask.proxy) != epoch || unseen {
                shared
                    .judge
                    .borrow_mut()
                    .client_left(now, ask.op, ask.try_number);
            }
            nothing(None)
        }
        Ok(Some((message, open))) => {
            if let Some(open) = open {
                shared
                    .kept
                    .borrow_mut()
                    .entry(ask.proxy)
                    .or_default()
                    .push(open);
            }
            let answered = match message.status() {
                200 => FinalAnswer::Served,
                503 | 429 => FinalAnswer::Refused,
                504 => FinalAnswer::Overdue,
                _ => FinalAnswer::Failed,
            };
            let mut judge = shared.judge.borrow_mut();
            judge.call_answered(now, ask.op, ask.try_number, answered);
            if answered == FinalAnswer::Served && message.body != body(ask.op).into_bytes() {
                let text = format!("served with {:?}", String::from_utf8_lossy(&message.body));
                judge.record(Invariant::MixedUp, now, Some(ask.op), text);
            }
            if (400..500).contains(&message.status()) && message.status() != 429 {
                let text = format!("a good request is answered {}", message.status());
                judge.record(Invariant::Crashed, now, Some(ask.op), text);
            }
            let told = message
                .field("retry-after")
                .and_then(|v| v.parse::<f64>().ok())
                .map(|s| (s * 1e6) as Micros);
            Heard {
                answered: Some(answered),
                told: told.filter(|_| answered == FinalAnswer::Refused),
                left: false,
            }
        }
    }
}

/// Writes a request and reads its answer; the connection comes back if it may be used again.
async fn exchange(
    shared: &Rc<Shared>,
    ask: &ClientRequest,
    mut stream: Io,
) -> Option<(Message, Option<Io>)> {
    let class = &shared.scenario.classes[ask.class];
    let key = match class.effect {
        badgerramp_sim_model::Effect::Keyed { .. } => {
            format!("Idempotency-Key: {:x}\r\n", ask.op.0)
        }
        _ => String::new(),
    };
    let head = format!(
        "POST /{} HTTP/1.1\r\nHost: x\r\n{key}X-Request-ID: {}-{}\r\nX-Timeout: {}u\r\nContent-Length: 4\r\n\r\n",
        class.name, ask.op.0, ask.try_number, ask.timeout
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    // Some send the body a little later.
    if ask.op.0.is_multiple_of(7) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"body").await.ok()?;
    let mut rest = Vec::new();
    let message = http_message::read(&mut stream, &mut rest, true)
        .await
        .ok()??;
    if !rest.is_empty() {
        let text = format!("{} bytes behind an answer", rest.len());
        shared.judge.borrow_mut().record(
            Invariant::AnsweredTwice,
            shared.now(),
            Some(ask.op),
            text,
        );
    }
    let closes = message
        .field("connection")
        .is_some_and(|v| v.eq_ignore_ascii_case("close"));
    Some((message, Some(stream).filter(|_| !closes)))
}

/// Brings the troubles of a scenario about.
pub(crate) async fn troubles(shared: Rc<Shared>) {
    let mut moments: Vec<(Micros, bool, usize)> = Vec::new();
    for (n, fault) in shared.scenario.faults.iter().enumerate() {
        moments.push((fault.from, true, n));
        moments.push((fault.until, false, n));
    }
    let joins = shared
        .scenario
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, h)| h.joins_at > 0);
    moments.extend(joins.map(|(host, h)| (h.joins_at, true, usize::MAX - host)));
    moments.sort_by_key(|m| m.0);
    for (at, begins, n) in moments {
        tokio::time::sleep_until(shared.time().instant(at)).await;
        if n > usize::MAX / 2 {
            shared.host_starts(usize::MAX - n);
            continue;
        }
        shared.course.borrow_mut().record_event(
            shared.now(),
            if begins { 10 } else { 11 },
            n as u64,
            0,
        );
        let fault = shared.scenario.faults[n];
        if let Some(host) = fault.kind.host() {
            shared.hosts[host].settle(&shared);
        }
        match (fault.kind, begins) {
            (FaultKind::Crash { host }, true) => shared.host_ends(host, true),
            (FaultKind::Crash { host }, false) => shared.host_starts(host),
            (FaultKind::Drain { host }, true) => {
                shared.hosts[host].host.borrow_mut().drain();
                let started = shared.hosts[host].host.borrow().started_at();
                shared.list_changes(ListEntry {
                    host,
                    state: 1,
                    started_at: started,
                });
            }
            (FaultKind::Drain { host }, false) => shared.host_ends(host, true),
            (FaultKind::ProxyCrash { proxy }, true) => shared.proxy_dies(proxy),
            (FaultKind::ProxyCrash { proxy }, false) => shared.start_proxy(proxy).await,
            (trouble, begins) => {
                if let Some(host) = trouble.host() {
                    let mut model = shared.hosts[host].host.borrow_mut();
                    if begins {
                        model.begin_fault(shared.now(), &fault);
                    } else {
                        model.end_fault(&fault);
                    }
                    drop(model);
                    shared.hosts[host].stirred();
                }
            }
        }
    }
}
