//! Regions with a leader, a record and a proxy each, and the messages between them.

use crate::judge::{judge, Violation};
use crate::mutant::Mutant;
use badgerramp_policy::regions::coordinator;
use badgerramp_policy::regions::participant::{self, OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest,
    Prepare, Region, Regions, Request, Role, Vote, VoteReply,
};
use badgerramp_policy::{
    next_command, ChangeTimeouts, Command, Generation, GrantOutcome, GrantResult, Identity,
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseHolderConfig, Leases, OnLeaseLoss, Outcome, Record,
};
use std::collections::BTreeSet;

/// Names in their order; the first one coordinates.
const NAMES: [&str; 3] = ["norte", "oeste", "sur"];
/// The place of the coordinator.
const COORDINATOR: usize = 0;
const LEASE: u64 = 1;
const TERMS: LeaseConfig = LeaseConfig {
    duration: LEASE,
    max_clock_drift: 0,
};
/// A change that a leader has seen for one moment is over its time.
const LIMITS: ChangeTimeouts = ChangeTimeouts {
    proxies: 0,
    regions: 0,
};
/// Rounds without faults in which everything has to come to its end.
const ROUNDS: usize = 8;

/// What a world allows.
#[derive(Clone, Debug)]
pub(crate) struct World {
    /// Regions.
    pub regions: usize,
    /// The regions have a policy when the course begins.
    pub has_policy: bool,
    /// Changes of all regions.
    pub publishes: u8,
    /// Changes of one region, in each.
    pub local_publishes: u8,
    /// Leaders that are replaced, in each region.
    pub elections: u8,
    /// Aborts of operators, in each region.
    pub aborts: u8,
    /// Times that a proxy talks with control, in each region.
    pub talks: u8,
    /// Grants that are late or lost, in each region.
    pub late: u8,
    /// Moments that pass.
    pub ticks: u64,
    /// Commands are logged some time after they were decided on.
    pub slow_log: bool,
    /// What is done in a wrong way.
    pub mutant: Option<Mutant>,
}

impl Default for World {
    fn default() -> Self {
        World {
            regions: 2,
            has_policy: true,
            publishes: 1,
            local_publishes: 0,
            elections: 0,
            aborts: 0,
            talks: 2,
            late: 0,
            ticks: 2,
            slow_log: false,
            mutant: None,
        }
    }
}

/// What can happen. Regions go by their place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// Time passes.
    Tick,
    /// A proxy asks until it holds the present mode, and control knows so.
    Talks(usize),
    /// A proxy asks, and the answer is on its way for long.
    Asks(usize),
    /// Such an answer comes in.
    Arrives(usize),
    /// A change of all regions is published.
    PublishesAll,
    /// A change of one region is published.
    Publishes(usize),
    /// An operator gives up what is under way.
    Aborts(usize),
    /// The leader takes its next step.
    Leads(usize),
    /// The leader gives up what takes too long.
    TimesOut(usize),
    /// Another leader is elected.
    Elects(usize),
    /// A command that was decided on before comes into the log.
    Logs(usize, Command),
    /// A message comes in; it may come in again.
    Delivers(Message),
}

/// A message between regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Message {
    from: usize,
    to: usize,
    body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Body {
    Request(Request),
    Vote(VoteReply),
    Asked(OutcomeRequest),
    Outcome(OutcomeReply),
}

/// What is left of what a region may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    publishes: u8,
    elections: u8,
    aborts: u8,
    talks: u8,
    late: u8,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Site {
    /// What survives.
    pub record: Record,
    /// Its proxy.
    pub holder: LeaseHolder,
    leases: Leases,
    late: Option<LeaseGrant>,
    /// Commands that were decided on and are not in the log yet.
    slow: BTreeSet<Command>,
    left: Left,
    /// For a mutant: the record as a deposed leader has it.
    deposed: Option<Record>,
    /// For a mutant: a vote that is not in the log.
    unlogged_vote: Option<ChangeId>,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    /// The time.
    pub now: u64,
    /// The regions.
    pub sites: Vec<Site>,
    /// Changes of all regions so far; their identifiers count from 1.
    pub published: u8,
    /// Changes under whose new policy a call has begun.
    pub passed: BTreeSet<ChangeId>,
    /// What broke.
    pub faults: BTreeSet<Violation>,
    messages: BTreeSet<Message>,
}

