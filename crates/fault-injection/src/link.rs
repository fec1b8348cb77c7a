//! A fault-injecting TCP link between two processes: a listener that forwards each connection to a target, as its state
//! allows.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// How one direction of a link forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Forwarding {
    /// Forwards bytes as they arrive.
    #[default]
    Normal,
    /// Forwards nothing. Bytes are held back until the direction is no longer cut, as in a network partition.
    Cut,
    /// Forwards bytes after this delay.
    Delayed(Duration),
    /// Forwards a few bytes at a time, with pauses in between.
    Trickle,
}

/// How both directions of a link forward bytes, and how often its connections were reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// From the connecting process to the target.
    pub forward: Forwarding,
    /// From the target to the connecting process.
    pub backward: Forwarding,
    /// Each increment resets all connections that are open at that moment.
    pub resets: u64,
}

/// What a link has forwarded in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forwarded {
    /// Payload bytes, without the overhead of the network protocols.
    pub bytes: u64,
    /// Reads from a socket that returned data; close to the number of messages.
    pub chunks: u64,
}

#[derive(Default)]
struct Counters {
    bytes: AtomicU64,
    chunks: AtomicU64,
}

/// A fault-injecting TCP link. Dropping it closes the listener and resets all connections.
pub struct Link {
    /// The address the link listens on.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<Counters>,
    listener: AbortHandle,
}

/// Bytes per write of [`Forwarding::Trickle`], and the pause before each write.
const TRICKLE: (usize, Duration) = (48, Duration::from_millis(2));

impl Link {
    /// Creates a link to the current address in `target`. A connection is closed at once while there is no target
    /// address or the target does not accept connections.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
    pub async fn to(target: watch::Receiver<Option<SocketAddr>>) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, _) = watch::channel(LinkState::default());
        let states = state.clone();
        let counters = Arc::new(Counters::default());
        let counts = Arc::clone(&counters);
        let task = tokio::spawn(async move {
            loop {
                let Ok((inbound, _)) = listener.accept().await else {
                    // The process is out of file descriptors, or the client has already closed the connection.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let (state, target) = (states.subscribe(), *target.borrow());
                let counts = Arc::clone(&counts);
                tokio::spawn(async move {
                    let Some(target) = target else { return };
                    if let Ok(outbound) = TcpStream::connect(target).await {
                        forward_connection(inbound, outbound, state, &counts).await;
                    }
                });
            }
        });
        Ok(Link {
            address,
            state,
            counters,
            listener: task.abort_handle(),
        })
    }

    /// Changes the state of the link.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// What the link has forwarded so far.
    pub fn forwarded(&self) -> Forwarded {
        let Counters { bytes, chunks } = &*self.counters;
        Forwarded {
            bytes: bytes.load(Ordering::Relaxed),
            chunks: chunks.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.listener.abort();
        self.state.send_modify(|state| state.resets += 1);
    }
}

async fn forward_connection(
    inbound: TcpStream,
    outbound: TcpStream,
    mut state: watch::Receiver<LinkState>,
    counters: &Counters,
) {
    let resets = state.borrow().resets;
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (sockets, states) = (
        (Arc::new(inbound), Arc::new(outbound)),
        (state.clone(), state.clone()),
    );
    let (a, b) = (Arc::clone(&sockets.0), Arc::clone(&sockets.1));
    let forward = forward_direction((a, b), states.0, |s| s.forward, counters);
    let backward = forward_direction(
        (Arc::clone(&sockets.1), Arc::clone(&sockets.0)),
        states.1,
        |s| s.backward,
        counters,
    );
    let reset = async {
        let _ = state.wait_for(|s| s.resets != resets).await;
    };
    tokio::select! {
        () = async { tokio::join!(forward, backward); } => {}
        () = reset => {
            // A linger time of zero makes the close send a reset instead of a FIN.
            for socket in [&*sockets.0, &*sockets.1] {
                let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

async fn forward_direction(
    (from, to): (Arc<TcpStream>, Arc<TcpStream>),
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> Forwarding,
    counters: &Counters,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = read(&from, &mut buffer).await;
        let Ok(count @ 1..) = read else {
            // A cut direction holds back the end of the stream just as it holds back bytes.
            let _ = state.wait_for(|s| direction(s) != Forwarding::Cut).await;
            let _ = SockRef::from(&*to).shutdown(std::net::Shutdown::Write);
            return;
        };
        let Ok(forwarding) = state
            .wait_for(|s| direction(s) != Forwarding::Cut)
            .await
            .map(|s| direction(&s))
        else {
            return;
        };
        counters.bytes.fetch_add(count as u64, Ordering::Relaxed);
        counters.chunks.fetch_add(1, Ordering::Relaxed);
        let written = match forwarding {
            Forwarding::Trickle => {
                let mut written = Ok(());
                for chunk in buffer[..count].chunks(TRICKLE.0) {
                    tokio::time::sleep(TRICKLE.1).await;
                    written = write(&to, chunk).await;
                }
                written
            }
            Forwarding::Delayed(time) => {
                tokio::time::sleep(time).await;
                write(&to, &buffer[..count]).await
            }
            Forwarding::Normal | Forwarding::Cut => write(&to, &buffer[..count]).await,
        };
        if written.is_err() {
            return;
        }
    }
}

async fn read(from: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return written,
        }
    }
}

async fn write(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads one HTTP message from a stream and returns its head and body, or `None` at the end of the stream. `buffered`
/// keeps bytes of the next message.
pub(crate) async fn read_message(
    stream: &mut TcpStream,
    buffered: &mut Vec<u8>,
) -> Option<(String, Vec<u8>)> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = buffered.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffered[..end]).into_owned();
            let length = header_value(&head, "content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if buffered.len() >= end + 4 + length {
                let body = buffered[end + 4..end + 4 + length].to_vec();
                buffered.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => buffered.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// The value of the header `name`, compared without regard to case.
pub(crate) fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Writes all bytes to a stream.
pub(crate) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("a local address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let (mut from, mut to) = stream.split();
                    let _ = tokio::io::copy(&mut from, &mut to).await;
                });
            }
        });
        address
    }

    #[tokio::test]
    async fn a_cut_blocks_one_direction_and_a_reset_closes_connections() {
        let (_known, target) = watch::channel(Some(echo().await));
        let link = Link::to(target).await.expect("a link");
        let mut stream = TcpStream::connect(link.address)
            .await
            .expect("the link accepts the connection");
        let mut byte = [0; 1];
        stream
            .write_all(b"a")
            .await
            .expect("the connection is open");
        stream
            .read_exact(&mut byte)
            .await
            .expect("the byte is echoed");
        link.set(|s| s.backward = Forwarding::Cut);
        stream
            .write_all(b"b")
            .await
            .expect("the connection is open");
        assert!(
            tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut byte))
                .await
                .is_err(),
            "a byte arrived through the cut direction"
        );
        link.set(|s| s.backward = Forwarding::Normal);
        stream
            .read_exact(&mut byte)
            .await
            .expect("the byte arrives once the cut has ended");
        assert_eq!(&byte, b"b");
        link.set(|s| s.resets += 1);
        assert!(stream.read_exact(&mut byte).await.is_err());
        let mut second = TcpStream::connect(link.address)
            .await
            .expect("the link accepts the connection");
        link.set(|s| {
            (s.forward, s.backward) = (
                Forwarding::Trickle,
                Forwarding::Delayed(Duration::from_millis(5)),
            );
        });
        second
            .write_all(&[7; 200])
            .await
            .expect("the connection is open");
        second
            .read_exact(&mut [0; 200])
            .await
            .expect("all bytes are echoed");
    }
}
