//! The way between two processes: a listener that passes on what comes, as its state allows.

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

/// How one direction of a link passes bytes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Forwarding {
    /// As they come.
    #[default]
    Normal,
    /// Not at all; they wait, as they do while a network is cut.
    Cut,
    /// After a time.
    Delayed(Duration),
    /// Some at a time.
    Trickle,
}

/// Both directions of a link, and how often its connections were reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// From whom connects.
    pub forward: Forwarding,
    /// To whom connects.
    pub backward: Forwarding,
    /// All connections that are up when it grows are reset.
    pub resets: u64,
}

/// What has passed a link in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forwarded {
    /// Bytes of the streams, without what the network adds.
    pub bytes: u64,
    /// Pieces in which they were read: about as many as there were messages.
    pub chunks: u64,
}

#[derive(Default)]
struct Counters {
    bytes: AtomicU64,
    chunks: AtomicU64,
}

/// A link. It ends with its owner.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<Counters>,
    listener: AbortHandle,
}

/// Bytes of a trickle at a time, and the pause after them.
const TRICKLE: (usize, Duration) = (48, Duration::from_millis(2));

impl Link {
    /// A link to where `target` says; a connection that finds nobody there ends.
    ///
    /// # Errors
    /// If no port can be had.
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
                    // Out of descriptors, or a connection that has gone already.
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

    /// Changes how it passes bytes on.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// What has passed it so far.
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
            // Closed at once, with a reset instead of an end.
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
            // An end passes through a cut no more than bytes do.
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

/// Reads one HTTP message, head and body, from a stream; `None` at its end.
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

/// The value of a header.
pub(crate) fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Writes all.
pub(crate) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
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
    async fn a_cut_holds_back_in_its_direction_alone_and_a_reset_ends() {
        let (_known, target) = watch::channel(Some(echo().await));
        let link = Link::to(target).await.expect("a link");
        let mut stream = TcpStream::connect(link.address).await.expect("it listens");
        let mut byte = [0; 1];
        stream.write_all(b"a").await.expect("up");
        stream.read_exact(&mut byte).await.expect("echoed");
        link.set(|s| s.backward = Forwarding::Cut);
        stream.write_all(b"b").await.expect("up");
        assert!(
            tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut byte))
                .await
                .is_err(),
            "nothing comes back"
        );
        link.set(|s| s.backward = Forwarding::Normal);
        stream
            .read_exact(&mut byte)
            .await
            .expect("it comes when the cut is mended");
        assert_eq!(&byte, b"b");
        link.set(|s| s.resets += 1);
        assert!(stream.read_exact(&mut byte).await.is_err());
        let mut second = TcpStream::connect(link.address).await.expect("it listens");
        link.set(|s| {
            (s.forward, s.backward) = (
                Forwarding::Trickle,
                Forwarding::Delayed(Duration::from_millis(5)),
            )
        });
        second.write_all(&[7; 200]).await.expect("up");
        second.read_exact(&mut [0; 200]).await.expect("all of it");
    }
}
