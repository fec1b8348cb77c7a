//! The random delay after which a proxy becomes a poller.

use crate::Micros;
use rand::Rng;
use rand_pcg::Pcg32;

/// Fleet size up to which the biased distribution keeps the number of early pollers small (the figure of RFC 4654).
const MAX_PROXIES: f64 = 10_000.0;

/// Span of the delay of a proxy that has no list, has had contact with a peer and knows of no poller. A poll, its answer
/// and their way to the other proxies take about a tenth of it, so that few start in vain.
pub(super) const TAKEOVER_SPAN: Micros = 1_000_000;

/// Span of the delay of a seed, which starting proxies contact: it is the first to need the list.
pub(super) const SEED_TAKEOVER_SPAN: Micros = 100_000;

/// Span of the delay of a proxy that has a list, or knows of a healthy poller.
pub(super) const RELAXED_TAKEOVER_SPAN: Micros = 4_000_000;

/// Span of the delay of a proxy that knows that all pollers fail.
pub(super) const UNREACHABLE_TAKEOVER_SPAN: Micros = 8_000_000;

/// Least delay of an isolated proxy. Machines that are switched on together come up within a second, seeds among them:
/// a proxy that polls before has not waited for any seed.
pub(super) const MIN_ISOLATED_DELAY: Micros = 1_000_000;

/// Greatest delay of an isolated proxy: 300 of them send 75 polls in the first second after the least delay, and fewer
/// in each later one.
pub(super) const MAX_ISOLATED_DELAY: Micros = 16_000_000;

/// The distribution that a takeover delay is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeoverDelay {
    /// At most this span, by the distribution of RFC 4654.
    Within(Micros),
    /// The delay of an isolated proxy: its logarithm is distributed evenly.
    Isolated,
}

impl TakeoverDelay {
    /// Draws a delay; `biased`: by the distribution of RFC 4654, else evenly.
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
