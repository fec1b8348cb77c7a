//! The list of hosts: a watch that follows on the last answer at once. When it fails, the module says when
//! to ask again; calls never wait for it.

use super::driver::{Driver, List};
use super::socket::{Network, Socket};
use badgerramp_decisions::{ListKind, Micros};
use badgerramp_subset::Poll;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, RETRY_AFTER};
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How long a watch waits for news. A service that has fallen silent shows only after that, so it is short;
/// but each call costs the service work.
const WAIT: Duration = Duration::from_secs(10);
/// Silence beyond the wait that is a failure.
pub(super) const SILENCE: Duration = Duration::from_secs(2);
/// ... and for a list that is asked for at once: the service gives its callers up after three.
pub(super) const FETCH: Duration = Duration::from_millis(3_500);
/// A connection that is not up by then has failed: a service that has vanished refuses nobody.
const CONNECT: Duration = Duration::from_secs(1);
/// Most bytes of a list: some thousand hosts.
const LIST_MOST: usize = 4 << 20;
/// A pause after an answer that came at once and told nothing new: it stays within the 200 ms in which the
/// next call continues the watch, and keeps a confused service from being asked without end.
const CALM: Duration = Duration::from_millis(50);
/// Between questions to an agent that fails: asking costs it nothing, and what it has counts as told.
const AGENT_PAUSE: Duration = Duration::from_millis(100);

/// Longest that the service may send its callers away for, in seconds.
const RETRY_MOST: f64 = 60.0;

/// When the service is asked, where an operator has many proxies ask it.
pub struct Pace {
    pub poll: Poll,
    /// Without a call for this long the proxy is idle.
    pub idle_after: Micros,
}

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

/// Who says when a watch begins, and begins again after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// The decisions: one service bears the questions of all proxies.
    Told,
    /// Nobody: lists are pushed to an agent on this machine, and what it has counts as told.
    AtOnce,
}

/// Keeps the list up to date, for as long as the program runs. When `address` changes, the whole list is
/// fetched at the new one at once: the old service's index means nothing there.
pub async fn run(
    driver: Driver,
    network: Rc<dyn Network>,
    mut address: watch::Receiver<SocketAddr>,
    mut index: Option<u64>,
    (begin, mut pace): (Begin, Option<Pace>),
) {
    let (mut moved, mut pause) = (false, Duration::ZERO);
    // Where many ask one service, each takes its turn: the module's own pauses are made for a few.
    let mut turn = pace.as_mut().map_or(0, |p| p.poll.first());
    loop {
        if !moved {
            tokio::select! {
                biased;
                () = driver.subscribed(), if begin == Begin::Told => {}
                () = tokio::time::sleep(pause), if begin == Begin::AtOnce => {}
                () = changed(&mut address) => index = None,
            }
        }
        let at = *address.borrow_and_update();
        moved = tokio::select! {
            biased;
            () = changed(&mut address) => true,
            () = follow(&driver, &*network, at, &mut index, (turn, &mut pace)) => false,
        };
        turn = pace.as_mut().map_or(0, |p| if moved { p.poll.first() } else { p.poll.failed() });
        pause = AGENT_PAUSE;
        if moved {
            index = None;
        } else {
            driver.members_failed();
        }
    }
}

/// Resolves when there is another address; never once none can come any more.
pub(super) async fn changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Watches at one address until that fails.
async fn follow(
    driver: &Driver,
    network: &dyn Network,
    address: SocketAddr,
    index: &mut Option<u64>,
    (turn, pace): (Micros, &mut Option<Pace>),
) {
    if turn > 0 {
        tokio::time::sleep(Duration::from_micros(turn)).await;
    }
    let mut link = None;
    loop {
        let asked = Instant::now();
        let wait = pace
            .as_mut()
            .map_or(WAIT, |p| Duration::from_micros(p.poll.wait(driver.quiet_for() >= p.idle_after)));
        let patience = if index.is_some() { wait + SILENCE } else { FETCH };
        match tokio::time::timeout(patience, ask(&mut link, network, address, (*index, wait))).await {
            Ok(Ok(list)) => {
                let kind = if list.snapshot { ListKind::Full } else { ListKind::Delta };
                driver.members(kind, &list.endpoints);
                if index.is_none() {
                    tracing::info!("discovery: list {} with {} hosts", list.index, list.endpoints.len());
                }
                if *index == Some(list.index) && asked.elapsed() < CALM {
                    tokio::time::sleep(CALM).await;
                }
                let news = index.replace(list.index) != Some(list.index);
                if let Some(pace) = pace {
                    pace.poll.answered();
                    if news {
                        tokio::time::sleep(Duration::from_micros(pace.poll.told())).await;
                    }
                }
            }
            Ok(Err(fault)) => {
                tracing::warn!("discovery: {}", fault.why);
                return;
            }
            Err(_) => {
                tracing::warn!("discovery: no answer");
                return;
            }
        }
    }
}

/// Why there is no answer.
pub(super) struct Unanswered {
    /// In words.
    pub why: String,
    /// When the service wants to be asked again.
    pub retry_after: Option<Duration>,
}

impl From<String> for Unanswered {
    fn from(why: String) -> Self {
        Unanswered { why, retry_after: None }
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
    let request = hyper::Request::get(path).header(HOST, address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = open.sender.send_request(request).await.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        let said = answer.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let retry_after = said.and_then(|s| Duration::try_from_secs_f64(s.min(RETRY_MOST)).ok());
        return Err(Unanswered { why: format!("answered {}", answer.status()), retry_after });
    }
    let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("odd list: {e}").into())
}

async fn connect(network: &dyn Network, address: SocketAddr) -> Result<Link, String> {
    let stream = tokio::time::timeout(CONNECT, network.connect(address)).await;
    let stream = stream.map_err(|_| "no connection in time".to_owned())?;
    let stream = stream.map_err(|e| format!("no connection: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(&stream)))
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let task = tokio::task::spawn_local(async move {
        // A broken connection shows in the call that uses it.
        let _ = connection.await;
    });
    sender.ready().await.map_err(|e| format!("no connection: {e}"))?;
    Ok(Link { sender, task })
}
