//! What the leader does: lends modes, and takes a change from step to step.

use crate::store::{Id, Store, Types};
use badgerramp_channel::clock;
use badgerramp_policy::{
    Ask, Blocker, Command, Generation, Identity, LeaseTerms, Leases, Lent, Micros, Mode, Outcome,
};
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::{BasicNode, Raft, ServerState};
use std::collections::BTreeMap;
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
pub struct NotLeader {
    /// Where the leader is, if that is known.
    pub leader: Option<String>,
    /// Why.
    pub why: String,
}

struct Held {
    term: u64,
    leases: Leases,
    /// Since when the change under way is known here, by revision.
    since: Option<(u64, Micros)>,
}

/// A question for a lease, and where its answer goes.
pub type Question = (Ask, oneshot::Sender<Result<Lent, NotLeader>>);
/// Those that wait.
pub type Questions = mpsc::Receiver<Question>;

/// The leader's part of a replica.
pub struct Leader {
    raft: Raft<Types>,
    store: Store,
    terms: LeaseTerms,
    wait: Micros,
    held: Mutex<Option<Held>>,
    questions: mpsc::Sender<Question>,
    /// Something has happened that may take the change on.
    pub stir: Notify,
}

fn forward<E>(fault: &RaftError<Id, E>, named: impl Fn(&E) -> Option<&BasicNode>) -> NotLeader
where
    E: std::error::Error,
{
    let leader = match fault {
        RaftError::APIError(fault) => named(fault).map(|node| node.addr.clone()),
        RaftError::Fatal(_) => None,
    };
    NotLeader { leader, why: fault.to_string() }
}

