//! The protocol between client proxies, publishers and the control plane: messages in protobuf over gRPC, each
//! authenticated with a secret that all processes of a fleet share.
//!
//! The crate owns the schema ([`wire`]), the authentication of messages ([`SharedSecret`], [`Purpose`]), a [`Client`]
//! that finds the leader among the replicas, and the conversions between the schema's messages and those of
//! [`badgerramp_policy`]. It never decides anything: what a request leads to is up to the control plane, and what a
//! proxy does with a reply is up to the proxy. Nothing is encrypted; a reply is matched to its request by a nonce.
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

/// The SHA-256 of a text.
pub fn digest(text: &str) -> Vec<u8> {
    use sha2::Digest;
    sha2::Sha256::digest(text.as_bytes()).to_vec()
}

/// The messages and the service, generated from `proto/control.proto`. Its comments describe them.
#[allow(
    missing_docs,
    clippy::doc_markdown,
    clippy::too_many_lines,
    reason = "generated from the schema"
)]
pub mod wire {
    tonic::include_proto!("badgerramp.control.v1");
}
