//! Asks control: the replica that leads, wherever it is.

use crate::authentication::{MessageError, Purpose};
use crate::secret::SharedSecret;
use crate::wire::control_client::ControlClient;
use crate::wire::{
    rejection, reply, request, AuthenticatedMessage, Rejection, Reply, Request, StatusRequest,
};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// Most bytes of one message, with what is around its body.
pub(crate) const MAX_MESSAGE_BYTES: usize = crate::MAX_BODY_BYTES + 1024;

/// Why there is no answer.
#[derive(Clone, Debug)]
pub enum ClientError {
    /// No replica that leads could be reached in time; the last reason.
    Unavailable(String),
    /// It answered, and the answer can't be trusted or read.
    UnexpectedReply(String),
    /// It refuses.
    Rejected(Rejection),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Unavailable(why) => write!(f, "control can't be reached: {why}"),
            ClientError::UnexpectedReply(why) => write!(f, "control answers oddly: {why}"),
            ClientError::Rejected(rejection) => f.write_str(&rejection.message),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<MessageError> for ClientError {
    fn from(fault: MessageError) -> Self {
        ClientError::UnexpectedReply(fault.to_string())
    }
}

/// A stream of control's words that its revision has moved.
pub struct RevisionWatch(tonic::Streaming<AuthenticatedMessage>, SharedSecret);

impl RevisionWatch {
    /// The next revision.
    ///
    /// # Errors
    /// If the stream has ended or is not control's.
    pub async fn next(&mut self) -> Result<u64, ClientError> {
        let sealed = self
            .0
            .message()
            .await
            .map_err(|s| ClientError::Unavailable(s.message().to_owned()))?;
        let sealed = sealed
            .ok_or_else(|| ClientError::Unavailable("the stream of news ended".to_owned()))?;
        match self.1.verify::<Reply>(Purpose::Reply, sealed)?.kind {
            Some(reply::Kind::RevisionChanged(word)) => Ok(word.revision),
            _ => Err(ClientError::UnexpectedReply(
                "no word of a revision".to_owned(),
            )),
        }
    }
}

/// Whom a client speaks for: the seal of each is for another purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// A proxy or a publisher, to control.
    Fleet,
    /// The leader of a region, to another region's.
    Regions,
}

/// Replicas of control, and the one that was last seen to lead.
pub struct Client {
    replicas: Vec<SocketAddr>,
    secret: SharedSecret,
    within: Duration,
    audience: Audience,
    place: usize,
    open: HashMap<SocketAddr, ControlClient<Channel>>,
}

impl Client {
    /// Asks these replicas, each question within this time.
    pub fn new(replicas: Vec<SocketAddr>, secret: SharedSecret, within: Duration) -> Self {
        Client {
            replicas,
            secret,
            within,
            audience: Audience::Fleet,
            place: 0,
            open: HashMap::new(),
        }
    }

    /// Asks these replicas of another region for the leader of this one.
    pub fn between_regions(
        replicas: Vec<SocketAddr>,
        secret: SharedSecret,
        within: Duration,
    ) -> Self {
        Client {
            audience: Audience::Regions,
            ..Client::new(replicas, secret, within)
        }
    }

