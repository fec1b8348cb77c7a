//! The way between two: delay, loss, partition.

use crate::draw::Draws;
use crate::scenario::{Fault, NetworkSpec, Trouble};
use crate::Micros;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It arrives then.
    Arrives(Micros),
    /// It never arrives, and the sender is not told.
    Vanishes,
}

/// The network of a scenario.
#[derive(Clone, Debug)]
pub struct Network {
    spec: NetworkSpec,
    faults: Vec<Fault>,
    draws: Draws,
}

/// Most times that one packet is lost.
const LOST_MOST: u64 = 6;

impl Network {
    /// A network with these faults.
    pub fn new(spec: NetworkSpec, faults: &[Fault], draws: Draws) -> Self {
        let concerns = |f: &&Fault| {
            matches!(
                f.trouble,
                Trouble::Partition { .. } | Trouble::Loss { .. } | Trouble::Lag { .. }
            )
        };
        Network {
            spec,
            faults: faults.iter().filter(concerns).copied().collect(),
            draws,
        }
    }

    fn now(&self, now: Micros) -> impl Iterator<Item = &Trouble> {
        self.faults
            .iter()
            .filter(move |f| f.from <= now && now < f.until)
            .map(|f| &f.trouble)
    }

    /// A packet that is sent now between a proxy and `host` (None: the list service); `near` if both are of one zone.
    /// `what` names it in all draws.
    pub fn way(&self, now: Micros, host: Option<usize>, near: bool, what: (u64, u64, u64)) -> Way {
        let (least, most) = if near { self.spec.near } else { self.spec.far };
        let mut delay = self.draws.between(what, (least, most));
        for trouble in self.now(now) {
            match *trouble {
                Trouble::Partition { host: cut } if Some(cut) == host => return Way::Vanishes,
                Trouble::Lag { extra } => delay += extra,
                Trouble::Loss { share } => {
                    // Each time it is lost it waits twice as long, as TCP has it.
                    let lost = (0..LOST_MOST).take_while(|n| {
                        self.draws
                            .happens((what.0 ^ 0x10_5e, what.1, what.2 * 8 + n), share)
                    });
                    delay += self.spec.resend * ((1 << lost.count()) - 1);
                }
                _ => {}
            }
        }
        Way::Arrives(now + delay.max(1))
    }

    /// The longest that a packet takes without faults.
    pub fn longest(&self) -> Micros {
        self.spec.near.1.max(self.spec.far.1)
    }
}