impl Leader {
    /// The part of this replica. [`Leader::run`] must run beside it.
    pub fn new(
        raft: Raft<Types>,
        store: Store,
        (lease, drift, wait): (Duration, Duration, Duration),
    ) -> (Self, Questions) {
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        let (questions, asked) = mpsc::channel(4 * TOGETHER);
        let terms = LeaseTerms { lease: micros(lease), drift: micros(drift) };
        let leader = Leader {
            raft,
            store,
            terms,
            wait: micros(wait),
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
                *held = Some(Held { term, leases: Leases::elected(self.terms, clock::now()), since: None });
            }
        }
        held.is_some()
    }

    /// Still the leader, with all that was agreed on before this was asked?
    pub async fn confirmed(&self) -> Result<(), NotLeader> {
        self.raft.ensure_linearizable().await.map(|_| ()).map_err(|fault| {
            forward(&fault, |e| match e {
                CheckIsLeaderError::ForwardToLeader(forward) => forward.leader_node.as_ref(),
                CheckIsLeaderError::QuorumNotEnough(_) => None,
            })
        })
    }

    /// Has the replicas agree on a command.
    pub async fn agree(&self, command: Command) -> Result<Outcome, NotLeader> {
        let written = self.raft.client_write(command).await;
        let outcome = written.map(|w| w.data).map_err(|fault| {
            forward(&fault, |e| match e {
                ClientWriteError::ForwardToLeader(forward) => forward.leader_node.as_ref(),
                ClientWriteError::ChangeMembershipError(_) => None,
            })
        });
        self.stir.notify_one();
        outcome
    }

    /// Asks for a mode.
    pub async fn lend(&self, ask: Ask) -> Result<Lent, NotLeader> {
        let (sender, answer) = oneshot::channel();
        let busy = || NotLeader { leader: None, why: "too many questions at once".to_owned() };
        self.questions.try_send((ask, sender)).map_err(|_| busy())?;
        answer.await.map_err(|_| busy())?
    }

    /// Answers questions, many after one look at whether this is still the leader.
    pub async fn answer(&self, mut asked: Questions) {
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

    async fn lend_one(&self, ask: Ask) -> Result<Lent, NotLeader> {
        let lend = || {
            let mut held = self.held();
            // The clock is read after the leases are this term's.
            if !self.lead(&mut held) {
                return Err(NotLeader { leader: None, why: "this replica leads no more".to_owned() });
            }
            let now = clock::now();
            let lent = |h: &mut Held| self.store.with(|record| h.leases.lend(now, record, &ask));
            Ok(held.as_mut().map_or(Lent::RegisterFirst, lent))
        };
        let lent = lend()?;
        if lent != Lent::RegisterFirst {
            return Ok(lent);
        }
        let Ask { ref identity, cut_off, .. } = ask;
        info!("{identity} may act without a lease: it is written down");
        self.agree(Command::Register { identity: identity.clone(), cut_off }).await?;
        lend()
    }

    /// A proxy has ended by itself.
    pub async fn leaves(&self, identity: Identity) -> Result<(), NotLeader> {
        self.confirmed().await?;
        if self.store.with(|record| record.standing().contains_key(&identity)) {
            self.agree(Command::Retire { identity: identity.clone() }).await?;
        }
        if let Some(held) = self.held().as_mut() {
            held.leases.leaves(&identity);
        }
        self.stir.notify_one();
        Ok(())
    }

    /// Who holds the change up, and who has been lent what.
    pub fn view(&self) -> (Vec<Blocker>, BTreeMap<Identity, u64>) {
        let mut held = self.held();
        self.lead(&mut held);
        let Some(held) = held.as_ref() else { return Default::default() };
        let middle = self.store.with(|r| r.mode().is_some_and(Mode::is_middle));
        let blockers = |r: &badgerramp_policy::Record| match middle {
            true => held.leases.blockers(clock::now(), r),
            false => Vec::new(),
        };
        let sessions = held.leases.sessions().map(|(i, acting, _)| (i.clone(), acting)).collect();
        (self.store.with(blockers), sessions)
    }

    /// The next step of the change under way, if it can be taken.
    fn step(&self) -> Option<Command> {
        let mut held = self.held();
        if !self.lead(&mut held) {
            return None;
        }
        let held = held.as_mut()?;
        let now = clock::now();
        held.leases.sweep(now);
        let record = self.store.record();
        let mode = record.mode()?;
        let behind = held.leases.acting(&record);
        if !mode.is_middle() {
            held.since = None;
            // Whose floors are held is brought up to date together, when most have moved.
            let most = behind.len() * 2 > record.standing().len();
            return most.then_some(Command::Acting { revision: mode.revision, proxies: behind });
        }
        let since = match held.since {
            Some((revision, since)) if revision == mode.revision => since,
            _ => {
                held.since = Some((mode.revision, now));
                now
            }
        };
        if let Some((identity, why)) = held.leases.unread(mode) {
            let why = format!("{identity} can't read it: {why}");
            return Some(Command::Abort { revision: mode.revision, why });
        }
        let blockers = held.leases.blockers(now, &record);
        if blockers.is_empty() {
            if !behind.is_empty() {
                return Some(Command::Acting { revision: mode.revision, proxies: behind });
            }
            return Some(Command::Advance { revision: mode.revision });
        }
        let named = |b: &Blocker| b.identity.as_ref().map_or("any".to_owned(), ToString::to_string);
        (now.saturating_sub(since) > self.wait).then(|| {
            let names: Vec<String> = blockers.iter().map(named).collect();
            let why = format!("not in force in time; held up by {}", names.join(", "));
            Command::Abort { revision: mode.revision, why }
        })
    }

    /// Takes changes on, as long as this replica runs.
    pub async fn run(&self) {
        loop {
            let Some(command) = self.step() else {
                let _ = tokio::time::timeout(LOOK, self.stir.notified()).await;
                continue;
            };
            let told = match &command {
                Command::Advance { .. } => {
                    self.store.with(|r| r.mode()).map(|m| format!("{} is in force", m.new))
                }
                Command::Abort { why, .. } => Some(format!("the change comes to nothing: {why}")),
                _ => None,
            };
            match self.agree(command).await {
                Ok(Outcome::Done) => {
                    if let Some(told) = told {
                        info!("{told}");
                    }
                }
                Ok(_) => {}
                Err(fault) => {
                    warn!("the change can't be taken on: {}", fault.why);
                    tokio::time::sleep(LOOK).await;
                }
            }
        }
    }

    /// Gives up the change to this generation.
    pub async fn abort(&self, generation: Generation, why: String) -> Result<bool, NotLeader> {
        self.confirmed().await?;
        let mode = self.store.with(|r| r.mode()).filter(|m| m.is_middle() && m.new == generation);
        let Some(mode) = mode else { return Ok(false) };
        let outcome = self.agree(Command::Abort { revision: mode.revision, why }).await?;
        Ok(outcome == Outcome::Done)
    }
}
