//! What goes wrong in a course, drawn from a seed.

use super::files::ControlTimes;
use super::layout::Size;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Some proxies are told to end, one after the other, and started again.
    Restart,
    /// Two proxies are killed and stay away.
    Machines,
    /// A twentieth of the proxies and a replica of their zone are killed at once, and come back.
    Rack,
    /// The proxies and the replicas of a zone are killed at once, and come back.
    Zone,
    /// Nothing passes between the first region and the others; then it passes again.
    CutRegion,
}

/// All kinds.
pub const KINDS: [Kind; 5] = [
    Kind::Restart,
    Kind::Machines,
    Kind::Rack,
    Kind::Zone,
    Kind::CutRegion,
];

/// A fault begins so long after the calls do.
const BEGINS: Duration = Duration::from_secs(1);
/// What was killed is away for this share of the time that is left.
const AWAY_SHARE: f64 = 0.4;
/// Beyond the longest time that control's own settings name.
const CUT_BEYOND: Duration = Duration::from_secs(2);

impl Kind {
    /// Its name, as a command line has it.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|kind| kind.name() == name)
    }
}

/// One course.
#[derive(Clone, Debug, Serialize)]
pub struct Course {
    /// All chance is drawn from it.
    pub seed: u64,
    /// What goes wrong; `None`: nothing.
    pub fault: Option<Kind>,
    /// Proxies that are hit.
    pub proxies: Vec<usize>,
    /// Replicas that are hit.
    pub replicas: Vec<usize>,
    /// Before measuring, so that peers are done with telling each other of the start.
    pub settle: Duration,
    /// Nothing but publishes happens for so long, while processor time, memory and bytes are measured.
    pub measured: Duration,
    /// Then clients call for so long, and the fault comes.
    pub called: Duration,
    /// When the fault begins and ends, since the calls began.
    pub from: Duration,
    /// ...
    pub until: Duration,
}

impl Course {
    /// Draws whom the fault hits.
    pub fn draw(
        seed: u64,
        fault: Option<Kind>,
        size: &Size,
        times: ControlTimes,
        seconds: u64,
    ) -> Self {
        let mut draws = Pcg32::seed_from_u64(seed);
        let zone = draws.gen_range(0..size.zones);
        let (proxies, replicas) = match fault {
            None | Some(Kind::CutRegion) => (Vec::new(), Vec::new()),
            Some(Kind::Restart) => (size.some_of_either_kind(zone), Vec::new()),
            Some(Kind::Machines) => {
                let machines = [
                    draws.gen_range(0..size.real.max(1)),
                    draws.gen_range(size.real..size.proxies.max(size.real + 1)),
                ];
                (
                    machines.into_iter().filter(|&m| m < size.proxies).collect(),
                    Vec::new(),
                )
            }
            Some(Kind::Rack) => (
                size.rack(zone),
                size.replicas_in(zone).into_iter().take(1).collect(),
            ),
            Some(Kind::Zone) => (size.proxies_in(zone), size.replicas_in(zone)),
        };
        let whole = Duration::from_secs(seconds);
        let measured = whole / 3;
        let mut called = whole - measured;
        let from = BEGINS;
        let until = match fault {
            Some(Kind::Machines) => called,
            Some(Kind::CutRegion) => from + longest(times) + CUT_BEYOND,
            _ => from + (called - from).mul_f64(AWAY_SHARE),
        };
        // After a fault there is time to see all come back.
        called = called.max(until + whole / 4);
        let settle = Duration::ZERO;
        Course {
            seed,
            fault,
            proxies,
            replicas,
            settle,
            measured,
            called,
            from,
            until,
        }
    }
}

/// No setting of control's names a time that is longer, elections included.
fn longest(times: ControlTimes) -> Duration {
    Duration::from_millis(times.lease_ms + times.wait_ms + 4 * times.election_ms)
}
