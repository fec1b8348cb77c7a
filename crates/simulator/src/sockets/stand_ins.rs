//! The stand-ins around the proxies on sockets: modelled hosts, the list service, and clients. They use the same model as the
//! virtual-time backend.

use super::http_message::{self, Message};
use super::memory_network::Party;
use super::transport::{Connection, Listener};
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

/// Longest wait of a watch on the endpoint list, as in the proxy.
const MAX_WATCH_WAIT: Micros = 60_000_000;

/// A modelled host that serves requests on sockets.
pub(crate) struct HostStandIn {
    index: usize,
    pub(crate) host: RefCell<Host>,
    /// Receivers of the jobs' completions, by the jobs' tokens.
    waiters: RefCell<BTreeMap<u64, oneshot::Sender<Completion>>>,
    /// Notified when the time of the next completion may have changed.
    jobs_changed: Notify,
    /// Number of crashes so far. Connections end with the process that accepted them.
    process: Cell<u64>,
    crashed: Notify,
}

impl HostStandIn {
    pub(crate) fn new(index: usize, host: Host) -> Rc<Self> {
        Rc::new(HostStandIn {
            index,
            host: RefCell::new(host),
            waiters: RefCell::default(),
            jobs_changed: Notify::new(),
            process: Cell::new(0),
            crashed: Notify::new(),
        })
    }

    /// Advances the host to the current time and reports completed jobs to their waiters.
    pub(crate) fn advance(&self, shared: &Shared) {
        let mut completions = Vec::new();
        let now = shared.now();
        self.host
            .borrow_mut()
            .advance(now, &mut shared.dedup.borrow_mut(), &mut completions);
        for completion in completions {
            if completion.took_effect {
                shared.invariants.borrow_mut().effect_executed(
                    completion.at,
                    completion.job.op,
                    self.index,
                );
            }
            shared.result.borrow_mut().record_event(
                completion.at,
                6,
                completion.job.op.0,
                self.index as u64,
            );
            if let Some(waiter) = self.waiters.borrow_mut().remove(&completion.job.token) {
                let _ = waiter.send(completion);
            }
        }
    }

