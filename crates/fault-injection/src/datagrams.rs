//! A fault-injecting UDP link between two processes. Datagrams are lost, duplicated or delayed according to a seeded
//! random number generator.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What one direction of a link does to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// All datagrams are lost.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplication: f64,
    /// Each copy is delayed by a random time up to this one, so that datagrams are reordered.
    pub max_delay: Duration,
}

/// What a link does to datagrams in both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkState {
    /// From the senders to the target.
    pub forward: Impairment,
    /// From the target to the sender.
    pub backward: Impairment,
    /// Datagrams from these addresses are not forwarded to the target.
    pub blocked_sources: Arc<HashSet<SocketAddr>>,
}

/// Datagrams that senders sent to a link, whether or not they were forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Payload bytes, without the overhead of the network protocols.
    pub bytes: u64,
    /// Number of datagrams.
    pub datagrams: u64,
}

#[derive(Default)]
struct Counters {
    bytes: AtomicU64,
    datagrams: AtomicU64,
}

/// A fault-injecting UDP link to the current address of one target. Replies go to the address that sent the last
/// datagram. Dropping the link closes it.
pub struct DatagramLink {
    /// The address the link receives on.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<Counters>,
    tasks: [AbortHandle; 2],
}

/// Largest possible UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

impl DatagramLink {
    /// Creates a link to the current address in `target`; `seed` determines which datagrams are lost, duplicated and
    /// delayed.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
    pub async fn to(
        target: watch::Receiver<Option<SocketAddr>>,
        seed: u64,
    ) -> io::Result<DatagramLink> {
        let inbound = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let outbound = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = inbound.local_addr()?;
        let (state, _) = watch::channel(LinkState::default());
        let (sender_updates, last_sender) = watch::channel(None);
        let counters = Arc::new(Counters::default());
        let counts = Arc::clone(&counters);
        let forward = {
            let (inbound, outbound, state) = (
                Arc::clone(&inbound),
                Arc::clone(&outbound),
                state.subscribe(),
            );
            tokio::spawn(async move {
                let (mut buffer, mut rng) =
                    (vec![0; MAX_DATAGRAM_BYTES], Pcg32::seed_from_u64(seed));
                loop {
                    // The error belongs to an earlier datagram whose destination was unreachable.
                    let Ok((count, from)) = inbound.recv_from(&mut buffer).await else {
                        continue;
                    };
                    sender_updates.send_replace(Some(from));
                    counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
                    counts.datagrams.fetch_add(1, Ordering::Relaxed);
                    let (impairment, blocked) = {
                        let state = state.borrow();
                        (state.forward, state.blocked_sources.contains(&from))
                    };
                    for delay in copy_delays(impairment, &mut rng)
                        .into_iter()
                        .filter(|_| !blocked)
                    {
                        let Some(to) = *target.borrow() else { continue };
                        if delay.is_zero() {
                            let _ = outbound.send_to(&buffer[..count], to).await;
                            continue;
                        }
                        let (outbound, payload) = (Arc::clone(&outbound), buffer[..count].to_vec());
                        tokio::spawn(async move {
                            tokio::time::sleep(delay).await;
                            let _ = outbound.send_to(&payload, to).await;
                        });
                    }
                }
            })
        };
        let backward = {
            let state = state.subscribe();
            tokio::spawn(async move {
                let (mut buffer, mut rng) =
                    (vec![0; MAX_DATAGRAM_BYTES], Pcg32::seed_from_u64(!seed));
                loop {
                    let Ok(count) = outbound.recv(&mut buffer).await else {
                        continue;
                    };
                    let (impairment, to) = (state.borrow().backward, *last_sender.borrow());
                    let Some(to) = to else { continue };
                    for delay in copy_delays(impairment, &mut rng) {
                        let (inbound, payload) = (Arc::clone(&inbound), buffer[..count].to_vec());
                        tokio::spawn(async move {
                            tokio::time::sleep(delay).await;
                            let _ = inbound.send_to(&payload, to).await;
                        });
                    }
                }
            })
        };
        Ok(DatagramLink {
            address,
            state,
            counters,
            tasks: [forward.abort_handle(), backward.abort_handle()],
        })
    }

