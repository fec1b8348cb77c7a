//! State of a fleet in one region with its control plane, and the events that change it.

use crate::mutant::Mutant;
use badgerramp_policy::{
    Admission, Command, Generation, GrantOutcome, Identity, InvariantChecker, Lease, LeaseConfig,
    LeaseGrant, LeaseHolder, LeaseHolderConfig, LeaseRequest, Leases, OnLeaseLoss, Outcome, Record,
    StartedCall,
};
use std::collections::BTreeSet;

/// Bounds of a model.
#[derive(Clone, Debug)]
pub(crate) struct LeaseModel {
    /// What each proxy does when its lease has expired.
    pub(crate) proxies: Vec<OnLeaseLoss>,
    /// Duration of a lease.
    pub(crate) lease: u64,
    /// Maximum number of requests of each proxy process.
    pub(crate) max_requests: u64,
    pub(crate) publishes: u8,
    pub(crate) crashes: u8,
    pub(crate) elections: u8,
    pub(crate) aborts: u8,
    /// Time at which the clock stops.
    pub(crate) until: u64,
    /// The seeded defect.
    pub(crate) mutant: Option<Mutant>,
}

/// Longest time that a clock falls behind during one lease.
pub(crate) const CLOCK_DRIFT: u64 = 1;
/// Time after which a proxy's request times out.
pub(crate) const REQUEST_TIMEOUT: u64 = 1;

/// An event. Proxies are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Step {
    /// Time advances by one tick, which the clock of this proxy, if any, misses.
    Tick(Option<usize>),
    SendRequest(usize),
    /// The request of a proxy with this sequence number arrives. It may arrive again.
    DeliverRequest(usize, u64),
    /// The grant at this index of the grants in flight arrives. It may arrive again.
    DeliverGrant(usize),
    Publish,
    Advance,
    Abort,
    Crash(usize),
    Elect,
}

/// Number of events of each kind that may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Remaining {
    pub(crate) publishes: u8,
    pub(crate) crashes: u8,
    pub(crate) elections: u8,
    pub(crate) aborts: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) now: u64,
    pub(crate) record: Record,
    pub(crate) leases: Leases,
    /// Leases and record of the previous leader, which may not know that it was deposed.
    pub(crate) deposed: Option<(Leases, Record)>,
    pub(crate) holders: Vec<LeaseHolder>,
    /// For each proxy, how far its clock is behind and when it last missed a tick.
    pub(crate) clock_lags: Vec<(u64, u64)>,
    /// Sequence number of each proxy's last request.
    pub(crate) last_requests: Vec<u64>,
    pub(crate) requests_in_flight: Vec<(usize, LeaseRequest)>,
    pub(crate) grants_in_flight: Vec<(usize, LeaseGrant)>,
    pub(crate) invariants: InvariantChecker,
    pub(crate) remaining: Remaining,
    /// The record before the last change, for mutants.
    pub(crate) previous_record: Option<Record>,
    pub(crate) violation: Option<&'static str>,
}

pub(crate) fn identity(proxy: usize, incarnation: u64) -> Identity {
    Identity {
        name: format!("p{proxy}"),
        incarnation,
    }
}

impl LeaseModel {
    pub(crate) fn holder(&self, proxy: usize, incarnation: u64) -> LeaseHolder {
        // Policy texts do not matter in this model, so all of them are loaded.
        let loaded = (0..4).map(Generation).collect();
        let config = LeaseHolderConfig {
            on_lease_loss: self.proxies[proxy],
            request_timeout: REQUEST_TIMEOUT,
            retry_delay: 1,
        };
        LeaseHolder::new(identity(proxy, incarnation), config, loaded)
    }

    pub(crate) fn lease_config(&self) -> LeaseConfig {
        let drift = if self.mutant == Some(Mutant::NoDriftAllowance) {
            0
        } else {
            CLOCK_DRIFT
        };
        LeaseConfig {
            duration: self.lease,
            max_clock_drift: drift,
        }
    }

