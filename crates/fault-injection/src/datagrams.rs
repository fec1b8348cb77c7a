//! The way of datagrams between two processes: some are lost, doubled or late, by draws from a seed.

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

/// How one direction passes datagrams on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// None goes through.
    pub cut: bool,
    /// Share of those that are lost.
    pub loss: f64,
    /// Share of those that come twice.
    pub duplication: f64,
    /// Each is late by a time up to this, so that they overtake each other.
    pub max_delay: Duration,
}

/// Both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkState {
    /// From whom sends first.
    pub forward: Impairment,
    /// To whom sent first.
    pub backward: Impairment,
    /// Nothing goes forth from these.
    pub blocked_sources: Arc<HashSet<SocketAddr>>,
}

/// What came to a link on its way forth, whatever became of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Bytes of the datagrams, without what the network adds.
    pub bytes: u64,
    /// Datagrams.
    pub datagrams: u64,
}

#[derive(Default)]
struct Counters {
    bytes: AtomicU64,
    datagrams: AtomicU64,
}

/// A link for datagrams to one target, wherever that is at the moment; answers go to whom it last heard from. It ends
/// with its owner.
pub struct DatagramLink {
    /// Where it hears.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<Counters>,
    tasks: [AbortHandle; 2],
}

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

impl DatagramLink {
    /// A link to `target`, with draws of this seed.
    ///
    /// # Errors
    /// If no port can be had.
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
                    // An error tells of an earlier datagram that found nobody.
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

    /// Changes how it passes datagrams on.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// What came to it so far on its way forth.
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

/// When each copy of one datagram goes on; none: it is lost.
fn copy_delays(impairment: Impairment, rng: &mut Pcg32) -> Vec<Duration> {
    // As many draws whatever comes of them: one datagram's lot does not move the next one's.
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
        let address = socket.local_addr().expect("its address");
        tokio::spawn(async move {
            let mut buffer = [0; 64];
            while let Ok((count, from)) = socket.recv_from(&mut buffer).await {
                let _ = socket.send_to(&buffer[..count], from).await;
            }
        });
        address
    }

    #[tokio::test]
    async fn each_direction_has_its_own_lot() {
        let link = DatagramLink::to(watch::channel(Some(echo().await)).1, 1)
            .await
            .expect("a link");
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        socket.connect(link.address).await.expect("it hears");
        let mut buffer = [0; 64];
        socket.send(b"a").await.expect("sent");
        assert_eq!(socket.recv(&mut buffer).await.expect("echoed"), 1);
        // Doubled forth and back: four.
        link.set(|s| (s.forward.duplication, s.backward.duplication) = (1.0, 1.0));
        socket.send(b"b").await.expect("sent");
        for _ in 0..4 {
            socket.recv(&mut buffer).await.expect("echoed");
            assert_eq!(buffer[0], b'b');
        }
        // It hears and is not heard; what was lost does not come later.
        link.set(|s| {
            s.forward = Impairment {
                cut: true,
                ..Impairment::default()
            }
        });
        socket.send(b"c").await.expect("sent");
        link.set(|s| *s = LinkState::default());
        loop {
            // What was sent in the cut may be read by the link after the cut is mended: it is sent again until it comes.
            socket.send(b"d").await.expect("sent");
            socket.recv(&mut buffer).await.expect("echoed");
            if buffer[0] == b'd' {
                break;
            }
        }
    }

    #[test]
    fn lots_are_drawn_by_seed() {
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
