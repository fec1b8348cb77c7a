//! Client of the control plane. It calls the replica that was last known to lead, and switches to another replica if that
//! fails.

mod error;

pub use error::{ClientError, Unavailable, UnexpectedReply};

use crate::authentication::{Purpose, MAX_MESSAGE_BYTES};
use crate::secret::SharedSecret;
use crate::wire::control_client::ControlClient;
use crate::wire::{rejection, reply, request, AuthenticatedMessage, Reply, Request, StatusRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Response, Status, Streaming};

/// Interval between HTTP/2 pings on a connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a connection with an unanswered ping is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before [`Client::call_with_retry`] retries a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Stream of the control plane's revisions.
pub struct RevisionWatch {
    stream: Streaming<AuthenticatedMessage>,
    secret: SharedSecret,
}

impl RevisionWatch {
    /// Waits for the next revision.
    ///
    /// # Errors
    /// Returns an error if the stream has ended or has failed, or if its message is not authentic or not a revision.
    pub async fn next(&mut self) -> Result<u64, ClientError> {
        let message = self.stream.message().await;
        let message = message.map_err(|status| Unavailable::Stream(status.message().to_owned()))?;
        let message = message.ok_or(Unavailable::StreamEnded)?;
        match self.secret.verify::<Reply>(Purpose::Reply, message)?.kind {
            Some(reply::Kind::RevisionChanged(changed)) => Ok(changed.revision),
            _ => Err(UnexpectedReply::Not("revision").into()),
        }
    }
}

/// Kind of sender that a client calls for. It determines the method to call and the purpose of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// A proxy or a publisher.
    Fleet,
    /// The leader of another region.
    Region,
}

/// Client of the control plane's replicas, with a connection to each replica that it has called.
///
/// Each call has its own nonce, and only a reply with the same nonce is accepted.
pub struct Client {
    replicas: Vec<SocketAddr>,
    secret: SharedSecret,
    call_timeout: Duration,
    sender: Sender,
    /// Index of the replica to call, modulo the number of replicas.
    current: usize,
    connections: HashMap<SocketAddr, ControlClient<Channel>>,
}

impl Client {
    /// Creates a client for proxies and publishers. Each single call fails after `call_timeout`.
    pub fn new(replicas: Vec<SocketAddr>, secret: SharedSecret, call_timeout: Duration) -> Self {
        Client {
            replicas,
            secret,
            call_timeout,
            sender: Sender::Fleet,
            current: 0,
            connections: HashMap::new(),
        }
    }

    /// Creates a client for the leader of one region, which calls the `replicas` of another region.
    pub fn between_regions(
        replicas: Vec<SocketAddr>,
        secret: SharedSecret,
        call_timeout: Duration,
    ) -> Self {
        Client {
            sender: Sender::Region,
            ..Client::new(replicas, secret, call_timeout)
        }
    }

    /// Calls the presumed leader once. If that replica does not lead or does not answer, the next call goes to another
    /// one.
    ///
    /// # Errors
    /// Returns a [`ClientError`] if there is no reply, or if the request is rejected.
    pub async fn call(&mut self, kind: &request::Kind) -> Result<reply::Kind, ClientError> {
        let address = self.current_replica()?;
        let reply = self.call_replica(address, kind).await;
        match &reply {
            Err(ClientError::Rejected(rejection))
                if rejection.code() == rejection::Code::NotLeader =>
            {
                self.follow_leader(&rejection.leader);
            }
            Err(ClientError::Unavailable(_) | ClientError::UnexpectedReply(_)) => {
                self.try_next_replica();
            }
            Ok(_) | Err(ClientError::Rejected(_)) => {}
        }
        reply
    }