    /// Changes the state of the link.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// What senders sent to the link so far.
    pub fn received(&self) -> Received {
        let Counters { bytes, datagrams } = &*self.counters;
        Received {
            bytes: bytes.load(Ordering::Relaxed),
            datagrams: datagrams.load(Ordering::Relaxed),
        }
    }
}

impl Drop for DatagramLink {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// The delay of each copy of one datagram that is to be delivered; empty if the datagram is lost.
fn copy_delays(impairment: Impairment, rng: &mut Pcg32) -> Vec<Duration> {
    // The number of draws does not depend on their results, so that the fate of one datagram does not change that of
    // the next.
    let (lost, duplicated) = (
        rng.gen_bool(impairment.loss.clamp(0.0, 1.0)),
        rng.gen_bool(impairment.duplication.clamp(0.0, 1.0)),
    );
    let delay = [rng.gen_range(0.0..=1.0), rng.gen_range(0.0..=1.0)]
        .map(|share| impairment.max_delay.mul_f64(share));
    let count = if impairment.cut || lost {
        0
    } else {
        1 + usize::from(duplicated)
    };
    delay[..count].to_vec()
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn echo() -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("a local address");
        tokio::spawn(async move {
            let mut buffer = [0; 64];
            while let Ok((count, from)) = socket.recv_from(&mut buffer).await {
                let _ = socket.send_to(&buffer[..count], from).await;
            }
        });
        address
    }

    #[tokio::test]
    async fn directions_are_impaired_independently() {
        let link = DatagramLink::to(watch::channel(Some(echo().await)).1, 1)
            .await
            .expect("a link");
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        socket
            .connect(link.address)
            .await
            .expect("the socket connects to the link");
        let mut buffer = [0; 64];
        socket.send(b"a").await.expect("the datagram is sent");
        assert_eq!(
            socket
                .recv(&mut buffer)
                .await
                .expect("the datagram is echoed"),
            1
        );
        // Duplicated in both directions, one datagram yields four replies.
        link.set(|s| (s.forward.duplication, s.backward.duplication) = (1.0, 1.0));
        socket.send(b"b").await.expect("the datagram is sent");
        for _ in 0..4 {
            socket
                .recv(&mut buffer)
                .await
                .expect("the datagram is echoed");
            assert_eq!(buffer[0], b'b');
        }
        // With the forward direction cut the datagram is lost; it is not delivered later.
        link.set(|s| {
            s.forward = Impairment {
                cut: true,
                ..Impairment::default()
            }
        });
        socket.send(b"c").await.expect("the datagram is sent");
        link.set(|s| *s = LinkState::default());
        loop {
            // The link may read a datagram only after the cut has ended, so the next one is sent until its reply
            // arrives.
            socket.send(b"d").await.expect("the datagram is sent");
            socket
                .recv(&mut buffer)
                .await
                .expect("the datagram is echoed");
            if buffer[0] == b'd' {
                break;
            }
        }
    }

    #[test]
    fn impairments_are_determined_by_the_seed() {
        let impairment = Impairment {
            cut: false,
            loss: 0.3,
            duplication: 0.2,
            max_delay: Duration::from_millis(10),
        };
        let all = |seed| {
            let mut rng = Pcg32::seed_from_u64(seed);
            (0..1_000)
                .map(|_| copy_delays(impairment, &mut rng))
                .collect::<Vec<_>>()
        };
        assert_eq!(all(7), all(7));
        assert_ne!(all(7), all(8));
        let with_copies = |count: usize| all(7).iter().filter(|c| c.len() == count).count();
        assert!(
            (250..350).contains(&with_copies(0)) && (90..190).contains(&with_copies(2)),
            "{} {}",
            with_copies(0),
            with_copies(2)
        );
        assert!(all(7)
            .iter()
            .flatten()
            .all(|delay| *delay <= impairment.max_delay));
    }
}
