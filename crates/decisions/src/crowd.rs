//! How crowded the servers are by what they tell with their answers, and which share of the calls that makes a
//! balancer turn back: for a fleet of more balancers than servers, where no balancer's own calls show it.

use crate::api::Micros;

/// Time over which a word of a server's load fades: servers tell it anew about as often.
const FADES: f64 = 1_000_000.0;
/// Weight of a word at the least, where many come within that time: about twenty are remembered.
const WEIGHT_LEAST: f64 = 0.05;
/// Crowding (requests waiting for each in work) from which calls are turned back, and at which all are. As many
/// waiting as in work is what counts as strain elsewhere too; half of that is where an even rise to it begins.
const FROM: f64 = 0.5;
const ALL: f64 = 1.5;
/// The crowding of a server that tells nothing: the most that a report is taken for.
pub(crate) const MOST: f64 = 4.0;

/// A server's last word of how crowded it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Word {
    crowding: f64,
    at: Micros,
}

/// The crowding of late of all servers that this balancer has heard of, as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crowd {
    level: f64,
    heard: Micros,
}

impl Crowd {
    /// A server told of this crowding. What was heard longer ago counts less, so a balancer of few calls goes by
    /// its last word, and one of many by all of the last second.
    pub(crate) fn told(&mut self, now: Micros, word: &mut Word, crowding: f64) {
        *word = Word { crowding, at: now };
        let passed = now.saturating_sub(std::mem::replace(&mut self.heard, now)) as f64;
        let weight = (1.0 - (-passed / FADES).exp()).max(WEIGHT_LEAST);
        self.level += (crowding - self.level) * weight;
    }

    /// A server answered nothing in time, or turned a call away: what is crowded most tells nothing.
    pub(crate) fn silent(&mut self, now: Micros, word: &mut Word) {
        self.told(now, word, MOST);
    }

    /// The crowding to expect of a server with this word: its own while that is fresh, later all servers', and none
    /// where nothing was heard for long.
    pub(crate) fn expected(&self, now: Micros, word: Word) -> f64 {
        let fresh = |at: Micros| (-(now.saturating_sub(at) as f64) / FADES).exp();
        let known = if word.at == 0 { 0.0 } else { fresh(word.at) };
        word.crowding * known + self.level * fresh(self.heard) * (1.0 - known)
    }
}

/// The share of calls to turn back where this crowding is expected. It rises evenly: all balancers hear the same at
/// about the same time, and a step would empty and fill the servers in turn.
pub(crate) fn turned_back(crowding: f64) -> f64 {
    ((crowding - FROM) / (ALL - FROM)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn a_servers_own_word_counts_while_it_is_fresh_and_all_servers_later() {
        let (mut crowd, mut own, mut other) = (Crowd::default(), Word::default(), Word::default());
        crowd.told(9 * S, &mut own, 0.0);
        (0..200).for_each(|n| crowd.told(9 * S + n, &mut other, 3.0));
        let at = |now, word: &Word| crowd.expected(now, *word);
        assert!(at(9 * S + 200, &own) < 0.1 && at(9 * S + 200, &other) > 2.9);
        assert!(
            (0.5..1.0).contains(&at(10 * S, &own)),
            "{}",
            at(10 * S, &own)
        );
        assert!(
            at(20 * S, &own) < 0.01 && at(20 * S, &other) < 0.01,
            "what is long ago says nothing"
        );
        let met_by_none = Word::default();
        assert!(
            at(9 * S + 200, &met_by_none) > 2.5,
            "it is like those that are known"
        );
    }

    #[test]
    fn one_word_of_a_balancer_of_few_calls_weighs_as_much_as_many_of_another() {
        let (mut quiet, mut busy, mut word) = (Crowd::default(), Crowd::default(), Word::default());
        quiet.told(10 * S, &mut word, 2.0);
        (1..=100).for_each(|n| busy.told(9 * S + n * 10_000, &mut word, 2.0));
        assert!(
            quiet.level > 1.9 && busy.level > 1.2,
            "{} {}",
            quiet.level,
            busy.level
        );
    }

    #[test]
    fn the_share_turned_back_rises_evenly_from_none_to_all() {
        let shares: Vec<f64> = (0..50).map(|n| turned_back(f64::from(n) * 0.05)).collect();
        assert!(
            shares
                .windows(2)
                .all(|w| w[0] <= w[1] && w[1] - w[0] < 0.06),
            "{shares:?}"
        );
        assert_eq!((shares[0], shares[49]), (0.0, 1.0));
    }
}
