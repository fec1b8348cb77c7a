//! A client of control. It calls the replica that was last seen to lead, and goes on to another one when that fails.

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

/// How often HTTP/2 pings go out on a connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// A connection whose ping is not answered within this is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before [`Client::call_with_retry`] calls again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A stream of the new revisions of control.
pub struct RevisionWatch {
    stream: Streaming<AuthenticatedMessage>,
    secret: SharedSecret,
}

impl RevisionWatch {
    /// Waits for the next revision.
    ///
    /// # Errors
    /// If the stream has ended, or its message is not one of control's.
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

/// Who a client speaks for. It decides the method that is called and the purpose of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// A proxy or a publisher.
    Fleet,
    /// The leader of another region.
    Region,
}

/// A client of the replicas of control, with a connection to each that it has called.
///
/// Every call names its own nonce, and only the reply that carries it back is taken.
pub struct Client {
    replicas: Vec<SocketAddr>,
    secret: SharedSecret,
    call_timeout: Duration,
    sender: Sender,
    /// Counts the replicas that were tried: modulo their number it is the one to call.
    current: usize,
    connections: HashMap<SocketAddr, ControlClient<Channel>>,
}

impl Client {
    /// A client for proxies and publishers. Each single call fails after `call_timeout`.
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

    /// A client for the leader of one region, which calls the `replicas` of another one.
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

    /// Calls the replica that is taken to lead, once. If it does not lead or does not answer, the next call goes to
    /// another one.
    ///
    /// # Errors
    /// See [`ClientError`].
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

    /// Calls until a leader has answered or `time` has passed. Only for idempotent requests.
    ///
    /// # Errors
    /// That of the last call, see [`ClientError`].
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

    /// Makes the next call go to another replica.
    pub fn try_next_replica(&mut self) {
        self.current += 1;
    }

    /// Watches the revision of the replica that is taken to lead.
    ///
    /// # Errors
    /// If it can't be reached.
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

    /// Makes the next call go to the leader that a replica has named, or to the next replica if that is not known.
    fn follow_leader(&mut self, leader: &str) {
        let named: Option<SocketAddr> = leader.parse().ok();
        let known = named.and_then(|leader| self.replicas.iter().position(|&a| a == leader));
        self.current = known.unwrap_or(self.current + 1);
    }

    /// The connection to a replica. It is made when it is first used, and again after it was lost.
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

    /// Sends a message to a replica and waits for its answer.
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
            // A connection that hangs may do so for long: a new one can take another route.
            self.connections.remove(&address);
            return Err(Unavailable::Timeout(address).into());
        };
        response
            .map(Response::into_inner)
            .map_err(|status| call_error(address, &status))
    }
}

/// A connection with the message sizes of this protocol. It is made when it is first used.
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