fn region(place: usize) -> Region {
    NAMES[place].parse().expect("a name of a region")
}

fn place(region: &Region) -> usize {
    NAMES
        .iter()
        .position(|name| *name == region.as_str())
        .expect("a region of this world")
}

fn publish(record: &Record, all_regions: Option<AllRegions>) -> Command {
    let (revision, floors) = (record.revision(), record.fallback_generations());
    Command::Publish {
        revision,
        text: String::new(),
        fallback_generations: floors,
        all_regions,
    }
}

impl Site {
    fn talk(&mut self, now: u64) {
        loop {
            let ask = self.holder.request(now);
            let GrantOutcome::Granted(grant) = self.leases.grant(now, &self.record, &ask) else {
                return;
            };
            if self.holder.on_grant(now, grant) != (GrantResult::Accepted { renew_now: true }) {
                return;
            }
        }
    }

    fn ask(&mut self, now: u64) {
        let ask = self.holder.request(now);
        if let GrantOutcome::Granted(grant) = self.leases.grant(now, &self.record, &ask) {
            self.late = Some(grant);
        }
    }

    /// Does its log have its vote for the change under way?
    pub(crate) fn has_voted(&self) -> bool {
        matches!(
            self.record.cross_region(),
            Some(CrossRegionChange {
                role: Role::Participant { voted: true },
                ..
            })
        )
    }

    fn is_unvoted(&self) -> bool {
        matches!(
            self.record.cross_region(),
            Some(CrossRegionChange {
                role: Role::Participant { voted: false },
                ..
            })
        )
    }

    fn under_way(&self) -> Option<ChangeId> {
        self.record.cross_region().map(|cross| cross.change.id)
    }

    fn next(&self, now: u64, begun: u64) -> Option<Command> {
        next_command(&self.record, &self.leases, now, begun, LIMITS)
    }

    fn is_idle(&self) -> bool {
        self.record.transition().is_none() && self.record.unacknowledged_commit().is_none()
    }
}

impl World {
    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn regions(&self, own: usize) -> Regions {
        Regions::new(region(own), (0..self.regions).map(region))
    }

    fn all_regions(&self, state: &State) -> AllRegions {
        AllRegions {
            id: ChangeId(u64::from(state.published) + 1),
            coordinator: region(COORDINATOR),
            participants: self.regions(COORDINATOR).others().clone(),
        }
    }

    fn site(&self, number: usize) -> Site {
        let mut record = Record::default();
        if self.has_policy {
            record.apply(&publish(&record, None));
        }
        let has = (0..8).map(Generation).collect();
        let identity = Identity {
            name: format!("p{number}"),
            incarnation: 1,
        };
        let terms = LeaseHolderConfig {
            on_lease_loss: OnLeaseLoss::Reject,
            request_timeout: 1,
            retry_delay: 1,
        };
        let mut site = Site {
            record,
            holder: LeaseHolder::new(identity, terms, has),
            leases: Leases::after_election(TERMS, 0),
            late: None,
            slow: BTreeSet::new(),
            left: Left {
                publishes: self.local_publishes,
                elections: self.elections,
                aborts: self.aborts,
                talks: self.talks,
                late: self.late,
            },
            deposed: None,
            unlogged_vote: None,
        };
        site.talk(LEASE);
        site
    }

    /// All regions serve, if they have a policy; each has one of its own.
    pub(crate) fn first(&self) -> State {
        State {
            now: LEASE,
            sites: (0..self.regions).map(|number| self.site(number)).collect(),
            published: 0,
            passed: BTreeSet::new(),
            faults: BTreeSet::new(),
            messages: BTreeSet::new(),
        }
    }

    /// What can happen next.
    pub(crate) fn steps(&self, state: &State, steps: &mut Vec<Step>) {
        // A mutant may break several properties one after the other.
        if self.mutant.is_none() && !state.faults.is_empty() {
            return;
        }
        if state.now < LEASE + self.ticks {
            steps.push(Step::Tick);
        }
        if state.published < self.publishes {
            steps.push(Step::PublishesAll);
        }
        for (place, site) in state.sites.iter().enumerate() {
            self.steps_of(state, place, site, steps);
        }
        let takes = |message: &&Message| self.taken(&state.sites[message.to], message).is_some();
        steps.extend(
            state
                .messages
                .iter()
                .filter(takes)
                .cloned()
                .map(Step::Delivers),
        );
    }

