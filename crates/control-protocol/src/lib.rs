//! The inner channel between client proxies, publishers and control: messages in protobuf over gRPC, each under a seal
//! that is made with a secret which all of them share.
#![forbid(unsafe_code)]

mod authentication;
mod client;
pub mod clock;
mod lease;
pub mod regions;
mod secret;

pub use authentication::{MessageError, Purpose, MAC_LEN, MAX_BODY_BYTES, PROTOCOL_VERSION};
pub use client::{Client, ClientError, RevisionWatch};
pub use secret::{SecretError, SharedSecret};

/// The SHA-256 of a text.
pub fn digest(text: &str) -> Vec<u8> {
    use sha2::Digest;
    sha2::Sha256::digest(text.as_bytes()).to_vec()
}

/// What travels. The comments are the schema's.
#[allow(
    missing_docs,
    clippy::doc_markdown,
    clippy::too_many_lines,
    reason = "generated from the schema"
)]
pub mod wire {
    tonic::include_proto!("badgerramp.control.v1");
}