    /// Completes jobs when they are due, until the end of the run.
    pub(crate) async fn run_completions(self: Rc<Self>, shared: Rc<Shared>) {
        loop {
            self.advance(&shared);
            let due = self.host.borrow().next_completion();
            match due {
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.jobs_changed.notified() => {}
                        () = tokio::time::sleep_until(shared.clock().instant(at)) => {}
                    }
                }
                None => self.jobs_changed.notified().await,
            }
        }
    }

    /// Crashes the host's process: its jobs are lost, and all of its connections are reset.
    pub(crate) fn crash(&self, shared: &Shared) {
        self.advance(shared);
        self.host.borrow_mut().crash(&mut shared.dedup.borrow_mut());
        self.waiters.borrow_mut().clear();
        self.process.set(self.process.get() + 1);
        self.crashed.notify_waiters();
    }

    /// Makes [`HostStandIn::run_completions`] compute the time of the next completion again.
    pub(crate) fn reschedule(&self) {
        self.jobs_changed.notify_one();
    }

    /// Accepts and serves connections until the host's process crashes; then the listener is closed.
    pub(crate) async fn serve_until_crash(self: Rc<Self>, shared: Rc<Shared>, listener: Listener) {
        let stand_in = Rc::clone(&self);
        tokio::select! {
            biased;
            () = stand_in.crashed.notified() => {}
            () = self.serve(shared, listener) => {}
        }
    }

    async fn serve(self: Rc<Self>, shared: Rc<Shared>, listener: Listener) {
        loop {
            let connection = listener.accept().await;
            if !listener.checks_acceptance() && !self.accepts(&shared) {
                connection.abort();
                continue;
            }
            let (stand_in, shared) = (Rc::clone(&self), Rc::clone(&shared));
            tokio::task::spawn_local(async move {
                let process = stand_in.process.get();
                tokio::select! {
                    biased;
                    () = stand_in.crashed.notified() => connection.abort(),
                    () = stand_in.serve_connection(&shared, connection.clone()) => {}
                }
                if stand_in.process.get() == process {
                    stand_in.host.borrow_mut().disconnect();
                }
            });
        }
    }

    /// Opens a connection at the host, if it accepts one more.
    pub(crate) fn accepts(&self, shared: &Shared) -> bool {
        self.advance(shared);
        let accepted = self.host.borrow_mut().connect(shared.now());
        let count = self.host.borrow().connections();
        let mut result = shared.result.borrow_mut();
        result.max_connections = result.max_connections.max(count);
        self.reschedule();
        accepted
    }

    async fn serve_connection(&self, shared: &Rc<Shared>, mut stream: Connection) {
        let mut rest = Vec::new();
        let idle_timeout = Duration::from_micros(self.host.borrow().spec().idle_timeout);
        loop {
            // Closes the connection after the idle timeout, without a response.
            let Ok(Ok(Some(message))) = tokio::time::timeout(
                idle_timeout,
                http_message::read(&mut stream, &mut rest, false),
            )
            .await
            else {
                return;
            };
            let Some(response) = self
                .handle_request(shared, &message, &mut stream, &mut rest)
                .await
            else {
                stream.abort();
                return;
            };
            let closes = response.1;
            if stream.write_all(response.0.as_bytes()).await.is_err() || closes {
                return;
            }
        }
    }

    /// Handles a request. Returns the response, and whether the connection is closed after it; `None`: it is reset.
    async fn handle_request(
        &self,
        shared: &Rc<Shared>,
        message: &Message,
        stream: &mut Connection,
        rest: &mut Vec<u8>,
    ) -> Option<(String, bool)> {
        let Some((op, number)) = request_id(message) else {
            let text = format!(
                "a host received a request that no client sent: {:?}",
                message.start
            );
            shared
                .invariants
                .borrow_mut()
                .record(Invariant::MixedUp, shared.now(), None, text);
            return None;
        };
        let request = shared.requests.borrow().get(&(op, number)).copied()?;
        let (proxy, key) = (request.proxy, (0xb17e, op.0, u64::from(number) << 8));
        shared
            .transport
            .apply_network_model((proxy, self.index), stream, key)
            .await;
        self.advance(shared);
        let attempt = shared.invariants.borrow_mut().attempt_sent(
            stream.last_read_sent_at(shared.now()),
            op,
            number,
            self.index,
        );
        shared.result.borrow_mut().record_attempt(&request);
        shared
            .result
            .borrow_mut()
            .record_event(shared.now(), 5, op.0, self.index as u64);
        shared.trace(op, || {
            format!(
                "attempt {attempt} reaches {}",
                self.host.borrow().spec().name
            )
        });
        let token = shared.next_token();
        let started_at = self.host.borrow().started_at();
        let sender_knows_start =
            shared.known_starts.borrow().get(&(proxy, self.index)) == Some(&started_at);
        let job = Job {
            token,
            op,
            attempt_id: (u64::from(number) << 8) | attempt as u64 & 0xff,
            effect: shared.scenario.classes[request.class].effect,
            work: request.work,
            expected_work: request.expected_work,
            sender_knows_start,
        };
        let was_collapsed = self.host.borrow().collapsed().is_some();
        let arrival =
            self.host
                .borrow_mut()
                .arrive(shared.now(), job, &mut shared.dedup.borrow_mut());
        let collapsed = self.host.borrow().collapsed();
        if let (false, Some(by_informed_senders)) = (was_collapsed, collapsed) {
            if by_informed_senders {
                let text = format!(
                    "{} collapsed while cold, under load from proxies that knew of its start",
                    self.host.borrow().spec().name
                );
                shared.invariants.borrow_mut().record(
                    Invariant::ColdPushed,
                    shared.now(),
                    None,
                    text,
                );
            }
            self.crash(shared);
        }
        let (outcome, report) = match arrival {
            Arrival::Nobody => return None,
            Arrival::Ended(outcome) => (outcome, self.host.borrow().load()),
            Arrival::Taken => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(token, sender);
                self.reschedule();
                // If the proxy closes the connection, the job is abandoned: it is dropped if it is only queued.
                let closed = async {
                    while !matches!(
                        http_message::read(stream, rest, false).await,
                        Ok(None) | Err(_)
                    ) {}
                };
                tokio::select! {
                    biased;
                    completion = receiver => {
                        let completion = completion.ok()?;
                        (completion.outcome, completion.load)
                    }
                    () = closed => {
                        self.waiters.borrow_mut().remove(&token);
                        self.host.borrow_mut().abandon(token, &mut shared.dedup.borrow_mut());
                        shared.invariants.borrow_mut().attempt_ended(op, number, attempt, false);
                        return None;
                    }
                }
            }
        };
        shared.invariants.borrow_mut().attempt_ended(
            op,
            number,
            attempt,
            outcome == JobOutcome::TurnedAway,
        );
        shared.trace(op, || {
            format!(
                "attempt {attempt} ends at {}: {outcome:?}",
                self.host.borrow().spec().name
            )
        });
        shared
            .transport
            .apply_network_model(
                (proxy, self.index),
                stream,
                (key.0, key.1, key.2 + 1 + attempt as u64),
            )
            .await;
        response(
            shared,
            outcome,
            report,
            op,
            u64::from(number) << 8 | attempt as u64,
        )
    }
}