    pub(crate) fn initial_state(&self) -> State {
        let mut record = Record::default();
        let fallback_generations = BTreeSet::new();
        record.apply(&Command::Publish {
            revision: 0,
            text: String::new(),
            fallback_generations,
            all_regions: None,
        });
        for (proxy, &on_lease_loss) in self.proxies.iter().enumerate() {
            if on_lease_loss != OnLeaseLoss::Reject {
                record.apply(&Command::Register {
                    identity: identity(proxy, 1),
                    on_lease_loss,
                });
            }
        }
        let now = self.lease + CLOCK_DRIFT;
        let mut state = State {
            now,
            record,
            // All leases of earlier leaders have expired.
            leases: Leases::after_election(self.lease_config(), 0),
            deposed: None,
            holders: (0..self.proxies.len())
                .map(|proxy| self.holder(proxy, 1))
                .collect(),
            clock_lags: vec![(0, 0); self.proxies.len()],
            last_requests: vec![0; self.proxies.len()],
            requests_in_flight: Vec::new(),
            grants_in_flight: Vec::new(),
            invariants: InvariantChecker::default(),
            remaining: Remaining {
                publishes: self.publishes,
                crashes: self.crashes,
                elections: self.elections,
                aborts: self.aborts,
            },
            previous_record: None,
            violation: None,
        };
        // Grants every proxy a lease in the initial state.
        for proxy in 0..self.proxies.len() {
            let request = state.holders[proxy].request(now);
            state.last_requests[proxy] = request.sequence;
            self.deliver_request(&mut state, proxy, &request);
            let (_, grant) = state.grants_in_flight.remove(0);
            self.deliver_grant(&mut state, proxy, grant);
        }
        state
    }

    /// Removes messages and leases that can no longer have an effect, so that equivalent states are equal.
    pub(crate) fn normalize(&self, state: &mut State) {
        let last_requests = &state.last_requests;
        if !self.has_defect(Mutant::AnyGrantAccepted) {
            let is_pending = |proxy: usize| state.holders[proxy].request_deadline().is_some();
            state.grants_in_flight.retain(|(proxy, grant)| {
                grant.sequence == last_requests[*proxy] && is_pending(*proxy)
            });
        }
        state.leases.expire(state.now);
        state
            .holders
            .iter_mut()
            .for_each(|holder| holder.request_soon(0));
    }

