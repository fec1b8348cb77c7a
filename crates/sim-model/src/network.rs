//! The way between two: delay, loss, partition.

use crate::random::RandomStreams;
use crate::scenario::{Fault, FaultKind, NetworkSpec};
use crate::Micros;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives then.
    Arrives(Micros),
    /// It never arrives, and the sender is not told.
    Lost,
}

/// The network of a scenario.
#[derive(Clone, Debug)]
pub struct Network {
    spec: NetworkSpec,
    faults: Vec<Fault>,
    draws: RandomStreams,
}

/// Most times that one packet is lost.
const LOST_MOST: u64 = 6;

impl Network {
    /// A network with these faults.
    pub fn new(spec: NetworkSpec, faults: &[Fault], draws: RandomStreams) -> Self {
        let concerns = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::Partition { .. }
                    | FaultKind::PacketLoss { .. }
                    | FaultKind::NetworkDelay { .. }
            )
        };
        Network {
            spec,
            faults: faults.iter().filter(concerns).copied().collect(),
            draws,
        }
    }

    fn now(&self, now: Micros) -> impl Iterator<Item = &FaultKind> {
        self.faults
            .iter()
            .filter(move |f| f.from <= now && now < f.until)
            .map(|f| &f.kind)
    }

    /// A packet that is sent now between a proxy and `host` (None: the list service); `near` if both are of one zone.
    /// `what` names it in all draws.
    pub fn send(
        &self,
        now: Micros,
        host: Option<usize>,
        near: bool,
        what: (u64, u64, u64),
    ) -> Delivery {
        let (least, most) = if near {
            self.spec.same_zone
        } else {
            self.spec.cross_zone
        };
        let mut delay = self.draws.integer(what, (least, most));
        for trouble in self.now(now) {
            match *trouble {
                FaultKind::Partition { host: cut } if Some(cut) == host => return Delivery::Lost,
                FaultKind::NetworkDelay { extra } => delay += extra,
                FaultKind::PacketLoss { share } => {
                    // Each time it is lost it waits twice as long, as TCP has it.
                    let lost = (0..LOST_MOST).take_while(|n| {
                        self.draws
                            .occurs((what.0 ^ 0x10_5e, what.1, what.2 * 8 + n), share)
                    });
                    delay += self.spec.retransmit_delay * ((1 << lost.count()) - 1);
                }
                _ => {}
            }
        }
        Delivery::Arrives(now + delay.max(1))
    }

    /// The longest that a packet takes without faults.
    pub fn max_delay(&self) -> Micros {
        self.spec.same_zone.1.max(self.spec.cross_zone.1)
    }
}