/// The operation and the try that a request belongs to.
fn request_id(message: &Message) -> Option<(OpId, u32)> {
    let (op, number) = message.field("x-request-id")?.split_once('-')?;
    Some((OpId(op.parse().ok()?), number.parse().ok()?))
}

/// The body of the response to an operation.
fn response_body(op: OpId) -> String {
    format!("done {}", op.0)
}

/// An incomplete body, for responses whose length is not known before the connection ends.
fn truncated_body(op: OpId) -> String {
    let body = response_body(op);
    body[..body.len() - 1].to_owned()
}

/// The response of a host, and whether the connection is closed after it; `None`: the connection is reset. A corrupt response
/// takes one of several forms.
fn response(
    shared: &Shared,
    outcome: JobOutcome,
    report: HostLoad,
    op: OpId,
    key: u64,
) -> Option<(String, bool)> {
    let load = format!(
        "X-Server-Load: TEXT inflight={}, queue={}\r\n",
        report.in_flight, report.queued
    );
    let format_response = |status: &str, headers: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{headers}{load}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let draw = |stream: u64, max: u64| shared.random.integer((stream, op.0, key), (0, max));
    Some(match outcome {
        JobOutcome::Served => {
            let valid = format_response("200 OK", "", &response_body(op));
            // While a fault corrupts responses, valid ones may come with an informational response, twice, or with a close.
            match draw(0x5b01, 7) {
                0 if shared.corrupts_responses() => (
                    format!("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n{valid}"),
                    false,
                ),
                1 if shared.corrupts_responses() => (format!("{valid}{valid}"), false),
                2 if shared.corrupts_responses() => (
                    format_response("200 OK", "Connection: close\r\n", &response_body(op)),
                    true,
                ),
                _ => (valid, false),
            }
        }
        JobOutcome::Failed => (
            format_response("500 Internal Server Error", "", "it fails"),
            false,
        ),
        JobOutcome::TurnedAway => (
            format_response("503 Service Unavailable", "X-Not-Processed: 1\r\n", ""),
            false,
        ),
        JobOutcome::Reset => return None,
        JobOutcome::Spoilt => match draw(0x5b02, 6) {
            0 => (
                "\u{1}\u{2}noise that is no answer\r\n\r\n".to_owned(),
                false,
            ),
            1 => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{}",
                    response_body(op)
                ),
                true,
            ),
            2 => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                    truncated_body(op)
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
            5 => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                    truncated_body(op).len(),
                    response_body(op)
                ),
                false,
            ),
            _ => (
                format!("HTTP/1.1 200 OK\r\n\r\n{}", truncated_body(op)),
                true,
            ),
        },
    })
}