    pub(crate) fn has_defect(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    pub(crate) fn can_advance(&self, state: &State) -> bool {
        let Some(mode) = state.record.mode().filter(|mode| mode.is_transition()) else {
            return false;
        };
        let is_ignored = |blocker: &badgerramp_policy::Blocker| {
            self.has_defect(Mutant::LeaselessForgotten)
                && blocker.reason == badgerramp_policy::BlockReason::ServesWithoutLease
        };
        self.has_defect(Mutant::AdvanceEarly)
            || (state
                .leases
                .blockers(state.now, &state.record)
                .iter()
                .all(is_ignored)
                && state.leases.rejected_generation(mode).is_none())
    }

    pub(crate) fn deliver_request(&self, state: &mut State, proxy: usize, request: &LeaseRequest) {
        let mut request = request.clone();
        if self.has_defect(Mutant::ConfirmsEarly) {
            request.active_revision = state.record.revision();
        }
        if self.has_defect(Mutant::SameNameClearsLease) {
            (0..self.proxies.len())
                .filter(|&other| other != proxy)
                .for_each(|other| state.leases.unregister(&identity(other, 1)));
        }
        let deposed = state
            .deposed
            .iter_mut()
            .filter(|_| self.has_defect(Mutant::DeposedAnswers));
        let leaders = deposed
            .map(|(leases, record)| (leases, &*record))
            .chain([(&mut state.leases, &state.record)]);
        for (leases, record) in leaders {
            let previous_leases = leases.clone();
            let GrantOutcome::Granted(grant) = leases.grant(state.now, record, &request) else {
                continue;
            };
            if self.has_defect(Mutant::GrantRecordedLate)
                && request.active_revision != grant.mode.revision
            {
                *leases = previous_leases;
            }
            let in_flight = (proxy, grant);
            if !state.grants_in_flight.contains(&in_flight) {
                state.grants_in_flight.push(in_flight);
            }
        }
        state
            .grants_in_flight
            .sort_by_key(|(proxy, grant)| (*proxy, grant.sequence, grant.mode.revision));
    }

    pub(crate) fn deliver_grant(&self, state: &mut State, proxy: usize, mut grant: LeaseGrant) {
        let clock = state.now - state.clock_lags[proxy].0;
        let holder = &mut state.holders[proxy];
        if self.has_defect(Mutant::AnyGrantAccepted) {
            grant.sequence = state.last_requests[proxy];
        }
        if let Some(deadline) = holder
            .request_deadline()
            .filter(|_| self.has_defect(Mutant::LeaseFromReceipt))
        {
            grant.duration += clock - (deadline - REQUEST_TIMEOUT);
        }
        holder.on_grant(clock, grant);
    }

    pub(crate) fn crash(&self, state: &mut State, proxy: usize) {
        let lease = state.holders[proxy].lease();
        let incarnation = 2 + u64::from(self.crashes - state.remaining.crashes);
        let mut restarted = self.holder(proxy, incarnation);
        // Sequence numbers restart at 0. Messages to and from the old process are lost.
        state.last_requests[proxy] = 0;
        state
            .requests_in_flight
            .retain(|(sender, _)| *sender != proxy);
        state
            .grants_in_flight
            .retain(|(receiver, _)| *receiver != proxy);
        if let Some(Lease { mode, .. }) =
            lease.filter(|_| self.has_defect(Mutant::DiskReplacesLease))
        {
            let clock = state.now - state.clock_lags[proxy].0;
            let request = restarted.request(clock);
            state.last_requests[proxy] = request.sequence;
            restarted.on_grant(
                clock,
                LeaseGrant {
                    sequence: request.sequence,
                    mode,
                    duration: self.lease,
                },
            );
        }
        if self.proxies[proxy] != OnLeaseLoss::Reject {
            let identity = identity(proxy, incarnation);
            state.record.apply(&Command::Register {
                identity,
                on_lease_loss: self.proxies[proxy],
            });
        }
        state.holders[proxy] = restarted;
    }

    pub(crate) fn publish(&self, state: &mut State) {
        if self.has_defect(Mutant::GenerationReused) {
            state.previous_record = Some(state.record.clone());
        }
        let (revision, fallback_generations) =
            (state.record.revision(), state.record.fallback_generations());
        let outcome = state.record.apply(&Command::Publish {
            revision,
            text: String::new(),
            fallback_generations,
            all_regions: None,
        });
        if self.has_defect(Mutant::NoTransition) && matches!(outcome, Outcome::Started(_)) {
            self.advance(state);
        }
    }

    pub(crate) fn advance(&self, state: &mut State) {
        if self.has_defect(Mutant::AbortAfterCommit) {
            state.previous_record = Some(state.record.clone());
        }
        let Some(mode) = state.record.mode() else {
            return;
        };
        if state.record.apply(&Command::Advance {
            revision: mode.revision,
        }) == Outcome::Applied
        {
            state.invariants.record_committed(mode.new);
        }
    }

    pub(crate) fn abort(&self, state: &mut State) {
        if let Some(previous_record) = state
            .previous_record
            .clone()
            .filter(|_| self.has_defect(Mutant::AbortAfterCommit))
        {
            state.record = previous_record;
        }
        let Some(mode) = state.record.mode() else {
            return;
        };
        let command = Command::Abort {
            revision: mode.revision,
            reason: String::new(),
        };
        if state.record.apply(&command) == Outcome::Applied
            && !state.invariants.record_aborted(mode.new)
        {
            state.violation = Some("a generation was aborted after calls had started under it");
        }
        if let Some(previous_record) = state
            .previous_record
            .clone()
            .filter(|_| self.has_defect(Mutant::GenerationReused))
        {
            state.record = previous_record;
        }
    }

    /// Starts a call at every proxy that is allowed to start one.
    pub(crate) fn start_calls(&self, state: &mut State) {
        for proxy in 0..state.holders.len() {
            let clock = state.now - state.clock_lags[proxy].0;
            if let Admission::Under(mode) = state.holders[proxy].admission(clock) {
                let call = StartedCall {
                    identity: identity(proxy, 0),
                    mode,
                };
                if state.invariants.record_start(&call).is_some() && state.violation.is_none() {
                    state.violation = Some("a call started that violates the invariants");
                }
            }
        }
    }

    /// Returns whether the change ends within one lease and two more ticks, if no more faults occur and an operator evicts
    /// dead proxies.
    pub(crate) fn change_ends(&self, state: &State) -> bool {
        let mut state = state.clone();
        let alive: Vec<Identity> = state
            .holders
            .iter_mut()
            .map(|holder| holder.request(0).identity)
            .collect();
        let dead: Vec<Identity> = state
            .record
            .leaseless_proxies()
            .keys()
            .filter(|identity| !alive.contains(identity))
            .cloned()
            .collect();
        for identity in dead {
            state.record.apply(&Command::Evict { identity });
        }
        for _ in 0..=self.lease + CLOCK_DRIFT + 2 {
            for proxy in 0..self.proxies.len() {
                let clock = state.now - state.clock_lags[proxy].0;
                let request = state.holders[proxy].request(clock);
                if let GrantOutcome::Granted(grant) =
                    state.leases.grant(state.now, &state.record, &request)
                {
                    state.holders[proxy].on_grant(clock, grant);
                }
            }
            if state.record.mode().is_none_or(|mode| !mode.is_transition()) {
                return true;
            }
            if self.can_advance(&state) {
                self.advance(&mut state);
            }
            state.now += 1;
        }
        false
    }
}