    /// Calls until a leader has answered or `time` has passed. Use this only for idempotent requests.
    ///
    /// # Errors
    /// Returns the [`ClientError`] of the last call.
    pub async fn call_with_retry(
        &mut self,
        kind: &request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, ClientError> {
        let deadline = Instant::now() + time;
        loop {
            let reply = self.call(kind).await;
            let is_final = !matches!(&reply, Err(error) if error.is_retryable());
            if is_final || Instant::now() >= deadline {
                return reply;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Switches to the next replica for subsequent calls.
    pub fn try_next_replica(&mut self) {
        self.current += 1;
    }

    /// Watches the revision of the presumed leader.
    ///
    /// # Errors
    /// Returns an error if that replica cannot be reached.
    pub async fn watch_revisions(&mut self) -> Result<RevisionWatch, ClientError> {
        let address = self.current_replica()?;
        let mut connection = self.connect(address)?;
        let request = Request {
            nonce: rand::random(),
            kind: Some(request::Kind::Status(StatusRequest {})),
        };
        let message = self.secret.authenticate(Purpose::Request, &request);
        let response = timeout(self.call_timeout, connection.news(message)).await;
        let stream = response
            .map_err(|_| Unavailable::Timeout(address))?
            .map_err(|status| Unavailable::Stream(status.message().to_owned()))?
            .into_inner();
        Ok(RevisionWatch {
            stream,
            secret: self.secret.clone(),
        })
    }

    fn current_replica(&self) -> Result<SocketAddr, Unavailable> {
        let replicas = self.replicas.len().max(1);
        self.replicas
            .get(self.current % replicas)
            .copied()
            .ok_or(Unavailable::NoReplicas)
    }

    /// Switches to the leader that a replica has named, or to the next replica if that leader is not among the replicas.
    fn follow_leader(&mut self, leader: &str) {
        let address: Option<SocketAddr> = leader.parse().ok();
        let index =
            address.and_then(|leader| self.replicas.iter().position(|&replica| replica == leader));
        self.current = index.unwrap_or(self.current + 1);
    }

    /// Returns the connection to a replica. It is established on first use, and again after it was lost.
    fn connect(&mut self, address: SocketAddr) -> Result<ControlClient<Channel>, Unavailable> {
        if let Some(connection) = self.connections.get(&address) {
            return Ok(connection.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Unavailable::Address(error.to_string()))?
            .connect_timeout(self.call_timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        let connection = connect_lazy(&endpoint);
        self.connections.insert(address, connection.clone());
        Ok(connection)
    }

    async fn call_replica(
        &mut self,
        address: SocketAddr,
        kind: &request::Kind,
    ) -> Result<reply::Kind, ClientError> {
        let (request_purpose, reply_purpose) = match self.sender {
            Sender::Fleet => (Purpose::Request, Purpose::Reply),
            Sender::Region => (Purpose::RegionRequest, Purpose::RegionReply),
        };
        let request = Request {
            nonce: rand::random(),
            kind: Some(kind.clone()),
        };
        let message = self.secret.authenticate(request_purpose, &request);
        let message = self.exchange(address, message).await?;
        let reply: Reply = self.secret.verify(reply_purpose, message)?;
        if reply.nonce != request.nonce {
            return Err(UnexpectedReply::Nonce.into());
        }
        match reply.kind {
            Some(reply::Kind::Rejection(rejection)) => Err(ClientError::Rejected(rejection)),
            Some(kind) => Ok(kind),
            None => Err(UnexpectedReply::Empty.into()),
        }
    }

    /// Sends a message to a replica and waits for its reply.
    async fn exchange(
        &mut self,
        address: SocketAddr,
        message: AuthenticatedMessage,
    ) -> Result<AuthenticatedMessage, ClientError> {
        let mut connection = self.connect(address)?;
        let call = async {
            match self.sender {
                Sender::Fleet => connection.call(message).await,
                Sender::Region => connection.region(message).await,
            }
        };
        let Ok(response) = timeout(self.call_timeout, call).await else {
            // A stalled connection may stay stalled for a long time; a new one can take another network route.
            self.connections.remove(&address);
            return Err(Unavailable::Timeout(address).into());
        };
        response
            .map(Response::into_inner)
            .map_err(|status| call_error(address, &status))
    }
}

/// Returns a connection with the message size limits of this protocol. It is established on first use.
pub fn connect_lazy(endpoint: &Endpoint) -> ControlClient<Channel> {
    ControlClient::new(endpoint.connect_lazy())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn call_error(replica: SocketAddr, status: &Status) -> ClientError {
    let message = status.message().to_owned();
    match status.code() {
        Code::PermissionDenied => UnexpectedReply::Denied(message).into(),
        _ => Unavailable::Call { replica, message }.into(),
    }
}
