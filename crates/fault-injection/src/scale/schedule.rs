//! The fault schedule of a scale run, generated from a seed.

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
    /// Some proxies are terminated and restarted, one after the other.
    Restart,
    /// Two proxies are killed and not restarted.
    Machines,
    /// The proxies of a rack and one replica of their zone are killed at once, and restarted later.
    Rack,
    /// The proxies and the replicas of a zone are killed at once, and restarted later.
    Zone,
    /// The first region is partitioned from the others for some time.
    CutRegion,
}

/// All kinds of faults.
pub const KINDS: [Kind; 5] = [
    Kind::Restart,
    Kind::Machines,
    Kind::Rack,
    Kind::Zone,
    Kind::CutRegion,
];

/// Time from the first call to the beginning of the fault.
const FAULT_DELAY: Duration = Duration::from_secs(1);
/// Killed processes are down for this share of the time from the beginning of the fault to the end of the calls.
const DOWN_SHARE: f64 = 0.4;
/// Time by which a partition outlasts the timeouts of the control plane.
const CUT_MARGIN: Duration = Duration::from_secs(2);

impl Kind {
    /// The name of the kind in a serialized schedule and on the command line.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|kind| kind.name() == name)
    }
}

/// What is generated from a seed for one run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultSchedule {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The kind of fault, if any.
    pub fault: Option<Kind>,
    /// Proxies that the fault affects.
    pub proxies: Vec<usize>,
    /// Replicas that the fault affects.
    pub replicas: Vec<usize>,
    /// Pause before the measurement, in which the gossip about the simultaneous start ends.
    pub settle: Duration,
    /// Duration of the measurement of CPU time, memory and bytes; during it, policies are published and clients make no calls.
    #[serde(rename = "measured")]
    pub measurement_duration: Duration,
    /// Duration of the calls, which follow the measurement. The fault occurs in this time.
    #[serde(rename = "called")]
    pub call_duration: Duration,
    /// When the fault begins, from the beginning of the calls.
    pub from: Duration,
    /// When the fault ends, from the beginning of the calls.
    pub until: Duration,
}

impl FaultSchedule {
    /// Generates a schedule: draws the affected proxies and replicas, and derives all times.
    pub fn draw(
        seed: u64,
        fault: Option<Kind>,
        size: &Size,
        times: ControlTimes,
        seconds: u64,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let zone = rng.gen_range(0..size.zones);
        let (proxies, replicas) = match fault {
            None | Some(Kind::CutRegion) => (Vec::new(), Vec::new()),
            Some(Kind::Restart) => (size.some_of_either_kind(zone), Vec::new()),
            Some(Kind::Machines) => {
                let proxies_to_kill = [
                    rng.gen_range(0..size.real.max(1)),
                    rng.gen_range(size.real..size.proxies.max(size.real + 1)),
                ];
                (
                    proxies_to_kill
                        .into_iter()
                        .filter(|&proxy| proxy < size.proxies)
                        .collect(),
                    Vec::new(),
                )
            }
            Some(Kind::Rack) => (
                size.rack(zone),
                size.replicas_in(zone).into_iter().take(1).collect(),
            ),
            Some(Kind::Zone) => (size.proxies_in(zone), size.replicas_in(zone)),
        };
        let total_duration = Duration::from_secs(seconds);
        let measurement_duration = total_duration / 3;
        let mut call_duration = total_duration - measurement_duration;
        let from = FAULT_DELAY;
        let until = match fault {
            Some(Kind::Machines) => call_duration,
            Some(Kind::CutRegion) => from + max_control_wait(times) + CUT_MARGIN,
            _ => from + (call_duration - from).mul_f64(DOWN_SHARE),
        };
        // Leave time for the fleet to recover after the fault.
        call_duration = call_duration.max(until + total_duration / 4);
        let settle = Duration::ZERO;
        FaultSchedule {
            seed,
            fault,
            proxies,
            replicas,
            settle,
            measurement_duration,
            call_duration,
            from,
            until,
        }
    }
}

/// An upper bound of the time for which the control plane waits for anything, elections included.
fn max_control_wait(times: ControlTimes) -> Duration {
    Duration::from_millis(times.lease_ms + times.wait_ms + 4 * times.election_ms)
}