    fn steps_of(&self, state: &State, place: usize, site: &Site, steps: &mut Vec<Step>) {
        let middle = site.record.transition().is_some();
        let left = site.left;
        let may = [
            (left.talks > 0, Step::Talks(place)),
            (left.late > 0 && site.late.is_none(), Step::Asks(place)),
            (site.late.is_some(), Step::Arrives(place)),
            (left.publishes > 0, Step::Publishes(place)),
            (left.aborts > 0 && middle, Step::Aborts(place)),
            (left.elections > 0, Step::Elects(place)),
            (middle, Step::Leads(place)),
            (
                middle && self.time_out(state, site).is_some(),
                Step::TimesOut(place),
            ),
        ];
        steps.extend(
            may.into_iter()
                .filter(|(may, _)| *may)
                .map(|(_, step)| step),
        );
        steps.extend(
            site.slow
                .iter()
                .cloned()
                .map(|command| Step::Logs(place, command)),
        );
    }

    fn time_out(&self, state: &State, site: &Site) -> Option<Command> {
        if self.is(Mutant::AbortAfterVote) && site.has_voted() {
            return site.under_way().map(|id| Command::Aborted { id });
        }
        site.next(state.now, state.now - 1)
            .filter(|command| matches!(command, Command::Abort { .. }))
    }

