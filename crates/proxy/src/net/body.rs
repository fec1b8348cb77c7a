//! Collecting of message bodies into one buffer of their length.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why a body could not be collected.
#[derive(Debug, Error)]
pub(super) enum CollectError {
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The connection failed, or the body is malformed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Collects a body of at most `max_len` bytes. `expected_len` is its length, or 0 if that is not known. Each part is
/// copied at once: it would keep the read buffer that it arrived in, however short it is.
///
/// # Errors
/// If the body is too long, malformed or incomplete.
pub(super) async fn collect(
    mut body: Incoming,
    expected_len: usize,
    max_len: usize,
) -> Result<Bytes, CollectError> {
    let mut collected = Vec::with_capacity(expected_len);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_len {
            return Err(CollectError::TooLong);
        }
        collected.extend_from_slice(&data);
    }
    Ok(Bytes::from(collected))
}