    fn to(&mut self, address: SocketAddr) -> Result<ControlClient<Channel>, ClientError> {
        if let Some(client) = self.open.get(&address) {
            return Ok(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|e| ClientError::Unavailable(e.to_string()))?
            .connect_timeout(self.within)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(Duration::from_secs(5))
            .keep_alive_timeout(Duration::from_secs(3));
        let client = ControlClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        self.open.insert(address, client.clone());
        Ok(client)
    }

    async fn once(
        &mut self,
        address: SocketAddr,
        what: &request::Kind,
    ) -> Result<reply::Kind, ClientError> {
        let mut client = self.to(address)?;
        let nonce = rand::random();
        let request = Request {
            nonce,
            kind: Some(what.clone()),
        };
        let (asked, answered) = match self.audience {
            Audience::Fleet => (Purpose::Request, Purpose::Reply),
            Audience::Regions => (Purpose::RegionRequest, Purpose::RegionReply),
        };
        let sealed = self.secret.authenticate(asked, &request);
        let call = async {
            match self.audience {
                Audience::Fleet => client.call(sealed).await,
                Audience::Regions => client.region(sealed).await,
            }
        };
        let answer = tokio::time::timeout(self.within, call).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) if status.code() == tonic::Code::PermissionDenied => {
                return Err(ClientError::UnexpectedReply(status.message().to_owned()));
            }
            Ok(Err(status)) => {
                return Err(ClientError::Unavailable(format!(
                    "{address}: {}",
                    status.message()
                )))
            }
            Err(_) => {
                // What is stuck stays so: a fresh connection may find another way.
                self.open.remove(&address);
                return Err(ClientError::Unavailable(format!(
                    "{address}: no answer in time"
                )));
            }
        };
        let reply: Reply = self.secret.verify(answered, answer)?;
        if reply.nonce != nonce {
            return Err(ClientError::UnexpectedReply(
                "the answer is to another question".to_owned(),
            ));
        }
        match reply.kind {
            Some(reply::Kind::Rejection(rejection)) => Err(ClientError::Rejected(rejection)),
            Some(what) => Ok(what),
            None => Err(ClientError::UnexpectedReply("an empty answer".to_owned())),
        }
    }

    /// Asks once, at the replica that is taken to lead. After an answer of one that does not, or none, the next question
    /// goes elsewhere.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn call(&mut self, what: &request::Kind) -> Result<reply::Kind, ClientError> {
        let Some(&address) = self.replicas.get(self.place % self.replicas.len().max(1)) else {
            return Err(ClientError::Unavailable("no replica is named".to_owned()));
        };
        let answer = self.once(address, what).await;
        match &answer {
            Err(ClientError::Rejected(rejection))
                if rejection.code() == rejection::Code::NotLeader =>
            {
                let named = rejection.leader.parse().ok();
                let known =
                    named.and_then(|n: SocketAddr| self.replicas.iter().position(|&r| r == n));
                self.place = known.unwrap_or(self.place + 1);
            }
            Err(ClientError::Unavailable(_) | ClientError::UnexpectedReply(_)) => self.place += 1,
            _ => {}
        }
        answer
    }

    /// Asks until a replica that leads has answered, or this much time has passed. Only for questions that may be asked
    /// twice.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn call_with_retry(
        &mut self,
        what: &request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, ClientError> {
        let end = tokio::time::Instant::now() + time;
        loop {
            let answer = self.call(what).await;
            let again = match &answer {
                Err(ClientError::Unavailable(_)) => true,
                Err(ClientError::Rejected(rejection)) => {
                    rejection.code() == rejection::Code::NotLeader
                }
                _ => false,
            };
            if !again || tokio::time::Instant::now() >= end {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// The next question goes to another replica.
    pub fn try_next_replica(&mut self) {
        self.place += 1;
    }

    /// The news of the replica that was last asked.
    ///
    /// # Errors
    /// If it can't be reached.
    pub async fn watch_revisions(&mut self) -> Result<RevisionWatch, ClientError> {
        let Some(&address) = self.replicas.get(self.place % self.replicas.len().max(1)) else {
            return Err(ClientError::Unavailable("no replica is named".to_owned()));
        };
        let mut client = self.to(address)?;
        let kind = Some(request::Kind::Status(StatusRequest {}));
        let sealed = self.secret.authenticate(
            Purpose::Request,
            &Request {
                nonce: rand::random(),
                kind,
            },
        );
        let opened = tokio::time::timeout(self.within, client.news(sealed)).await;
        match opened {
            Ok(Ok(stream)) => Ok(RevisionWatch(stream.into_inner(), self.secret.clone())),
            Ok(Err(status)) => Err(ClientError::Unavailable(status.message().to_owned())),
            Err(_) => Err(ClientError::Unavailable(format!(
                "{address}: no answer in time"
            ))),
        }
    }
}