    /// The state after a step.
    pub(crate) fn after(&self, last: &State, step: Step) -> State {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Tick => state.now += 1,
            Step::Talks(place) => {
                state.sites[place].left.talks -= 1;
                state.sites[place].talk(now);
            }
            Step::Asks(place) => {
                state.sites[place].left.late -= 1;
                state.sites[place].ask(now);
            }
            Step::Arrives(place) => {
                if let Some(grant) = state.sites[place].late.take() {
                    state.sites[place].holder.on_grant(now, grant);
                }
            }
            Step::PublishesAll => self.publish_all(&mut state),
            Step::Publishes(place) => self.publish(&mut state.sites[place]),
            Step::Aborts(place) => {
                let site = &mut state.sites[place];
                site.left.aborts -= 1;
                let revision = site.record.revision();
                self.log(
                    site,
                    Command::Abort {
                        revision,
                        reason: String::new(),
                    },
                );
            }
            Step::Leads(place) => self.lead(&mut state, place),
            Step::TimesOut(place) => {
                if let Some(command) = self.time_out(&state, &state.sites[place]) {
                    self.log(&mut state.sites[place], command);
                }
            }
            Step::Elects(place) => self.elect(&mut state.sites[place], now),
            Step::Logs(place, command) => {
                let site = &mut state.sites[place];
                site.slow.remove(&command);
                site.record.apply(&command);
            }
            Step::Delivers(message) => self.deliver(&mut state, &message),
        }
        self.settle(&mut state);
        judge(&mut state);
        state
    }

    /// What can be sent is on its way, and what has been asked is answered: messages are delivered at any time or never,
    /// so that being early takes no order of events away. What can have no effect any more is no part of a state.
    fn settle(&self, state: &mut State) {
        for place in 0..self.regions {
            let sent = self.sent(&state.sites[place], place);
            state.messages.extend(sent);
            state.sites[place].leases.expire(state.now);
        }
        let answers: Vec<Message> = state
            .messages
            .iter()
            .filter_map(|message| self.answer(&state.sites[message.to], message))
            .collect();
        state.messages.extend(answers);
    }

    fn sent(&self, site: &Site, from: usize) -> Vec<Message> {
        let requests = coordinator::requests(&site.record).into_iter();
        let requests = requests.map(|(to, request)| Message {
            from,
            to: place(&to),
            body: Body::Request(request),
        });
        let inquiry = participant::outcome_request(&site.record, &self.regions(from));
        let inquiry = inquiry.filter(|_| !self.is(Mutant::NeverAsks));
        let inquiry = inquiry.map(|(to, asked)| Message {
            from,
            to: place(&to),
            body: Body::Asked(asked),
        });
        requests.chain(inquiry).collect()
    }

    fn publish_all(&self, state: &mut State) {
        let all = self.all_regions(state);
        state.published += 1;
        let record = &mut state.sites[COORDINATOR].record;
        record.apply(&publish(record, Some(all)));
    }

    fn publish(&self, site: &mut Site) {
        site.left.publishes -= 1;
        if self.is(Mutant::LocalPublishAfterVote) && site.has_voted() {
            if let Some(id) = site.under_way() {
                site.record.apply(&Command::Aborted { id });
            }
        }
        site.record.apply(&publish(&site.record, None));
    }

    fn log(&self, site: &mut Site, command: Command) {
        if self.slow_log {
            site.slow.insert(command);
        } else {
            site.record.apply(&command);
        }
    }

    fn lead(&self, state: &mut State, place: usize) {
        let now = state.now;
        if self.is(Mutant::AdvanceWithoutVotes) {
            self.forge_votes(&mut state.sites[place].record);
        }
        let site = &mut state.sites[place];
        let mut command = site.next(now, now);
        if self.is(Mutant::VoteBeforePrepared) && site.is_unvoted() {
            command = Some(Command::Vote {
                revision: site.record.revision(),
            });
        }
        if self.is(Mutant::AdvanceAfterVote) && site.has_voted() {
            command = site.under_way().map(|id| Command::Committed { id });
        }
        match command {
            Some(Command::Vote { .. }) if self.is(Mutant::VoteInMemory) => {
                site.unlogged_vote = site.under_way();
            }
            Some(command) => self.log(site, command),
            None => {}
        }
        let forgets = self.is(Mutant::CommitForgotten);
        if let Some(commit) = site
            .record
            .unacknowledged_commit()
            .filter(|_| forgets)
            .cloned()
        {
            for region in commit.regions {
                site.record.apply(&Command::Acknowledged {
                    id: commit.change.id,
                    region,
                });
            }
        }
    }

    fn forge_votes(&self, record: &mut Record) {
        let revision = record.revision();
        for region in self.regions(COORDINATOR).others() {
            record.apply(&Command::Prepared {
                revision,
                region: region.clone(),
            });
        }
    }

    fn elect(&self, site: &mut Site, now: u64) {
        site.left.elections -= 1;
        site.leases = Leases::after_election(TERMS, now);
        site.unlogged_vote = None;
        if self.is(Mutant::DeposedAnswers) {
            site.deposed = Some(site.record.clone());
        }
    }

    /// What a region logs on a message.
    fn taken(&self, site: &Site, message: &Message) -> Option<Command> {
        match &message.body {
            Body::Request(Request::Prepare(prepare)) => {
                match self.on_prepare(site, message.to, prepare) {
                    OnPrepare::Start { command, .. } => Some(command),
                    OnPrepare::Reply(_) => None,
                }
            }
            Body::Request(Request::Commit(commit)) => {
                match participant::on_commit(&site.record, commit) {
                    OnCommit::Log(command) => Some(command),
                    OnCommit::Reply(_) => None,
                }
            }
            Body::Vote(reply) => {
                coordinator::on_vote(&site.record, &region(message.from), &self.vote(site, reply))
            }
            Body::Asked(_) => None,
            Body::Outcome(reply) => participant::on_outcome(&site.record, reply),
        }
    }

    /// What a region answers to a message, as its record stands.
    fn answer(&self, site: &Site, message: &Message) -> Option<Message> {
        let body = match &message.body {
            Body::Request(Request::Prepare(prepare)) => {
                match self.on_prepare(site, message.to, prepare) {
                    OnPrepare::Start { .. } => return None,
                    OnPrepare::Reply(reply) => Body::Vote(reply),
                }
            }
            Body::Request(Request::Commit(commit)) => {
                match participant::on_commit(&site.record, commit) {
                    OnCommit::Log(_) if self.is(Mutant::AcknowledgedEarly) => {
                        Body::Vote(VoteReply {
                            id: commit.change.id,
                            vote: Vote::Committed,
                        })
                    }
                    OnCommit::Log(_) => return None,
                    OnCommit::Reply(reply) => Body::Vote(reply),
                }
            }
            Body::Asked(asked) => Body::Outcome(self.outcome(site, asked)),
            Body::Vote(_) | Body::Outcome(_) => return None,
        };
        let answer = Message {
            from: message.to,
            to: message.from,
            body,
        };
        Some(answer).filter(|answer| has_effect(&answer.body))
    }

    fn deliver(&self, state: &mut State, message: &Message) {
        let site = &mut state.sites[message.to];
        let Some(command) = self.taken(site, message) else {
            return;
        };
        let unlogged = site.unlogged_vote.is_some() && site.unlogged_vote == site.under_way();
        if matches!(command, Command::Committed { .. }) && unlogged {
            site.record.apply(&Command::Vote {
                revision: site.record.revision(),
            });
        }
        self.log(site, command);
    }

    fn on_prepare(&self, site: &Site, own: usize, prepare: &Prepare) -> OnPrepare {
        if self.is(Mutant::LatePrepareBeginsAgain) {
            if let Some(command) = begin_again(&site.record, prepare) {
                return OnPrepare::Start {
                    fallback_generations: site.record.fallback_generations(),
                    command,
                };
            }
        }
        if site.unlogged_vote == Some(prepare.change.id) {
            return OnPrepare::Reply(VoteReply {
                id: prepare.change.id,
                vote: Vote::Prepared,
            });
        }
        participant::on_prepare(&site.record, &self.regions(own), prepare)
    }

    fn vote(&self, site: &Site, reply: &VoteReply) -> VoteReply {
        let mut reply = reply.clone();
        if self.is(Mutant::VoteForOlderCounts) && reply.vote == Vote::Prepared {
            reply.id = site.under_way().unwrap_or(reply.id);
        }
        reply
    }

    fn outcome(&self, site: &Site, asked: &OutcomeRequest) -> OutcomeReply {
        let record = site.deposed.as_ref().unwrap_or(&site.record);
        let mut reply = coordinator::outcome(record, asked);
        if self.is(Mutant::PresumedCommit) && reply.decision == Decision::Aborted {
            reply.decision = Decision::Committed;
        }
        if self.is(Mutant::UndecidedIsNotInForce) && reply.decision == Decision::Pending {
            reply.decision = Decision::Aborted;
        }
        let in_force = |change: &badgerramp_policy::Change| {
            change.id == Some(asked.id)
                && change.status == badgerramp_policy::ChangeStatus::Committed
        };
        if self.is(Mutant::LatePrepareBeginsAgain) && record.changes().values().any(in_force) {
            reply.decision = Decision::Committed;
        }
        reply
    }

    /// With no faults any more, is every change at its end after some rounds, and can the next one begin?
    pub(crate) fn ends(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..ROUNDS {
            if state.sites.iter().all(Site::is_idle) {
                return self.admits_another(&state);
            }
            self.round(&mut state);
        }
        false
    }

    fn admits_another(&self, state: &State) -> bool {
        let mut record = state.sites[COORDINATOR].record.clone();
        let outcome = record.apply(&publish(&record, Some(self.all_regions(state))));
        matches!(outcome, Outcome::Started(_))
    }

    /// Each proxy talks with control, each leader takes its step, and each message is answered.
    fn round(&self, state: &mut State) {
        state.now += 1;
        for place in 0..self.regions {
            state.sites[place].talk(state.now);
            self.lead(state, place);
            self.write_all(&mut state.sites[place]);
            let sent = self.sent(&state.sites[place], place);
            sent.iter()
                .for_each(|message| self.exchange(state, message));
        }
    }

    /// What was decided on comes into the log.
    fn write_all(&self, site: &mut Site) {
        for command in std::mem::take(&mut site.slow) {
            site.record.apply(&command);
        }
    }

    /// A message comes in, and so does the answer.
    fn exchange(&self, state: &mut State, message: &Message) {
        self.deliver(state, message);
        self.write_all(&mut state.sites[message.to]);
        if let Some(answer) = self.answer(&state.sites[message.to], message) {
            self.deliver(state, &answer);
            self.write_all(&mut state.sites[answer.to]);
        }
    }
}

/// Answers that change nothing where they come in.
fn has_effect(body: &Body) -> bool {
    match body {
        Body::Vote(reply) => reply.vote != Vote::Preparing,
        Body::Outcome(reply) => reply.decision != Decision::Pending,
        Body::Request(_) | Body::Asked(_) => true,
    }
}

/// Takes a change that has ended for one that was never seen.
fn begin_again(record: &Record, prepare: &Prepare) -> Option<Command> {
    let last = record.participation(&prepare.change.coordinator)?;
    let has_ended = last.change.id == prepare.change.id && last.decision != Decision::Pending;
    has_ended.then(|| Command::Prepare {
        revision: record.revision(),
        change: ChangeRef {
            generation: Generation(last.change.generation.0 + 1),
            ..prepare.change.clone()
        },
        text: prepare.text.clone(),
        fallback_generations: record.fallback_generations(),
    })
}
