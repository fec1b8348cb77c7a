//! Slow start.

use super::*;

/// Chance of a cold server to be drawn for a call, over its present share of the fleet's capacity.
pub(super) const SLOW_START_DRAW_FACTOR: f64 = 1.2;
/// Share of calls served that this chance goes by at the least: clients that try four times, at an offered
/// load of 1.4, then ask a cold server for no more than the least multiple that one is built to bear
/// (1.2 x 1.4 x 4 x 0.2 < 2).
pub(super) const MIN_GOODPUT: f64 = 0.2;

impl Balancer {
    /// All balancers hear of a cold server together, and each finds it idle. It gets calls by lot,
    /// with the chance of its present share of the capacity. Repeats draw none: they come in storms. Where
    /// they are not marked, or balancers are many, the share of calls that are served bounds it: all together
    /// serve no more than all servers can do, so that the lots of all balancers stay within a cold server's
    /// part of that, however often clients ask (`tests/cold.rs`).
    pub(super) fn draw_slow_start(&mut self, now: Micros, id: CallId) -> Option<usize> {
        let call = self
            .calls
            .get_mut(&id)
            .filter(|c| c.may_draw_slow_start && c.attempts.is_empty())?;
        call.may_draw_slow_start = false;
        if self.endpoints.count(CandidateSet::SlowStart) == 0 {
            return None;
        }
        let (lot, rules) = (self.random_unit(), self.settings.rules);
        let cold = self.endpoints.slow_start_size(now, &rules);
        let all = self.endpoints.total_size() - self.endpoints.slow_start_full_size() + cold;
        // First tries alone draw lots where repeats are marked: a few balancers' stay within bounds by that.
        let first_alone = self.settings.clients_mark_retries && !self.is_sparse();
        let goodput = if first_alone {
            1.0
        } else {
            self.goodput.max(MIN_GOODPUT)
        };
        if lot * all >= cold * SLOW_START_DRAW_FACTOR * goodput {
            return None;
        }
        let Balancer {
            endpoints, random, ..
        } = self;
        let slot = endpoints.draw_slow_start(random, |s| s.slow_start_capacity(now, &rules))?;
        let endpoint = &self.endpoints[slot];
        (endpoint.is_usable(now) && !endpoint.at_limit(now, &rules)).then_some(slot)
    }
}