/// Serves requests for the endpoint list, until the end of the run.
pub(crate) async fn serve_list(shared: Rc<Shared>, listener: Listener) {
    loop {
        let mut stream = listener.accept().await;
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let mut rest = Vec::new();
            while let Ok(Some(message)) = http_message::read(&mut stream, &mut rest, false).await {
                let Party::Proxy(proxy) = stream.peer else {
                    return;
                };
                let Some(response) = list_response(&shared, proxy, &message).await else {
                    return;
                };
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The response to a request for the endpoint list; `None`: the connection is closed. Records what the proxy learns from it.
async fn list_response(shared: &Rc<Shared>, proxy: u32, message: &Message) -> Option<String> {
    let query = message.start.1.split_once('?').map_or("", |q| q.1);
    let number = |name: &str| -> Option<u64> {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let (known_version, wait) = (number("index"), number("wait").unwrap_or(0) * 1_000);
    let answered_at = shared
        .list_service
        .borrow_mut()
        .accept_request(shared.now());
    tokio::time::sleep_until(shared.clock().instant(answered_at)).await;
    let end = shared.now() + wait.min(MAX_WATCH_WAIT);
    let (snapshot, version, entries) = loop {
        let response = shared
            .list_service
            .borrow()
            .respond(shared.now(), known_version);
        match response {
            ListResponse::Full(version, list) => break (true, version, list),
            ListResponse::Changes(version, list) => break (false, version, list),
            ListResponse::Failed => {
                return Some(
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
                );
            }
            ListResponse::NoResponse => std::future::pending().await,
            ListResponse::Unchanged if shared.now() >= end => {
                break (false, known_version.unwrap_or(0), Vec::new())
            }
            ListResponse::Unchanged => {
                tokio::select! {
                    biased;
                    () = shared.list_changed.notified() => {}
                    () = tokio::time::sleep_until(shared.clock().instant(end)) => {}
                }
            }
        }
    };
    let mut endpoints: Vec<serde_json::Value> = Vec::new();
    if snapshot {
        let listed: Vec<usize> = entries.iter().map(|e| e.host).collect();
        for host in (0..shared.scenario.hosts.len()).filter(|h| !listed.contains(h)) {
            if shared
                .known_starts
                .borrow_mut()
                .remove(&(proxy, host))
                .is_some()
            {
                shared.invariants.borrow_mut().host_status_received(
                    shared.now(),
                    proxy,
                    host,
                    false,
                );
            }
        }
    }
    for ListEntry {
        host,
        state,
        started_at,
    } in entries
    {
        let ready = state == 0;
        shared
            .invariants
            .borrow_mut()
            .host_status_received(shared.now(), proxy, host, ready);
        if ready {
            shared
                .known_starts
                .borrow_mut()
                .insert((proxy, host), started_at);
        }
        let spec = &shared.scenario.hosts[host];
        let status = ["up", "draining", "removed"][usize::from(state.min(2))];
        endpoints.push(serde_json::json!({
            "name": spec.name, "address": shared.host_address(host).to_string(), "zone": spec.zone, "type": spec.kind,
            "group": spec.group, "status": status, "weight": 1.0,
            "since_ms": if started_at == 0 { 0 } else { (shared.unix_start + started_at) / 1_000 },
        }));
    }
    let body =
        serde_json::json!({ "index": version, "snapshot": snapshot, "endpoints": endpoints })
            .to_string();
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// The address of a host on the in-memory network.
pub(crate) fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (host >> 8) as u8, host as u8], 9_000))
}

/// The address of a proxy on the in-memory network.
pub(crate) fn proxy_address(proxy: u32) -> SocketAddr {
    SocketAddr::from(([127, 2, (proxy >> 8) as u8, proxy as u8], 8_080))
}

/// The address of the list service on the in-memory network.
pub(crate) fn list_address() -> SocketAddr {
    SocketAddr::from(([127, 3, 0, 1], 8_500))
}

/// Runs all clients. Each operation is a task of its own, so that none waits for another.
pub(crate) async fn run_clients(shared: Rc<Shared>) {
    loop {
        let next = shared.clients.borrow_mut().next_operation();
        let Some(request) = next else { return };
        tokio::time::sleep_until(shared.clock().instant(request.due)).await;
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move { run_operation(shared, request).await });
    }
}

/// Runs an operation: its first try and its retries.
async fn run_operation(shared: Rc<Shared>, first: ClientRequest) {
    let mut request = first;
    loop {
        tokio::time::sleep_until(shared.clock().instant(request.due)).await;
        shared.result.borrow_mut().record_try(&request);
        shared.result.borrow_mut().record_event(
            shared.now(),
            1,
            request.op.0,
            u64::from(request.try_number),
        );
        shared.trace(request.op, || {
            format!(
                "try {} at proxy {}, timeout {} us",
                request.try_number, request.proxy, request.timeout
            )
        });
        let result = send_try(&shared, &request).await;
        let TryResult {
            answer,
            retry_after,
            disconnected,
        } = result;
        let now = shared.now();
        shared.result.borrow_mut().record_event(
            now,
            2,
            request.op.0,
            answer.map_or(9, |a| a as u64),
        );
        shared.trace(request.op, || {
            format!(
                "try {}: {answer:?}{}",
                request.try_number,
                if disconnected {
                    ", the client disconnected"
                } else {
                    ""
                }
            )
        });
        if disconnected {
            shared.result.borrow_mut().record_operation_end(
                &request,
                now,
                Some(FinalAnswer::Failed),
            );
            return;
        }
        let next = shared
            .clients
            .borrow()
            .after_answer(&request, answer, now, retry_after);
        match next {
            RetryDecision::Retry(next) => request = next,
            RetryDecision::Stop => {
                shared
                    .result
                    .borrow_mut()
                    .record_operation_end(&request, now, answer);
                return;
            }
        }
    }
}

