//! Protocol between client proxies, publishers and the control plane: protobuf messages over gRPC, each authenticated with
//! a secret that all processes of a fleet share.
//!
//! This crate contains the schema ([`wire`]), the authentication of messages ([`SharedSecret`], [`Purpose`]), a [`Client`]
//! that finds the leader among the replicas, and the conversions between the schema's messages and those of
//! [`badgerramp_policy`]. It makes no decisions: the control plane decides on requests, and the proxy decides how to use a
//! reply. Messages are not encrypted. A nonce matches a reply to its request.
//!
//! ```no_run
//! use badgerramp_control_protocol::wire::{reply, request, StatusRequest};
//! use badgerramp_control_protocol::{Client, SharedSecret};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let secret = SharedSecret::read("secret".as_ref())?;
//! let replicas = vec!["127.0.0.1:7400".parse()?];
//! let mut client = Client::new(replicas, secret, Duration::from_secs(1));
//! let request = request::Kind::Status(StatusRequest {});
//! if let reply::Kind::Status(status) = client.call_with_retry(&request, Duration::from_secs(10)).await? {
//!     println!("revision {}", status.revision);
//! }
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

mod authentication;
mod client;
pub mod clock;
mod invalid_message;
mod lease;
pub mod regions;
mod secret;

pub use authentication::{
    MessageError, Purpose, MAC_LEN, MAX_BODY_BYTES, MAX_MESSAGE_BYTES, PROTOCOL_VERSION,
};
pub use client::{connect_lazy, Client, ClientError, RevisionWatch, Unavailable, UnexpectedReply};
pub use invalid_message::InvalidMessage;
pub use secret::{SecretError, SharedSecret};

/// Returns the SHA-256 digest of a text.
pub fn digest(text: &str) -> Vec<u8> {
    use sha2::Digest;
    sha2::Sha256::digest(text.as_bytes()).to_vec()
}

/// Messages and service generated from `proto/control.proto`, whose comments describe them.
#[allow(
    missing_docs,
    clippy::doc_markdown,
    clippy::too_many_lines,
    reason = "generated from the schema"
)]
pub mod wire {
    tonic::include_proto!("badgerramp.control.v1");
}
