//! The random delay after which a proxy becomes a poller.

use crate::Micros;
use rand::Rng;
use rand_pcg::Pcg32;

/// Fleet size up to which the biased distribution keeps the number of early pollers small, as in RFC 4654.
const MAX_PROXIES: f64 = 10_000.0;

/// Maximum delay of a proxy that has no list, has had contact with a peer and knows of no poller. A poll, its answer
/// and their dissemination to the other proxies take about a tenth of this time, so that few proxies start needlessly.
pub(super) const TAKEOVER_SPAN: Micros = 1_000_000;

/// Maximum delay of a seed. Starting proxies contact the seeds first, so these need the list first.
pub(super) const SEED_TAKEOVER_SPAN: Micros = 100_000;

/// Maximum delay of a proxy that has a list, or knows of a healthy poller.
pub(super) const RELAXED_TAKEOVER_SPAN: Micros = 4_000_000;

/// Maximum delay of a proxy that knows only unreachable pollers.
pub(super) const UNREACHABLE_TAKEOVER_SPAN: Micros = 8_000_000;

/// Minimum delay of an isolated proxy. Machines that are switched on together, seeds among them, come up within a
/// second: with a shorter delay a proxy would poll before its seeds could have started.
pub(super) const MIN_ISOLATED_DELAY: Micros = 1_000_000;

/// Maximum delay of an isolated proxy. With this value, 300 isolated proxies send 75 polls in the first second after
/// the minimum delay, and fewer in each later second.
pub(super) const MAX_ISOLATED_DELAY: Micros = 16_000_000;

/// The distribution that a takeover delay is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeoverDelay {
    /// At most this long, with the distribution of RFC 4654.
    Within(Micros),
    /// The delay of an isolated proxy, whose logarithm is distributed uniformly.
    Isolated,
}

impl TakeoverDelay {
    /// Draws a delay. If `biased` is false, [`TakeoverDelay::Within`] has a uniform distribution.
    pub(super) fn sample(self, random: &mut Pcg32, biased: bool) -> Micros {
        let uniform: f64 = random.gen_range(f64::MIN_POSITIVE..=1.0);
        match self {
            TakeoverDelay::Within(span) if biased => {
                let share = (1.0 + uniform.ln() / MAX_PROXIES.ln()).max(0.0);
                (span as f64 * share) as Micros
            }
            TakeoverDelay::Within(span) => (span as f64 * uniform) as Micros,
            TakeoverDelay::Isolated => {
                let ratio = MAX_ISOLATED_DELAY as f64 / MIN_ISOLATED_DELAY as f64;
                (MIN_ISOLATED_DELAY as f64 * ratio.powf(uniform)) as Micros
            }
        }
    }
}