/// How a try ended for its client.
struct TryResult {
    answer: Option<FinalAnswer>,
    retry_after: Option<Micros>,
    /// Whether the client disconnected before it had an answer.
    disconnected: bool,
}

/// Sends one try and waits for its answer.
async fn send_try(shared: &Rc<Shared>, request: &ClientRequest) -> TryResult {
    let without_response = |answer| TryResult {
        answer,
        retry_after: None,
        disconnected: false,
    };
    let idle = shared
        .idle_connections
        .borrow_mut()
        .entry(request.proxy)
        .or_default()
        .pop();
    // An idle connection that the proxy has closed meanwhile is not used.
    let idle = idle.filter(|connection: &Connection| connection.nothing_to_read());
    let (stream, reused) = match idle {
        Some(connection) => (connection, true),
        None => match shared.transport.connect_to_proxy(request.proxy).await {
            Ok(connection) => (connection, false),
            // A refused connection proves that the request was not executed.
            Err(_) => return without_response(Some(FinalAnswer::Refused)),
        },
    };
    shared
        .requests
        .borrow_mut()
        .insert((request.op, request.try_number), *request);
    let deadline = shared.now() + request.timeout;
    shared.invariants.borrow_mut().call_accepted(
        shared.now(),
        request.op,
        request.try_number,
        (request.class, request.proxy),
        deadline,
    );
    let epoch = shared.epoch(request.proxy);
    let key = (0x1ea5e, request.op.0, u64::from(request.try_number));
    let disconnects = shared
        .random
        .occurs(key, shared.scenario.clients.disconnect_share);
    let after = shared
        .random
        .integer((0x1ea5f, key.1, key.2), (1, request.timeout.max(2) - 1));
    let end = if disconnects {
        shared.now() + after
    } else {
        deadline + shared.slack
    };
    let exchange = exchange(shared, request, stream);
    let response = tokio::time::timeout_at(shared.clock().instant(end), exchange).await;
    let now = shared.now();
    match response {
        Err(_) if disconnects => {
            shared
                .invariants
                .borrow_mut()
                .client_left(now, request.op, request.try_number);
            TryResult {
                answer: None,
                retry_after: None,
                disconnected: true,
            }
        }
        // The invariant checker detects the missing answer itself.
        Err(_) => without_response(None),
        Ok(None) => {
            // The connection was closed without an answer. That is a violation unless the proxy crashed, or closed an idle
            // connection while this request was in transit (RFC 9112, 9.3.1); then no attempt was sent.
            let closed_idle = reused
                && !shared
                    .invariants
                    .borrow()
                    .any_attempt_sent(request.op, request.try_number);
            if shared.epoch(request.proxy) != epoch || closed_idle {
                shared
                    .invariants
                    .borrow_mut()
                    .client_left(now, request.op, request.try_number);
            }
            without_response(None)
        }
        Ok(Some((message, reusable))) => {
            if let Some(connection) = reusable {
                shared
                    .idle_connections
                    .borrow_mut()
                    .entry(request.proxy)
                    .or_default()
                    .push(connection);
            }
            let answer = match message.status() {
                200 => FinalAnswer::Served,
                503 | 429 => FinalAnswer::Refused,
                504 => FinalAnswer::Overdue,
                _ => FinalAnswer::Failed,
            };
            let mut invariants = shared.invariants.borrow_mut();
            invariants.call_answered(now, request.op, request.try_number, answer);
            if answer == FinalAnswer::Served
                && message.body != response_body(request.op).into_bytes()
            {
                let text = format!(
                    "served with the body {:?}",
                    String::from_utf8_lossy(&message.body)
                );
                invariants.record(Invariant::MixedUp, now, Some(request.op), text);
            }
            if (400..500).contains(&message.status()) && message.status() != 429 {
                let text = format!(
                    "a valid request was answered with status {}",
                    message.status()
                );
                invariants.record(Invariant::Crashed, now, Some(request.op), text);
            }
            let retry_after = message
                .field("retry-after")
                .and_then(|v| v.parse::<f64>().ok())
                .map(|s| (s * 1e6) as Micros);
            TryResult {
                answer: Some(answer),
                retry_after: retry_after.filter(|_| answer == FinalAnswer::Refused),
                disconnected: false,
            }
        }
    }
}

