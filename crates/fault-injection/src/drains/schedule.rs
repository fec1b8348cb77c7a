//! What goes wrong while hosts leave, drawn from a seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::time::Duration;

/// A kind of fault, beside the silence of all watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// All connections to the service are reset shortly before hosts drain.
    Reset,
    /// What a fresh connection brings is late, by up to 0.9 s.
    #[serde(rename = "late")]
    DelayedAnswers,
    /// A second silence, of what was opened after the first.
    SilentAgain,
    /// The service is down for some seconds, and hosts drain meanwhile.
    Down,
    /// SIGHUP moves the service while watches are silent.
    #[serde(rename = "move")]
    MoveService,
    /// A proxy stands still (SIGSTOP) for up to five seconds and goes on.
    Stop,
    /// A proxy is killed and started again, with the list of its first start.
    Kill,
    /// A host that drains is up again within a second, as another process.
    #[serde(rename = "again")]
    HostReturns,
    /// One question of each proxy that begins a watch takes the service a second and a half together.
    #[serde(rename = "slow")]
    SlowService,
    /// A proxy is told to end (SIGTERM) while hosts drain; clients go on for 0.3 s. Then it is started again.
    Restart,
    /// A third of the clients leave right after they asked, half of these with more bytes behind their request.
    #[serde(rename = "leave")]
    ClientsDisconnect,
}

/// All kinds.
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
    /// Its name, as it stands in a course that was written down.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|k| k.name() == name)
    }
}

/// A course. All times count from when the proxies are ready.
#[derive(Clone, Debug, Serialize)]
pub struct FaultSchedule {
    /// It was drawn from this.
    pub seed: u64,
    /// Lists are pushed.
    pub pushed: bool,
    /// Time in which sends to a host that drains must end.
    #[serde(rename = "grace")]
    pub drain_grace: Duration,
    /// When all open watches fall silent.
    #[serde(rename = "silent")]
    pub silent_at: Duration,
    /// When each of these hosts begins to drain.
    pub drains: Vec<(Duration, usize)>,
    /// What else goes wrong, and whom it concerns.
    pub faults: Vec<(Kind, usize)>,
    /// How long it lasts.
    pub length: Duration,
}

impl FaultSchedule {
    /// The course of this seed, for so many proxies and hosts. `only`: this fault, and no other.
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

    /// Does this go wrong in it?
    pub fn target_of(&self, kind: Kind) -> Option<usize> {
        self.faults.iter().find(|f| f.0 == kind).map(|f| f.1)
    }
}
