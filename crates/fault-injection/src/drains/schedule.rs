//! The fault schedule of a run with draining hosts: which faults occur when, generated from a seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault. In every run, in addition, all watches become silent once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// All connections to the list service are reset shortly before hosts drain.
    Reset,
    /// The first answer on a new connection is delayed by up to 0.9 s.
    #[serde(rename = "late")]
    DelayedAnswers,
    /// Watches become silent a second time, including those opened after the first time.
    SilentAgain,
    /// The list service is down for some seconds, during which hosts drain.
    Down,
    /// A reload with SIGHUP moves the list service to another address while watches are silent.
    #[serde(rename = "move")]
    MoveService,
    /// A proxy is suspended (SIGSTOP) for up to five seconds and resumed.
    Stop,
    /// A proxy is killed and restarted with the list of its first start.
    Kill,
    /// A draining host is up again within a second, as another process.
    #[serde(rename = "again")]
    HostReturns,
    /// The first polls of all proxies together take the list service 1.5 s.
    #[serde(rename = "slow")]
    SlowService,
    /// A proxy receives SIGTERM while hosts drain, and clients keep connecting for 0.3 s. Then it is restarted.
    Restart,
    /// A third of the clients close their connection right after sending the request, half of them after sending more
    /// bytes.
    #[serde(rename = "leave")]
    ClientsDisconnect,
}

/// All kinds of faults.
pub const KINDS: [Kind; 11] = [
    Kind::Reset,
    Kind::DelayedAnswers,
    Kind::SilentAgain,
    Kind::Down,
    Kind::MoveService,
    Kind::Stop,
    Kind::Kill,
    Kind::HostReturns,
    Kind::SlowService,
    Kind::Restart,
    Kind::ClientsDisconnect,
];

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
        KINDS.into_iter().find(|k| k.name() == name)
    }
}

/// The fault schedule of one run. All times are relative to the moment when the proxies are ready.
#[derive(Clone, Debug, Serialize)]
pub struct FaultSchedule {
    /// The seed of the random number generator.
    pub seed: u64,
    /// Whether lists are pushed.
    pub pushed: bool,
    /// Time within which requests to a draining host must stop.
    #[serde(rename = "grace")]
    pub drain_grace: Duration,
    /// When all open watches become silent.
    #[serde(rename = "silent")]
    pub silent_at: Duration,
    /// Which hosts drain, and when.
    pub drains: Vec<(Duration, usize)>,
    /// Additional faults, each with the index of the affected proxy.
    pub faults: Vec<(Kind, usize)>,
    /// Length of the run.
    pub length: Duration,
}

impl FaultSchedule {
    /// Generates the schedule of a seed for this many proxies and hosts; `only` replaces the random faults by one of
    /// this kind.
    pub fn draw(seed: u64, (proxies, hosts): (usize, usize), only: Option<Kind>) -> FaultSchedule {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |from: u64, to: u64| Duration::from_millis(rng.gen_range(from..=to));
        let (silent_at, drains_after, drain_grace) = (ms(100, 2_500), ms(1, 900), ms(500, 1_000));
        let (pushed, count) = (rng.gen_bool(0.3), rng.gen_range(0..=2));
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(&mut rng);
        let drains = order[..(hosts / 4).max(1)]
            .iter()
            .map(|&host| {
                (
                    silent_at + drains_after + Duration::from_millis(rng.gen_range(0..600)),
                    host,
                )
            })
            .collect();
        let kinds: Vec<Kind> = match only {
            Some(kind) => vec![kind],
            None => KINDS.choose_multiple(&mut rng, count).copied().collect(),
        };
        let faults = kinds
            .into_iter()
            .map(|kind| (kind, rng.gen_range(0..proxies)))
            .collect();
        FaultSchedule {
            seed,
            pushed,
            drain_grace,
            silent_at,
            drains,
            faults,
            length: silent_at + Duration::from_secs(11),
        }
    }

    /// The proxy affected by a fault of this kind, if the schedule has one.
    pub fn target_of(&self, kind: Kind) -> Option<usize> {
        self.faults.iter().find(|f| f.0 == kind).map(|f| f.1)
    }
}
