//! Encoding of stored values: JSON preceded by a checksum, so that data corrupted on disk is detected.

use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::io;
use thiserror::Error;

/// Length of a checksum in bytes. It is a truncated SHA-256.
const CHECKSUM_LEN: usize = 16;
/// Maximum size of a decompressed snapshot.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// Zstandard compression level for snapshots.
const COMPRESSION_LEVEL: i32 = 3;

/// Why a value cannot be decoded or encoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The stored checksum differs from that of the value.
    #[error("the checksum does not match")]
    Checksum,
    /// The JSON is not that of such a value, or the value cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value cannot be compressed or decompressed.
    #[error(transparent)]
    Compression(#[from] io::Error),
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LEN] {
    let mut checksum = [0; CHECKSUM_LEN];
    checksum.copy_from_slice(&Sha256::digest(bytes)[..CHECKSUM_LEN]);
    checksum
}

fn with_checksum(body: &[u8]) -> Vec<u8> {
    [&checksum(body)[..], body].concat()
}

fn without_checksum(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    match bytes.split_at_checked(CHECKSUM_LEN) {
        Some((found, body)) if found == checksum(body) => Ok(body),
        _ => Err(DecodeError::Checksum),
    }
}

/// Encodes a value.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, DecodeError> {
    Ok(with_checksum(&serde_json::to_vec(value)?))
}

/// Decodes a value encoded by [`encode`].
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(serde_json::from_slice(without_checksum(bytes)?)?)
}

/// Encodes a large value with compression.
pub(super) fn encode_compressed(value: &impl Serialize) -> Result<Vec<u8>, DecodeError> {
    let json = serde_json::to_vec(value)?;
    let compressed = zstd::bulk::compress(&json, COMPRESSION_LEVEL)?;
    Ok(with_checksum(&compressed))
}

/// Decodes a value encoded by [`encode_compressed`].
pub(super) fn decode_compressed<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let compressed = without_checksum(bytes)?;
    let json = zstd::bulk::decompress(compressed, MAX_SNAPSHOT_BYTES)?;
    Ok(serde_json::from_slice(&json)?)
}
