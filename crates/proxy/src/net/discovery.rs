//! The watch on the endpoint list: polls the list service and applies the lists that it sends.
//!
//! This task does the I/O; [`badgerramp_endpoint_watch`] decides when to poll, also after a failure, and which response
//! to accept. Calls never wait for the list.

use super::driver::{Driver, List};
use super::socket::{Network, Socket};
use super::MemoryBudget;
use badgerramp_decisions::{ListUpdateKind, Micros};
use badgerramp_endpoint_watch::{
    Input, Output, PollId, ProtocolViolation, Source, Timeouts, Watch, CONNECT_TIMEOUT,
    NOTIFIED_AFTER_SILENCE, SERVICE_RESPONSE_TIMEOUT,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, RETRY_AFTER};
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};

/// The maximum length of a list in bytes, enough for over twenty thousand endpoints. Memory is allocated as the data
/// arrives.
const MAX_LIST_LEN: usize = 4 << 20;
/// The part of the memory budget that the text of a list may take, as a divisor.
const LIST_BUDGET_DIVISOR: usize = 8;
/// The memory of a list while it is read and applied, in multiples of its length: its text in a buffer that grows, and
/// its entries.
const LIST_COST_FACTOR: usize = 4;

/// The maximum `Retry-After` of the list service that is respected, in seconds. A rejected poll does not postpone the
/// time at which the proxy counts as notified, so that a connection and a response must still fit in before then.
const MAX_RETRY_AFTER_SECONDS: f64 =
    ((NOTIFIED_AFTER_SILENCE - CONNECT_TIMEOUT - SERVICE_RESPONSE_TIMEOUT) / 1_000_000) as f64;

/// A connection to the list service.
pub(super) struct ServiceConnection {
    sender: SendRequest<Empty<Bytes>>,
    /// Drives the connection.
    task: JoinHandle<()>,
}

impl Drop for ServiceConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The result of a poll, and its connection if that can be reused.
struct PollResult {
    poll: PollId,
    list: Result<List, PollError>,
    connection: Option<ServiceConnection>,
}

/// The task of a poll that is in flight. Dropping it cancels the poll and closes its connection.
struct PollTask(AbortHandle);

impl Drop for PollTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Keeps the endpoint list up to date. Never returns.
///
/// When `address` changes, the complete list is fetched from the new address at once, as the index of the old service
/// means nothing there. The proxy counts as idle after `idle_after` microseconds without a new call.
pub async fn run(
    driver: Driver,
    network: Rc<dyn Network>,
    mut address: watch::Receiver<SocketAddr>,
    (timeouts, watch): (Timeouts, Watch),
    idle_after: Micros,
) {
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let current_address = *address.borrow_and_update();
    let in_flight = BTreeMap::new();
    let mut task = WatchTask {
        driver,
        network,
        address: current_address,
        watch,
        idle_connection: None,
        in_flight,
        result_sender,
        idle_after,
    };
    if timeouts.source == Source::Agent {
        // The balancer subscribes only if the list comes from the list service, as only its polls have a cost.
        task.handle(Input::Start, None);
    }
    loop {
        let deadline = task
            .watch
            .next_deadline()
            .map(|at| task.driver.clock().instant(at));
        let timer = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // Results are handled before the timer: after a stall of the process both may be ready.
            biased;
            () = address_changed(&mut address) => {
                task.address = *address.borrow_and_update();
                task.idle_connection = None;
                task.handle(Input::SourceChanged, None);
            }
            Some(result) = results.recv() => task.finish_poll(result),
            () = task.driver.subscribed() => task.handle(Input::Start, None),
            () = timer => task.handle(Input::Timer, None),
        }
    }
}

/// The task that carries out what a [`Watch`] requests.
struct WatchTask {
    driver: Driver,
    network: Rc<dyn Network>,
    address: SocketAddr,
    watch: Watch,
    /// A connection to the list service that is not in use.
    idle_connection: Option<ServiceConnection>,
    in_flight: BTreeMap<PollId, PollTask>,
    result_sender: mpsc::UnboundedSender<PollResult>,
    idle_after: Micros,
}

impl WatchTask {
    fn finish_poll(
        &mut self,
        PollResult {
            poll,
            list,
            connection,
        }: PollResult,
    ) {
        // The result of a poll that was cancelled meanwhile is ignored.
        if self.in_flight.remove(&poll).is_none() {
            return;
        }
        match list {
            Ok(list) => {
                self.idle_connection = connection;
                let input = Input::Response {
                    poll,
                    index: list.index,
                    complete: list.snapshot,
                };
                self.handle(input, Some(list));
            }
            Err(error) => {
                tracing::warn!("discovery: {}", error.message);
                let input = if error.rejected {
                    Input::Rejected { poll }
                } else {
                    Input::Failed { poll }
                };
                self.handle(input, None);
            }
        }
    }

    /// Passes an input to the watch and carries out what it requests. `list` is the list of an [`Input::Response`].
    fn handle(&mut self, input: Input, list: Option<List>) {
        let previous_index = self.watch.index();
        let idle = self.driver.time_since_last_call() >= self.idle_after;
        let mut outputs = Vec::new();
        self.watch
            .handle(self.driver.clock().now(), input, idle, &mut outputs);
        for output in outputs {
            match output {
                Output::Send {
                    poll,
                    index,
                    wait,
                    fresh_connection,
                } => self.send_poll(poll, (index, wait), fresh_connection),
                Output::Cancel(poll) => {
                    self.in_flight.remove(&poll);
                }
                Output::Accept => {
                    let Some(list) = &list else { continue };
                    if previous_index.is_none() {
                        tracing::info!(
                            "discovery: list {} received with {} endpoints",
                            list.index,
                            list.endpoints.len()
                        );
                    }
                    let kind = if list.snapshot {
                        ListUpdateKind::Full
                    } else {
                        ListUpdateKind::Delta
                    };
                    self.driver.apply_endpoint_list(kind, &list.endpoints);
                }
                Output::Violation(violation) => self.log_violation(violation),
                Output::Overdue(PollId(number)) => {
                    self.idle_connection = None;
                    tracing::warn!("discovery: no response to poll {number} within its timeout");
                }
                Output::Failed => {
                    self.idle_connection = None;
                    self.driver.endpoint_list_failed();
                }
            }
        }
    }

