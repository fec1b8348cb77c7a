//! Requests the status of a running proxy over its gossip socket.

use super::datagram::{Datagram, DatagramCodec, DatagramKind, RejectedDatagrams};
use badgerramp_gossip::peer::PeerStatus;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;
use thiserror::Error;

/// The maximum size of a status reply, in bytes. It can be larger than a message between proxies.
const MAX_REPLY_SIZE: usize = 60_000;

/// The gossip status of a running proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The endpoint list and the peers that the proxy knows.
    #[serde(rename = "standing")]
    pub status: PeerStatus,
    /// Counters of the datagrams that the proxy rejected.
    #[serde(rename = "strangers")]
    pub rejected: RejectedDatagrams,
}

/// Why a status query failed.
#[derive(Debug, Error)]
pub enum QueryError {
    /// Sending the request or receiving the reply failed.
    #[error("{address}: {source}")]
    Io {
        /// The address of the proxy.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// There was no reply.
    #[error("{address}: no reply within {} s: the proxy is not running, or has another secret or fleet", timeout.as_secs())]
    Timeout {
        /// The address of the proxy.
        address: SocketAddr,
        /// The timeout of the query.
        timeout: Duration,
    },
    /// The reply is not authentic or belongs to another request.
    #[error("{address}: the reply is not authentic or belongs to another request")]
    Unauthenticated {
        /// The address of the proxy.
        address: SocketAddr,
    },
    /// The reply can't be decoded.
    #[error("{address}: malformed reply: {source}")]
    Decode {
        /// The address of the proxy.
        address: SocketAddr,
        /// The error of the decoder.
        source: postcard::Error,
    },
}

/// Requests the status of the proxy whose gossip socket has this address. Blocks for at most `timeout`.
///
/// # Errors
/// If there is no valid reply.
pub fn query_status(
    address: SocketAddr,
    codec: &DatagramCodec,
    timeout: Duration,
) -> Result<StatusReport, QueryError> {
    let io_error = |source| QueryError::Io { address, source };
    let socket = connect(address, timeout).map_err(io_error)?;
    let request = Datagram {
        sender: rand::random(),
        sequence: 1,
        body: &[],
    };
    let bytes = codec.encode(DatagramKind::StatusRequest, &request);
    socket.send(&bytes).map_err(io_error)?;
    let mut buffer = vec![0; MAX_REPLY_SIZE];
    let size = socket
        .recv(&mut buffer)
        .map_err(|source| match source.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
                QueryError::Timeout { address, timeout }
            }
            _ => io_error(source),
        })?;
    match codec.decode(DatagramKind::StatusReply, &buffer[..size]) {
        Ok(reply) if reply.sender == request.sender => postcard::from_bytes(reply.body)
            .map_err(|source| QueryError::Decode { address, source }),
        _ => Err(QueryError::Unauthenticated { address }),
    }
}

fn connect(address: SocketAddr, timeout: Duration) -> io::Result<UdpSocket> {
    let local_address: SocketAddr = if address.is_ipv4() {
        (Ipv4Addr::UNSPECIFIED, 0).into()
    } else {
        (Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = UdpSocket::bind(local_address)?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(timeout))?;
    Ok(socket)
}
