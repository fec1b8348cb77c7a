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
pub enum Pass {
    /// As they come.
    #[default]
    Free,
    /// Not at all; they wait, as they do while a network is cut.
    Cut,
    /// After a time.
    Delayed(Duration),
    /// Some at a time.
    Trickle,
}

/// Both directions of a link, and how often its connections were reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// From whom connects.
    pub forth: Pass,
    /// To whom connects.
    pub back: Pass,
    /// All connections that are up when it grows are reset.
    pub resets: u64,
}

/// What has passed a link in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Bytes of the streams, without what the network adds.
    pub bytes: u64,
    /// Pieces in which they were read: about as many as there were messages.
    pub pieces: u64,
}

#[derive(Default)]
struct Counters {
    bytes: AtomicU64,
    pieces: AtomicU64,
}

/// A link. It ends with its owner.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
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
        let (state, _) = watch::channel(State::default());
        let states = state.clone();
        let counters = Arc::new(Counters::default());
        let counts = Arc::clone(&counters);
        let task = tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    // Out of descriptors, or a connection that has gone already.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let (state, target) = (states.subscribe(), *target.borrow());
                let counts = Arc::clone(&counts);
                tokio::spawn(async move {
                    let Some(target) = target else { return };
                    if let Ok(far) = TcpStream::connect(target).await {
                        carry(near, far, state, &counts).await;
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
    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }

    /// What has passed it so far.
    pub fn passed(&self) -> Passed {
        let Counters { bytes, pieces } = &*self.counters;
        Passed {
            bytes: bytes.load(Ordering::Relaxed),
            pieces: pieces.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.listener.abort();
        self.state.send_modify(|state| state.resets += 1);
    }
}

async fn carry(
    near: TcpStream,
    far: TcpStream,
    mut state: watch::Receiver<State>,
    counters: &Counters,
) {
    let resets = state.borrow().resets;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (sockets, ways) = (
        (Arc::new(near), Arc::new(far)),
        (state.clone(), state.clone()),
    );
    let (a, b) = (Arc::clone(&sockets.0), Arc::clone(&sockets.1));
    let forth = pass((a, b), ways.0, |s| s.forth, counters);
    let back = pass(
        (Arc::clone(&sockets.1), Arc::clone(&sockets.0)),
        ways.1,
        |s| s.back,
        counters,
    );
    let reset = async {
        let _ = state.wait_for(|s| s.resets != resets).await;
    };
    tokio::select! {
        () = async { tokio::join!(forth, back); } => {}
        () = reset => {
            // Closed at once, with a reset instead of an end.
            for socket in [&*sockets.0, &*sockets.1] {
                let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

async fn pass(
    (from, to): (Arc<TcpStream>, Arc<TcpStream>),
    mut state: watch::Receiver<State>,
    way: fn(&State) -> Pass,
    counters: &Counters,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = read(&from, &mut buffer).await;
        let Ok(count @ 1..) = read else {
            // An end passes through a cut no more than bytes do.
            let _ = state.wait_for(|s| way(s) != Pass::Cut).await;
            let _ = SockRef::from(&*to).shutdown(std::net::Shutdown::Write);
            return;
        };
        let Ok(now) = state
            .wait_for(|s| way(s) != Pass::Cut)
            .await
            .map(|s| way(&s))
        else {
            return;
        };
        counters.bytes.fetch_add(count as u64, Ordering::Relaxed);
        counters.pieces.fetch_add(1, Ordering::Relaxed);
        let done = match now {
            Pass::Trickle => {
                let mut done = Ok(());
                for some in buffer[..count].chunks(TRICKLE.0) {
                    tokio::time::sleep(TRICKLE.1).await;
                    done = write(&to, some).await;
                }
                done
            }
            Pass::Delayed(time) => {
                tokio::time::sleep(time).await;
                write(&to, &buffer[..count]).await
            }
            Pass::Free | Pass::Cut => write(&to, &buffer[..count]).await,
        };
        if done.is_err() {
            return;
        }
    }
}

async fn read(from: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buffer) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

async fn write(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            Err(fault) => return Err(fault),
        }
    }
    Ok(())
}

/// Reads one HTTP message, head and body, from a stream; `None` at its end.
pub(crate) async fn message(
    stream: &mut TcpStream,
    held: &mut Vec<u8>,
) -> Option<(String, Vec<u8>)> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let length = header(&head, "content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if held.len() >= end + 4 + length {
                let body = held[end + 4..end + 4 + length].to_vec();
                held.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => held.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// The value of a header.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
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
        link.set(|s| s.back = Pass::Cut);
        stream.write_all(b"b").await.expect("up");
        assert!(
            tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut byte))
                .await
                .is_err(),
            "nothing comes back"
        );
        link.set(|s| s.back = Pass::Free);
        stream
            .read_exact(&mut byte)
            .await
            .expect("it comes when the cut is mended");
        assert_eq!(&byte, b"b");
        link.set(|s| s.resets += 1);
        assert!(stream.read_exact(&mut byte).await.is_err());
        let mut anew = TcpStream::connect(link.address).await.expect("it listens");
        link.set(|s| (s.forth, s.back) = (Pass::Trickle, Pass::Delayed(Duration::from_millis(5))));
        anew.write_all(&[7; 200]).await.expect("up");
        anew.read_exact(&mut [0; 200]).await.expect("all of it");
    }
}
