//! The seeded schedule of a soak run: limits, crowds and signals.

use badgerramp_testkit::crowd::Behavior;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// The memory limits that are drawn from, in MiB.
const MEMORY_LIMITS: [u64; 4] = [32, 32, 64, 192];
/// The descriptor limits that are drawn from.
const DESCRIPTOR_LIMITS: [usize; 3] = [256, 1_024, 1_024];
/// Clients hold this part of the descriptors at most, as a divisor.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 3;
/// Number of usual clients.
pub(super) const USUAL_CLIENTS: usize = 4;
/// Number of times the proxy is started in a run.
const LIVES: usize = 3;
/// Most reloads in one life.
const MAX_RELOADS: usize = 4;

/// How a life of the proxy ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// SIGKILL.
    Kill,
    /// SIGTERM, then SIGKILL once the longest deadline and the grace for it are over.
    Terminate,
}

/// One life of the proxy, from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    /// The clients of the crowd.
    pub members: Vec<(Behavior, usize)>,
    /// Times of SIGHUP, from the arrival of the crowd.
    pub reloads: Vec<Duration>,
    /// How long the crowd is there before the life ends.
    pub duration: Duration,
    /// How the life ends.
    pub end: LifeEnd,
}

/// The schedule of a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of the run.
    pub seed: u64,
    /// Limit of memory, in MiB.
    pub memory_mb: u64,
    /// Limit of descriptors.
    pub descriptors: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// The lives of the proxy.
    pub lives: Vec<Life>,
}

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn draw(seed: u64) -> Schedule {
        let mut random = Pcg32::seed_from_u64(seed);
        let memory_mb = *MEMORY_LIMITS
            .choose(&mut random)
            .unwrap_or(&MEMORY_LIMITS[0]);
        let descriptors = *DESCRIPTOR_LIMITS
            .choose(&mut random)
            .unwrap_or(&DESCRIPTOR_LIMITS[0]);
        let hosts = random.gen_range(8..=24);
        let crowd = descriptors / CLIENT_DESCRIPTOR_DIVISOR - USUAL_CLIENTS;
        let lives = (0..LIVES).map(|_| draw_life(&mut random, crowd)).collect();
        Schedule {
            seed,
            memory_mb,
            descriptors,
            hosts,
            lives,
        }
    }
}

fn draw_life(random: &mut Pcg32, crowd: usize) -> Life {
    let duration = Duration::from_millis(random.gen_range(2_000..4_000));
    let reloads = random.gen_range(0..=MAX_RELOADS);
    let mut reloads: Vec<Duration> = (0..reloads)
        .map(|_| duration.mul_f64(random.gen_range(0.0..1.0)))
        .collect();
    reloads.sort_unstable();
    let end = if random.gen_bool(0.3) {
        LifeEnd::Kill
    } else {
        LifeEnd::Terminate
    };
    Life {
        members: draw_members(random, crowd),
        reloads,
        duration,
        end,
    }
}

/// One to four behaviors that share the crowd.
fn draw_members(random: &mut Pcg32, crowd: usize) -> Vec<(Behavior, usize)> {
    let mut left = crowd;
    let mut members = Vec::new();
    for _ in 0..random.gen_range(1..=3) {
        let count = random.gen_range(1..=left.max(2) / 2);
        members.push((draw_behavior(random), count));
        left -= count;
    }
    members.push((draw_behavior(random), left));
    for (behavior, count) in &mut members {
        // A few are enough to use the proxy's part of a core.
        if matches!(behavior, Behavior::Flood { .. }) {
            *count = (*count).min(4);
        }
    }
    members
}

fn draw_behavior(random: &mut Pcg32) -> Behavior {
    match random.gen_range(0..9) {
        0 | 1 => Behavior::SlowBody {
            length: random.gen_range(1 << 10..=64 << 10),
            piece: random.gen_range(64..4_096),
            stops: random.gen(),
        },
        2 => Behavior::Kept {
            request: random.gen_range(0..=64 << 10),
            response: random.gen_range(0..=64 << 10),
            pause: random.gen_range(50..1_500),
        },
        3 => Behavior::EndlessHead {
            length: random.gen_range(1_000..32_000),
            field: random.gen_range(1..10_000),
            piece: random.gen_range(100..32_000),
        },
        4 => Behavior::ManyFields {
            fields: random.gen_range(10..95),
            length: random.gen_range(1..150),
            work: random.gen_range(1..300),
        },
        5 => Behavior::UnreadResponse {
            response: random.gen_range(1 << 10..=64 << 10),
        },
        6 => Behavior::Silent,
        7 => Behavior::Flood {
            start: [
                "GET /_health",
                "GET /unknown-*",
                "GET /safe/*?answer=9",
                "POST /unsafe/*",
            ]
            .choose(random)
            .copied()
            .unwrap_or("GET /_health"),
            batch: random.gen_range(1..100),
        },
        _ => Behavior::SendAndLeave {
            excess: random.gen_range(0..2 << 20),
        },
    }
}
