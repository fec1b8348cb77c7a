//! The list of hosts: carries out what [`badgerramp_endpoint_watch`] says, which also says when to ask again after a failure; calls
//! never wait for it.

use super::driver::{Driver, List};
use super::socket::{Network, Socket};
use badgerramp_decisions::{ListUpdateKind, Micros};
use badgerramp_endpoint_watch::{
    Input, Output, PollId, ProtocolViolation, Source, Timeouts, Watch, CONNECT_TIMEOUT,
    NOTIFIED_AFTER_SILENCE, SERVICE_RESPONSE_TIMEOUT,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
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

/// Most bytes of a list: over twenty thousand hosts. Memory is taken as they come.
const LIST_MOST: usize = 4 << 20;

/// Longest that the service may send its callers away for, in seconds: what it says to a refused one postpones nothing of
/// what counts as told, so that a connection and an answer must still fit.
const RETRY_MOST: f64 =
    ((NOTIFIED_AFTER_SILENCE - CONNECT_TIMEOUT - SERVICE_RESPONSE_TIMEOUT) / 1_000_000) as f64;

/// A connection to the service.
pub(super) struct Link {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What became of a question, and the connection that it left.
struct Answer {
    poll: PollId,
    list: Result<List, Unanswered>,
    link: Option<Link>,
}

/// A question that is out. Its connection goes with it.
struct Out(AbortHandle);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Keeps the list up to date, for as long as the program runs. When `address` changes, the whole list is
/// fetched at the new one at once: the old service's index means nothing there. After `idle_after` without a call the
/// proxy is idle.
pub async fn run(
    driver: Driver,
    network: Rc<dyn Network>,
    mut address: watch::Receiver<SocketAddr>,
    (timeouts, watch): (Timeouts, Watch),
    idle_after: Micros,
) {
    let (answers, mut answered) = mpsc::unbounded_channel();
    let at = *address.borrow_and_update();
    let open = BTreeMap::new();
    let mut asking = Asking {
        driver,
        network,
        address: at,
        watch,
        link: None,
        open,
        answers,
        idle_after,
    };
    if timeouts.source == Source::Agent {
        // Nobody else says so: the decisions ask where it costs the service something.
        asking.tell(Input::Start, None);
    }
    loop {
        let due = asking
            .watch
            .next_deadline()
            .map(|due| asking.driver.clock().instant(due));
        let late = async {
            match due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // What has come in goes before what is late: a proxy that stood still may find both.
            biased;
            () = changed(&mut address) => {
                asking.address = *address.borrow_and_update();
                asking.link = None;
                asking.tell(Input::SourceChanged, None);
            }
            Some(answer) = answered.recv() => asking.answered(answer),
            () = asking.driver.subscribed() => asking.tell(Input::Start, None),
            () = late => asking.tell(Input::Timer, None),
        }
    }
}

/// The questions that are out, and what they are asked over.
struct Asking {
    driver: Driver,
    network: Rc<dyn Network>,
    address: SocketAddr,
    watch: Watch,
    /// Left open by the last answer.
    link: Option<Link>,
    open: BTreeMap<PollId, Out>,
    answers: mpsc::UnboundedSender<Answer>,
    idle_after: Micros,
}

impl Asking {
    fn answered(&mut self, Answer { poll, list, link }: Answer) {
        // One that was dropped meanwhile means nothing any more.
        if self.open.remove(&poll).is_none() {
            return;
        }
        match list {
            Ok(list) => {
                self.link = link;
                let input = Input::Response {
                    poll,
                    index: list.index,
                    complete: list.snapshot,
                };
                self.tell(input, Some(list));
            }
            Err(fault) => {
                tracing::warn!("discovery: {}", fault.why);
                let input = if fault.refused {
                    Input::Rejected { poll }
                } else {
                    Input::Failed { poll }
                };
                self.tell(input, None);
            }
        }
    }

    fn tell(&mut self, input: Input, list: Option<List>) {
        let before = self.watch.index();
        let idle = self.driver.time_since_last_call() >= self.idle_after;
        let mut out = Vec::new();
        self.watch
            .handle(self.driver.clock().now(), input, idle, &mut out);
        for output in out {
            match output {
                Output::Send {
                    poll,
                    index,
                    wait,
                    fresh_connection,
                } => self.ask(poll, (index, wait), fresh_connection),
                Output::Cancel(poll) => {
                    self.open.remove(&poll);
                }
                Output::Accept => {
                    let Some(list) = &list else { continue };
                    if before.is_none() {
                        tracing::info!(
                            "discovery: list {} with {} hosts",
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
                    self.link = None;
                    tracing::warn!("discovery: no answer to question {number} in its time");
                }
                Output::Failed => {
                    self.link = None;
                    self.driver.endpoint_list_failed();
                }
            }
        }
    }

    fn log_violation(&self, violation: ProtocolViolation) {
        match violation {
            ProtocolViolation::ChangesInsteadOfList => {
                tracing::warn!("discovery: odd list: changes, where the whole was asked for");
            }
            ProtocolViolation::IndexWentBack {
                requested,
                received,
            } => {
                tracing::warn!(
                    "discovery: odd list: changes up to {received}, asked for those after {requested}"
                );
            }
            ProtocolViolation::NewIncarnation {
                requested,
                received,
            } => {
                tracing::warn!(
                    "discovery: the index went back from {requested} to {received}: another service's list"
                );
            }
        }
    }

    fn ask(&mut self, poll: PollId, (index, wait): (Option<u64>, Micros), fresh_connection: bool) {
        let mut link = self.link.take().filter(|_| !fresh_connection);
        let (network, address, answers) =
            (Rc::clone(&self.network), self.address, self.answers.clone());
        tracing::debug!(
            number = poll.0,
            index,
            wait,
            fresh = fresh_connection,
            "discovery: asked"
        );
        let task = tokio::task::spawn_local(async move {
            let list = ask(
                &mut link,
                &*network,
                address,
                (index, Duration::from_micros(wait)),
            )
            .await;
            // Nobody listens at the end of the program.
            let _ = answers.send(Answer { poll, list, link });
        });
        self.open.insert(poll, Out(task.abort_handle()));
    }
}

/// Resolves when there is another address; never once none can come any more.
pub(super) async fn changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Why there is no answer.
pub(super) struct Unanswered {
    /// In words.
    pub why: String,
    /// The service is there and turned the question away.
    pub refused: bool,
    /// When the service wants to be asked again.
    pub retry_after: Option<Duration>,
}

impl From<String> for Unanswered {
    fn from(why: String) -> Self {
        Unanswered {
            why,
            refused: false,
            retry_after: None,
        }
    }
}

/// Asks for what is newer than `index`, or for the whole list.
pub(super) async fn ask(
    link: &mut Option<Link>,
    network: &dyn Network,
    address: SocketAddr,
    (index, wait): (Option<u64>, Duration),
) -> Result<List, Unanswered> {
    let open = match link.take().filter(|l| l.sender.is_ready()) {
        Some(open) => open,
        None => connect(network, address).await?,
    };
    let open = link.insert(open);
    let path = match index {
        Some(index) => format!("/catalog/members?index={index}&wait={}", wait.as_millis()),
        None => "/catalog/members".to_owned(),
    };
    let request = hyper::Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = open
        .sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        let said = answer
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let retry_after = said.and_then(|s| Duration::try_from_secs_f64(s.min(RETRY_MOST)).ok());
        let refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        return Err(Unanswered {
            why: format!("answered {}", answer.status()),
            refused,
            retry_after,
        });
    }
    let body = Limited::new(answer.into_body(), LIST_MOST)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("odd list: {e}").into())
}

async fn connect(network: &dyn Network, address: SocketAddr) -> Result<Link, String> {
    let stream = tokio::time::timeout(
        Duration::from_micros(CONNECT_TIMEOUT),
        network.connect(address),
    )
    .await;
    let stream = stream.map_err(|_| "no connection in time".to_owned())?;
    let stream = stream.map_err(|e| format!("no connection: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(&stream)))
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let task = tokio::task::spawn_local(async move {
        // A broken connection shows in the call that uses it.
        let _ = connection.await;
    });
    sender
        .ready()
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    Ok(Link { sender, task })
}