/// Writes a request and reads its response. Returns the connection as well if it can be reused; `None`: the connection ended
/// without a response.
async fn exchange(
    shared: &Rc<Shared>,
    request: &ClientRequest,
    mut stream: Connection,
) -> Option<(Message, Option<Connection>)> {
    let class = &shared.scenario.classes[request.class];
    let key = match class.effect {
        badgerramp_sim_model::Effect::Keyed { .. } => {
            format!("Idempotency-Key: {:x}\r\n", request.op.0)
        }
        _ => String::new(),
    };
    let head = format!(
        "POST /{} HTTP/1.1\r\nHost: x\r\n{key}X-Request-ID: {}-{}\r\nX-Timeout: {}u\r\nContent-Length: 4\r\n\r\n",
        class.name, request.op.0, request.try_number, request.timeout
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    // One in seven requests sends its body later than its head.
    if request.op.0.is_multiple_of(7) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"body").await.ok()?;
    let mut rest = Vec::new();
    let message = http_message::read(&mut stream, &mut rest, true)
        .await
        .ok()??;
    if !rest.is_empty() {
        let text = format!("{} unexpected bytes after a response", rest.len());
        shared.invariants.borrow_mut().record(
            Invariant::AnsweredTwice,
            shared.now(),
            Some(request.op),
            text,
        );
    }
    let closes = message
        .field("connection")
        .is_some_and(|v| v.eq_ignore_ascii_case("close"));
    Some((message, Some(stream).filter(|_| !closes)))
}

/// Starts and ends the faults of the scenario, and starts the hosts that join late.
pub(crate) async fn run_faults(shared: Rc<Shared>) {
    // Time, whether the fault begins, and its index. Late hosts are encoded as `usize::MAX - host`.
    let mut changes: Vec<(Micros, bool, usize)> = Vec::new();
    for (n, fault) in shared.scenario.faults.iter().enumerate() {
        changes.push((fault.from, true, n));
        changes.push((fault.until, false, n));
    }
    let joins = shared
        .scenario
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, h)| h.joins_at > 0);
    changes.extend(joins.map(|(host, h)| (h.joins_at, true, usize::MAX - host)));
    changes.sort_by_key(|c| c.0);
    for (at, begins, n) in changes {
        tokio::time::sleep_until(shared.clock().instant(at)).await;
        if n > usize::MAX / 2 {
            shared.start_host(usize::MAX - n);
            continue;
        }
        shared.result.borrow_mut().record_event(
            shared.now(),
            if begins { 10 } else { 11 },
            n as u64,
            0,
        );
        let fault = shared.scenario.faults[n];
        if let Some(host) = fault.kind.host() {
            shared.hosts[host].advance(&shared);
        }
        match (fault.kind, begins) {
            (FaultKind::Crash { host }, true) => shared.stop_host(host, true),
            (FaultKind::Crash { host }, false) => shared.start_host(host),
            (FaultKind::Drain { host }, true) => {
                shared.hosts[host].host.borrow_mut().drain();
                let started_at = shared.hosts[host].host.borrow().started_at();
                shared.publish_list_change(ListEntry {
                    host,
                    state: 1,
                    started_at,
                });
            }
            (FaultKind::Drain { host }, false) => shared.stop_host(host, true),
            (FaultKind::ProxyCrash { proxy }, true) => shared.crash_proxy(proxy),
            (FaultKind::ProxyCrash { proxy }, false) => shared.start_proxy(proxy).await,
            (kind, begins) => {
                if let Some(host) = kind.host() {
                    let mut model = shared.hosts[host].host.borrow_mut();
                    if begins {
                        model.begin_fault(shared.now(), &fault);
                    } else {
                        model.end_fault(&fault);
                    }
                    drop(model);
                    shared.hosts[host].reschedule();
                }
            }
        }
    }
}
