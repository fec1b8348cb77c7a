//! What the leader does: lends modes, and takes a change from step to step.

use crate::decommission;
use crate::progress::{self, Before};
use crate::settings::Settings;
use crate::store::{NodeId, RaftTypes, Store};
use badgerramp_control_protocol::clock;
use badgerramp_policy::regions::Region;
use badgerramp_policy::{
    next_command, Blocker, ChangeTimeouts, Command, Generation, GrantOutcome, Identity,
    LeaseConfig, LeaseRequest, Leases, Micros, Mode, Outcome, Record,
};
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::{BasicNode, Raft, ServerState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tracing::{info, warn};

/// How often a change that waits for a lease is looked at, beside when something happens.
const LOOK: Duration = Duration::from_millis(20);
/// Questions that are answered after one look at whether this is still the leader.
const TOGETHER: usize = 512;

/// Why there is no answer of a leader.
#[derive(Clone, Debug)]
pub(crate) struct NotLeader {
    /// Where the leader is, if that is known.
    pub leader: Option<String>,
    /// Why.
    pub why: String,
}

struct Held {
    term: u64,
    leases: Leases,
    /// The present revision, and when this leader first saw it.
    since: Option<(u64, Micros)>,
}

/// A question for a lease, and where its answer goes.
pub(crate) type Question = (
    LeaseRequest,
    oneshot::Sender<Result<GrantOutcome, NotLeader>>,
);
/// Those that wait.
pub(crate) type Questions = mpsc::Receiver<Question>;

/// The leader's part of a replica.
pub(crate) struct Leader {
    raft: Raft<RaftTypes>,
    store: Store,
    terms: LeaseConfig,
    limits: ChangeTimeouts,
    /// The other regions.
    others: BTreeSet<Region>,
    held: Mutex<Option<Held>>,
    questions: mpsc::Sender<Question>,
    /// Something has happened that may take the change on.
    pub stir: Notify,
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

fn forward<E>(fault: &RaftError<NodeId, E>, named: impl Fn(&E) -> Option<&BasicNode>) -> NotLeader
where
    E: std::error::Error,
{
    let leader = match fault {
        RaftError::APIError(fault) => named(fault).map(|node| node.addr.clone()),
        RaftError::Fatal(_) => None,
    };
    NotLeader {
        leader,
        why: fault.to_string(),
    }
}

impl Leader {
    /// The part of this replica. [`Leader::run`] must run beside it.
    pub(crate) fn new(
        raft: Raft<RaftTypes>,
        store: Store,
        settings: &Settings,
    ) -> (Self, Questions) {
        let (questions, asked) = mpsc::channel(4 * TOGETHER);
        let terms = LeaseConfig {
            duration: micros(settings.lease_duration),
            max_clock_drift: micros(settings.max_clock_drift),
        };
        let others = settings
            .regions
            .as_ref()
            .map(|regions| regions.regions.others().clone());
        let others = others.unwrap_or_default();
        let regions_wait = settings
            .regions
            .as_ref()
            .map_or(settings.change_timeout, |regions| regions.vote_timeout);
        let limits = ChangeTimeouts {
            proxies: micros(settings.change_timeout),
            regions: micros(regions_wait),
        };
        let leader = Leader {
            raft,
            store,
            terms,
            limits,
            others,
            held: Mutex::default(),
            questions,
            stir: Notify::new(),
        };
        (leader, asked)
    }

    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The leases of this term, if this replica leads.
    fn term(&self) -> Option<u64> {
        let metrics = self.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    fn lead(&self, held: &mut Option<Held>) -> bool {
        match (self.term(), held.as_ref()) {
            (None, _) => *held = None,
            (Some(term), Some(own)) if own.term == term => {}
            (Some(term), _) => {
                info!("replica leads in term {term}");
                *held = Some(Held {
                    term,
                    leases: Leases::after_election(self.terms, clock::now()),
                    since: None,
                });
            }
        }
        held.is_some()
    }

    /// Does this replica lead, as far as it knows?
    pub(crate) fn leads(&self) -> bool {
        self.term().is_some()
    }

    /// Still the leader, with all that was agreed on before this was asked?
    pub(crate) async fn confirmed(&self) -> Result<(), NotLeader> {
        self.raft
            .ensure_linearizable()
            .await
            .map(|_| ())
            .map_err(|fault| {
                forward(&fault, |e| match e {
                    CheckIsLeaderError::ForwardToLeader(forward) => forward.leader_node.as_ref(),
                    CheckIsLeaderError::QuorumNotEnough(_) => None,
                })
            })
    }

    /// Has the replicas agree on a command.
    pub(crate) async fn agree(&self, command: Command) -> Result<Outcome, NotLeader> {
        let before = self.store.read(Before::of);
        let written = self.raft.client_write(command.clone()).await;
        let outcome = written.map(|w| w.data).map_err(|fault| {
            forward(&fault, |e| match e {
                ClientWriteError::ForwardToLeader(forward) => forward.leader_node.as_ref(),
                ClientWriteError::ChangeMembershipError(_) => None,
            })
        });
        if let Ok(outcome) = &outcome {
            if let Some(line) = self
                .store
                .read(|after| progress::line(&before, &command, outcome, after))
            {
                info!("{line}");
            }
        }
        self.stir.notify_one();
        outcome
    }

    /// Asks for a mode.
    pub(crate) async fn lend(&self, ask: LeaseRequest) -> Result<GrantOutcome, NotLeader> {
        let (sender, answer) = oneshot::channel();
        let busy = || NotLeader {
            leader: None,
            why: "too many questions at once".to_owned(),
        };
        self.questions.try_send((ask, sender)).map_err(|_| busy())?;
        answer.await.map_err(|_| busy())?
    }

    /// Answers questions, many after one look at whether this is still the leader.
    pub(crate) async fn answer(&self, mut asked: Questions) {
        let mut together = Vec::new();
        while asked.recv_many(&mut together, TOGETHER).await > 0 {
            let confirmed = self.confirmed().await;
            for (ask, sender) in together.drain(..) {
                let lent = match &confirmed {
                    Ok(()) => self.lend_one(ask).await,
                    Err(fault) => Err(fault.clone()),
                };
                let _ = sender.send(lent);
            }
            self.stir.notify_one();
        }
    }

    async fn lend_one(&self, ask: LeaseRequest) -> Result<GrantOutcome, NotLeader> {
        let lend = || {
            let mut held = self.held();
            // The clock is read after the leases are this term's.
            if !self.lead(&mut held) {
                return Err(NotLeader {
                    leader: None,
                    why: "this replica leads no more".to_owned(),
                });
            }
            let now = clock::now();
            let lent = |h: &mut Held| self.store.read(|record| h.leases.grant(now, record, &ask));
            Ok(held.as_mut().map_or(GrantOutcome::RegisterFirst, lent))
        };
        let lent = lend()?;
        if lent != GrantOutcome::RegisterFirst {
            return Ok(lent);
        }
        let LeaseRequest {
            ref identity,
            on_lease_loss: cut_off,
            ..
        } = ask;
        info!("{identity} may act without a lease: it is written down");
        self.agree(Command::Register {
            identity: identity.clone(),
            on_lease_loss: cut_off,
        })
        .await?;
        lend()
    }

    /// A proxy has ended by itself.
    pub(crate) async fn leaves(&self, identity: Identity) -> Result<(), NotLeader> {
        self.confirmed().await?;
        if self
            .store
            .read(|record| record.leaseless_proxies().contains_key(&identity))
        {
            self.agree(Command::Unregister {
                identity: identity.clone(),
            })
            .await?;
        }
        if let Some(held) = self.held().as_mut() {
            held.leases.unregister(&identity);
        }
        self.stir.notify_one();
        Ok(())
    }

    /// Who holds the change up, and who has been lent what.
    pub(crate) fn view(&self) -> (Vec<Blocker>, BTreeMap<Identity, u64>) {
        let mut held = self.held();
        self.lead(&mut held);
        let Some(held) = held.as_ref() else {
            return Default::default();
        };
        let blockers = |record: &Record| match record.transition() {
            Some(_) => held.leases.blockers(clock::now(), record),
            None => Vec::new(),
        };
        let sessions = held
            .leases
            .sessions()
            .map(|(i, acting, _)| (i.clone(), acting))
            .collect();
        (self.store.read(blockers), sessions)
    }

    /// The next step of the change under way, if it can be taken.
    fn step(&self) -> Option<Command> {
        let mut held = self.held();
        if !self.lead(&mut held) {
            return None;
        }
        let held = held.as_mut()?;
        let now = clock::now();
        held.leases.expire(now);
        let record = self.store.record();
        let revision = record.revision();
        let begun = match held.since {
            Some((known, begun)) if known == revision => begun,
            _ => now,
        };
        held.since = Some((revision, begun));
        if let Some(command) = decommission::acknowledgement(&record, &self.others) {
            warn!(
                "a region that this file does not name is not waited for any more, as if it had acknowledged"
            );
            return Some(command);
        }
        next_command(&record, &held.leases, now, begun, self.limits)
    }

    /// Takes changes on, as long as this replica runs.
    pub(crate) async fn run(&self) {
        loop {
            let Some(command) = self.step() else {
                let _ = tokio::time::timeout(LOOK, self.stir.notified()).await;
                continue;
            };
            if let Err(fault) = self.agree(command).await {
                warn!("the change can't be taken on: {}", fault.why);
                tokio::time::sleep(LOOK).await;
            }
        }
    }

    /// Gives up the change to this generation; `None`: no such change is under way.
    pub(crate) async fn abort(
        &self,
        generation: Generation,
        why: String,
    ) -> Result<Option<Outcome>, NotLeader> {
        self.confirmed().await?;
        let middle = self
            .store
            .read(Record::transition)
            .filter(|middle| middle.new == generation);
        let Some(Mode { revision, .. }) = middle else {
            return Ok(None);
        };
        if let Some(command) = self
            .store
            .read(|record| decommission::abort(record, &self.others))
        {
            return self.agree(command).await.map(Some);
        }
        self.agree(Command::Abort {
            revision,
            reason: why,
        })
        .await
        .map(Some)
    }
}