    fn log_violation(&self, violation: ProtocolViolation) {
        match violation {
            ProtocolViolation::ChangesInsteadOfList => {
                tracing::warn!("discovery: the list service sent changes in response to a poll for the complete list");
            }
            ProtocolViolation::IndexWentBack {
                requested,
                received,
            } => {
                tracing::warn!(
                    "discovery: the list service sent changes up to {received}, asked for those after {requested}"
                );
            }
            ProtocolViolation::NewIncarnation {
                requested,
                received,
            } => {
                tracing::warn!(
                    "discovery: the index of the list went back from {requested} to {received}: the list service has restarted or been replaced"
                );
            }
        }
    }

    fn send_poll(
        &mut self,
        poll: PollId,
        (index, wait): (Option<u64>, Micros),
        fresh_connection: bool,
    ) {
        let mut connection = self.idle_connection.take().filter(|_| !fresh_connection);
        let (network, address, result_sender) = (
            Rc::clone(&self.network),
            self.address,
            self.result_sender.clone(),
        );
        let memory_budget = Rc::clone(self.driver.memory_budget());
        tracing::debug!(
            number = poll.0,
            index,
            wait,
            fresh = fresh_connection,
            "discovery: poll sent"
        );
        let task = tokio::task::spawn_local(async move {
            let list = fetch_list(
                &mut connection,
                &*network,
                address,
                (index, Duration::from_micros(wait)),
                &memory_budget,
            )
            .await;
            // The receiver has been dropped if the program is shutting down.
            let _ = result_sender.send(PollResult {
                poll,
                list,
                connection,
            });
        });
        self.in_flight.insert(poll, PollTask(task.abort_handle()));
    }
}

/// Resolves when the address has changed; never if the sender has been dropped.
pub(super) async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Why a poll failed.
pub(super) struct PollError {
    /// A description for the log.
    pub message: String,
    /// Whether the service rejected the poll because of overload.
    pub rejected: bool,
    /// The `Retry-After` of the service.
    pub retry_after: Option<Duration>,
}

impl From<String> for PollError {
    fn from(message: String) -> Self {
        PollError {
            message,
            rejected: false,
            retry_after: None,
        }
    }
}

/// Polls the list service for changes after `index`, or without an index for the complete list. The service may hold
/// the poll for `wait` until there is a change. `connection` is used if it is open, and replaced otherwise.
///
/// # Errors
/// If there is no connection, the service does not respond with a list, or the list is malformed or too long.
pub(super) async fn fetch_list(
    connection: &mut Option<ServiceConnection>,
    network: &dyn Network,
    address: SocketAddr,
    (index, wait): (Option<u64>, Duration),
    memory_budget: &Rc<MemoryBudget>,
) -> Result<List, PollError> {
    let ready = match connection
        .take()
        .filter(|connection| connection.sender.is_ready())
    {
        Some(ready) => ready,
        None => connect(network, address).await?,
    };
    let connection = connection.insert(ready);
    let path = match index {
        Some(index) => format!("/catalog/members?index={index}&wait={}", wait.as_millis()),
        None => "/catalog/members".to_owned(),
    };
    let request = hyper::Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let response = connection
        .sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        let seconds = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let retry_after = seconds.and_then(|seconds| {
            Duration::try_from_secs_f64(seconds.min(MAX_RETRY_AFTER_SECONDS)).ok()
        });
        let rejected = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        return Err(PollError {
            message: format!("the list service responded with {}", response.status()),
            rejected,
            retry_after,
        });
    }
    read_list(response.into_body(), memory_budget).await
}

/// Reads a list. Its memory is charged as it arrives: the list is needed whatever clients do.
async fn read_list(
    mut body: Incoming,
    memory_budget: &Rc<MemoryBudget>,
) -> Result<List, PollError> {
    let max_len = MAX_LIST_LEN.min(memory_budget.limit() / LIST_BUDGET_DIVISOR);
    let mut memory = memory_budget.charge(0);
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else {
            continue;
        };
        if text.len() + data.len() > max_len {
            return Err(format!("the list is longer than {max_len} bytes").into());
        }
        memory.add(data.len() * LIST_COST_FACTOR);
        text.extend_from_slice(&data);
    }
    let list: Result<List, _> = serde_json::from_slice(&text);
    let mut list = list.map_err(|e| format!("odd list: {e}"))?;
    list.memory = Some(memory);
    Ok(list)
}

async fn connect(network: &dyn Network, address: SocketAddr) -> Result<ServiceConnection, String> {
    let stream = tokio::time::timeout(
        Duration::from_micros(CONNECT_TIMEOUT),
        network.connect(address),
    )
    .await;
    let stream = stream.map_err(|_| "connecting to the list service timed out".to_owned())?;
    let stream = stream.map_err(|e| format!("connecting to the list service failed: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(&stream)))
        .await
        .map_err(|e| format!("connecting to the list service failed: {e}"))?;
    let task = tokio::task::spawn_local(async move {
        // If the connection breaks, the poll that uses it fails.
        let _ = connection.await;
    });
    sender
        .ready()
        .await
        .map_err(|e| format!("connecting to the list service failed: {e}"))?;
    Ok(ServiceConnection { sender, task })
}
