//! The network: delay, loss and partitions.

use crate::random::RandomStreams;
use crate::scenario::{Fault, FaultKind, NetworkSpec};
use crate::Micros;

/// What happens to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The packet arrives at this time.
    Arrives(Micros),
    /// The packet never arrives, and the sender gets no notice.
    Lost,
}

/// The network of a scenario.
#[derive(Clone, Debug)]
pub struct Network {
    spec: NetworkSpec,
    faults: Vec<Fault>,
    random: RandomStreams,
}

/// Maximum number of times that one packet is lost.
const MAX_LOSSES: u64 = 6;

impl Network {
    /// A network with those of the faults that affect it.
    pub fn new(spec: NetworkSpec, faults: &[Fault], random: RandomStreams) -> Self {
        let affects_network = |f: &&Fault| {
            matches!(
                f.kind,
                FaultKind::Partition { .. }
                    | FaultKind::PacketLoss { .. }
                    | FaultKind::NetworkDelay { .. }
            )
        };
        Network {
            spec,
            faults: faults.iter().filter(affects_network).copied().collect(),
            random,
        }
    }

    fn active_faults(&self, now: Micros) -> impl Iterator<Item = &FaultKind> {
        self.faults
            .iter()
            .filter(move |f| f.from <= now && now < f.until)
            .map(|f| &f.kind)
    }

    /// Sends a packet between a proxy and `host` (None: the list service). `same_zone` says whether both are in one
    /// zone; `key` identifies the packet in the random streams.
    pub fn send(
        &self,
        now: Micros,
        host: Option<usize>,
        same_zone: bool,
        key: (u64, u64, u64),
    ) -> Delivery {
        let (min, max) = if same_zone {
            self.spec.same_zone
        } else {
            self.spec.cross_zone
        };
        let mut delay = self.random.integer(key, (min, max));
        for fault in self.active_faults(now) {
            match *fault {
                FaultKind::Partition { host: partitioned } if Some(partitioned) == host => {
                    return Delivery::Lost
                }
                FaultKind::NetworkDelay { extra } => delay += extra,
                FaultKind::PacketLoss { share } => {
                    // As in TCP, the retransmission delay doubles with each loss of the packet.
                    let losses = (0..MAX_LOSSES).take_while(|n| {
                        self.random
                            .occurs((key.0 ^ 0x10_5e, key.1, key.2 * 8 + n), share)
                    });
                    delay += self.spec.retransmit_delay * ((1 << losses.count()) - 1);
                }
                _ => {}
            }
        }
        Delivery::Arrives(now + delay.max(1))
    }

    /// The longest delay of a packet without faults.
    pub fn max_delay(&self) -> Micros {
        self.spec.same_zone.1.max(self.spec.cross_zone.1)
    }
}
