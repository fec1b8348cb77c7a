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
pub struct Pass {
    /// None goes through.
    pub cut: bool,
    /// Share of those that are lost.
    pub lost: f64,
    /// Share of those that come twice.
    pub doubled: f64,
    /// Each is late by a time up to this, so that they overtake each other.
    pub late: Duration,
}

/// Both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// From whom sends first.
    pub forth: Pass,
    /// To whom sent first.
    pub back: Pass,
    /// Nothing goes forth from these.
    pub refused: Arc<HashSet<SocketAddr>>,
}

/// What came to a link on its way forth, whatever became of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
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
pub struct Datagrams {
    /// Where it hears.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    counters: Arc<Counters>,
    tasks: [AbortHandle; 2],
}

/// Longest datagram.
const MOST: usize = 65_536;

impl Datagrams {
    /// A link to `target`, with draws of this seed.
    ///
    /// # Errors
    /// If no port can be had.
    pub async fn to(
        target: watch::Receiver<Option<SocketAddr>>,
        seed: u64,
    ) -> io::Result<Datagrams> {
        let near = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let far = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = near.local_addr()?;
        let (state, _) = watch::channel(State::default());
        let (heard, hears) = watch::channel(None);
        let counters = Arc::new(Counters::default());
        let counts = Arc::clone(&counters);
        let forth = {
            let (near, far, state) = (Arc::clone(&near), Arc::clone(&far), state.subscribe());
            tokio::spawn(async move {
                let (mut buffer, mut draws) = (vec![0; MOST], Pcg32::seed_from_u64(seed));
                loop {
                    // An error tells of an earlier datagram that found nobody.
                    let Ok((count, from)) = near.recv_from(&mut buffer).await else {
                        continue;
                    };
                    heard.send_replace(Some(from));
                    counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
                    counts.datagrams.fetch_add(1, Ordering::Relaxed);
                    let (pass, refused) = {
                        let state = state.borrow();
                        (state.forth, state.refused.contains(&from))
                    };
                    for late in copies(pass, &mut draws).into_iter().filter(|_| !refused) {
                        let Some(to) = *target.borrow() else { continue };
                        if late.is_zero() {
                            let _ = far.send_to(&buffer[..count], to).await;
                            continue;
                        }
                        let (far, text) = (Arc::clone(&far), buffer[..count].to_vec());
                        tokio::spawn(async move {
                            tokio::time::sleep(late).await;
                            let _ = far.send_to(&text, to).await;
                        });
                    }
                }
            })
        };
        let back = {
            let state = state.subscribe();
            tokio::spawn(async move {
                let (mut buffer, mut draws) = (vec![0; MOST], Pcg32::seed_from_u64(!seed));
                loop {
                    let Ok(count) = far.recv(&mut buffer).await else {
                        continue;
                    };
                    let (pass, to) = (state.borrow().back, *hears.borrow());
                    let Some(to) = to else { continue };
                    for late in copies(pass, &mut draws) {
                        let (near, text) = (Arc::clone(&near), buffer[..count].to_vec());
                        tokio::spawn(async move {
                            tokio::time::sleep(late).await;
                            let _ = near.send_to(&text, to).await;
                        });
                    }
                }
            })
        };
        Ok(Datagrams {
            address,
            state,
            counters,
            tasks: [forth.abort_handle(), back.abort_handle()],
        })
    }

    /// Changes how it passes datagrams on.
    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }

    /// What came to it so far on its way forth.
    pub fn sent(&self) -> Sent {
        let Counters { bytes, datagrams } = &*self.counters;
        Sent {
            bytes: bytes.load(Ordering::Relaxed),
            datagrams: datagrams.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// When each copy of one datagram goes on; none: it is lost.
fn copies(pass: Pass, draws: &mut Pcg32) -> Vec<Duration> {
    // As many draws whatever comes of them: one datagram's lot does not move the next one's.
    let (lost, doubled) = (
        draws.gen_bool(pass.lost.clamp(0.0, 1.0)),
        draws.gen_bool(pass.doubled.clamp(0.0, 1.0)),
    );
    let late = [draws.gen_range(0.0..=1.0), draws.gen_range(0.0..=1.0)]
        .map(|share| pass.late.mul_f64(share));
    let count = if pass.cut || lost {
        0
    } else {
        1 + usize::from(doubled)
    };
    late[..count].to_vec()
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
        let link = Datagrams::to(watch::channel(Some(echo().await)).1, 1)
            .await
            .expect("a link");
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        socket.connect(link.address).await.expect("it hears");
        let mut buffer = [0; 64];
        socket.send(b"a").await.expect("sent");
        assert_eq!(socket.recv(&mut buffer).await.expect("echoed"), 1);
        // Doubled forth and back: four.
        link.set(|s| (s.forth.doubled, s.back.doubled) = (1.0, 1.0));
        socket.send(b"b").await.expect("sent");
        for _ in 0..4 {
            socket.recv(&mut buffer).await.expect("echoed");
            assert_eq!(buffer[0], b'b');
        }
        // It hears and is not heard; what was lost does not come later.
        link.set(|s| {
            s.forth = Pass {
                cut: true,
                ..Pass::default()
            }
        });
        socket.send(b"c").await.expect("sent");
        link.set(|s| *s = State::default());
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
        let pass = Pass {
            cut: false,
            lost: 0.3,
            doubled: 0.2,
            late: Duration::from_millis(10),
        };
        let all = |seed| {
            let mut draws = Pcg32::seed_from_u64(seed);
            (0..1_000)
                .map(|_| copies(pass, &mut draws))
                .collect::<Vec<_>>()
        };
        assert_eq!(all(7), all(7));
        assert_ne!(all(7), all(8));
        let of = |count: usize| all(7).iter().filter(|c| c.len() == count).count();
        assert!(
            (250..350).contains(&of(0)) && (90..190).contains(&of(2)),
            "{} {}",
            of(0),
            of(2)
        );
        assert!(all(7).iter().flatten().all(|late| *late <= pass.late));
    }
}
