//! Requests the status of a running proxy.

use super::datagram::{Datagram, DatagramCodec, DatagramKind, RejectedDatagrams};
use badgerramp_gossip::peer::PeerStatus;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;
use thiserror::Error;

/// Greatest size of a reply in bytes: it is larger than any message between proxies.
const MAX_REPLY_SIZE: usize = 60_000;

/// The report of a running proxy on its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// What it knows.
    #[serde(rename = "standing")]
    pub status: PeerStatus,
    /// Counters of datagrams that it did not accept.
    #[serde(rename = "strangers")]
    pub rejected: RejectedDatagrams,
}

/// Why a proxy's status is not known.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The request could not be sent, or the reply not be received.
    #[error("{address}: {source}")]
    Io {
        /// The proxy.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// There was no reply.
    #[error("{address}: no answer within {} s: another secret or fleet, or no proxy", timeout.as_secs())]
    Timeout {
        /// The proxy.
        address: SocketAddr,
        /// The time that has passed.
        timeout: Duration,
    },
    /// The reply is not authentic, or answers another request.
    #[error("{address}: an answer under another seal")]
    Unauthenticated {
        /// The proxy.
        address: SocketAddr,
    },
    /// The reply can't be decoded.
    #[error("{address}: an odd answer: {source}")]
    Decode {
        /// The proxy.
        address: SocketAddr,
        /// What is wrong with it.
        source: postcard::Error,
    },
}

/// Requests the status of the proxy that receives messages at `address`. Blocks for at most `timeout`.
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
    let any: SocketAddr = if address.is_ipv4() {
        (Ipv4Addr::UNSPECIFIED, 0).into()
    } else {
        (Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(timeout))?;
    Ok(socket)
}
