//! The record of a region in changes of all regions: what it refuses, what it keeps over a restart, and that messages may
//! come late, doubled and in any order. A restart is a round trip through JSON: nothing but the record survives it.

use badgerramp_policy::regions::participant::{self, OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    coordinator, AllRegions, ChangeId, ChangeRef, Commit, Decision, OutcomeReply, OutcomeRequest,
    Prepare, Region, Regions, Request, Role, Scope, Vote, VoteReply,
};
use badgerramp_policy::{
    next_command, ChangeStatus, ChangeTimeouts, Command, Generation, Identity, LeaseConfig,
    LeaseRequest, Leases, Mode, OnLeaseLoss, Outcome, Record, RejectedGeneration, Rejection,
};
use proptest::prelude::*;
use std::collections::BTreeSet;

const LIMITS: ChangeTimeouts = ChangeTimeouts {
    proxies: 1_000,
    regions: 500,
};
const TERMS: LeaseConfig = LeaseConfig {
    duration: 100,
    max_clock_drift: 10,
};
/// A moment at which no lease of another leader runs.
const NOW: u64 = 10_000;

fn region(name: &str) -> Region {
    name.parse().expect("a name of a region")
}

fn norte() -> Region {
    region("norte")
}

fn sur() -> Region {
    region("sur")
}

fn regions_of_sur() -> Regions {
    Regions::new(sur(), [norte(), sur()])
}

fn publish(record: &Record, text: &str, id: Option<u64>) -> Command {
    let all = |id| AllRegions {
        id: ChangeId(id),
        coordinator: norte(),
        participants: BTreeSet::from([sur()]),
    };
    Command::Publish {
        revision: record.revision(),
        text: text.to_owned(),
        fallback_generations: record.fallback_generations(),
        all_regions: id.map(all),
    }
}

fn publish_here(record: &mut Record, text: &str) -> Outcome {
    let command = publish(record, text, None);
    record.apply(&command)
}

fn publish_all(record: &mut Record, id: u64) -> Outcome {
    let command = publish(record, "new", Some(id));
    record.apply(&command)
}

fn restarted(record: &Record) -> Record {
    let text = serde_json::to_string(record).expect("it can be written");
    serde_json::from_str(&text).expect("it can be read")
}

/// A record with one policy in force.
fn with_policy() -> Record {
    let mut record = Record::default();
    publish_here(&mut record, "old");
    record
}

fn leases() -> Leases {
    Leases::after_election(TERMS, 0)
}

fn lead(record: &mut Record) -> Option<Outcome> {
    let command = next_command(record, &leases(), NOW, NOW, LIMITS)?;
    Some(record.apply(&command))
}

fn prepare(coordinating: &Record) -> Prepare {
    let requests = coordinator::requests(coordinating);
    let [(to, Request::Prepare(prepare))] = &requests[..] else {
        panic!("one prepare: {requests:?}")
    };
    assert_eq!(to, &sur());
    prepare.clone()
}

fn commit(coordinating: &Record) -> Commit {
    let requests = coordinator::requests(coordinating);
    let [(to, Request::Commit(commit))] = &requests[..] else {
        panic!("one commit: {requests:?}")
    };
    assert_eq!(to, &sur());
    commit.clone()
}

/// Delivers a prepare, as control does.
fn take_prepare(record: &mut Record, prepare: &Prepare) -> VoteReply {
    match participant::on_prepare(record, &regions_of_sur(), prepare) {
        OnPrepare::Reply(reply) => reply,
        OnPrepare::Start {
            command,
            fallback_generations: floors,
        } => {
            assert_eq!(floors, record.fallback_generations());
            participant::prepare_reply(&prepare.change, &record.apply(&command))
        }
    }
}

/// Delivers a commit, as control does.
fn take_commit(record: &mut Record, commit: &Commit) -> VoteReply {
    match participant::on_commit(record, commit) {
        OnCommit::Reply(reply) => reply,
        OnCommit::Log(command) => {
            record.apply(&command);
            participant::current_status(record, &commit.change)
        }
    }
}

fn take_vote(record: &mut Record, reply: &VoteReply) -> Option<Outcome> {
    let command = coordinator::on_vote(record, &sur(), reply)?;
    Some(record.apply(&command))
}

/// A participant asks for the outcome, and takes the answer.
fn ask_outcome(coordinating: &Record, record: &mut Record) -> Option<Outcome> {
    let (to, asked) = participant::outcome_request(record, &regions_of_sur())?;
    assert_eq!(to, norte());
    let reply = coordinator::outcome(coordinating, &asked);
    let command = participant::on_outcome(record, &reply)?;
    Some(record.apply(&command))
}

/// Both regions, with the change 1 begun in the coordinator.
fn begun() -> (Record, Record) {
    let (mut norte, sur) = (with_policy(), with_policy());
    assert_eq!(publish_all(&mut norte, 1), Outcome::Started(Generation(2)));
    (norte, sur)
}

/// The participant has voted.
fn voted() -> (Record, Record) {
    let (norte, mut sur) = begun();
    assert_eq!(
        take_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(lead(&mut sur), Some(Outcome::Applied));
    assert_eq!(
        take_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Prepared
    );
    (norte, sur)
}

/// The coordinator has decided.
fn committed() -> (Record, Record) {
    let (mut norte, mut sur) = voted();
    let vote = take_prepare(&mut sur, &prepare(&norte));
    assert_eq!(take_vote(&mut norte, &vote), Some(Outcome::Applied));
    assert_eq!(lead(&mut norte), Some(Outcome::Applied));
    (norte, sur)
}

fn ended(record: &Record, id: u64) -> Vec<ChangeStatus> {
    let of = |change: &&badgerramp_policy::Change| change.id == Some(ChangeId(id));
    record
        .changes()
        .values()
        .filter(of)
        .map(|change| change.status.clone())
        .collect()
}

#[test]
fn a_change_of_all_regions_comes_into_force_in_both() {
    let (mut norte, mut sur) = committed();
    assert_eq!(norte.mode(), Some(Mode::stable(3, Generation(2))));
    assert!(sur.mode().is_some_and(Mode::is_transition));
    let reply = take_commit(&mut sur, &commit(&norte));
    assert_eq!(reply.vote, Vote::Committed);
    assert_eq!(sur.mode(), Some(Mode::stable(3, Generation(2))));
    assert_eq!(take_vote(&mut norte, &reply), Some(Outcome::Applied));
    assert_eq!(norte.unacknowledged_commit(), None);
    assert_eq!(coordinator::requests(&norte), []);
    assert_eq!(
        (ended(&norte, 1), ended(&sur, 1)),
        (vec![ChangeStatus::Committed], vec![ChangeStatus::Committed])
    );
    assert_eq!(sur.changes()[&Generation(2)].scope(), Scope::All);
    assert_eq!(sur.changes()[&Generation(1)].scope(), Scope::Region);
}

#[test]
fn the_first_policy_of_all_regions_is_in_force_in_none_before_the_decision() {
    let (mut norte, mut sur) = (Record::default(), Record::default());
    assert_eq!(publish_all(&mut norte, 1), Outcome::Started(Generation(1)));
    assert_eq!(
        (norte.mode(), norte.transition().map(|m| m.new)),
        (None, Some(Generation(1)))
    );
    take_prepare(&mut sur, &prepare(&norte));
    lead(&mut sur);
    let vote = take_prepare(&mut sur, &prepare(&norte));
    take_vote(&mut norte, &vote);
    assert_eq!(sur.mode(), None);
    lead(&mut norte);
    assert_eq!(norte.mode(), Some(Mode::stable(2, Generation(1))));
    assert_eq!(take_commit(&mut sur, &commit(&norte)).vote, Vote::Committed);
    assert_eq!(sur.mode(), Some(Mode::stable(2, Generation(1))));
}

#[test]
fn the_coordinator_does_not_advance_without_all_votes() {
    let (mut norte, _) = begun();
    assert_eq!(lead(&mut norte), None);
    let advance = Command::Advance {
        revision: norte.revision(),
    };
    let refused = Rejection::NotPrepared {
        regions: BTreeSet::from([sur()]),
    };
    assert_eq!(norte.apply(&advance), Outcome::Rejected(refused));
    let stranger = Command::Prepared {
        revision: norte.revision(),
        region: region("este"),
    };
    assert_eq!(
        norte.apply(&stranger),
        Outcome::Rejected(Rejection::Conflict)
    );
    let stale = Command::Prepared {
        revision: norte.revision() - 1,
        region: sur(),
    };
    assert_eq!(norte.apply(&stale), Outcome::Rejected(Rejection::Conflict));
    assert_eq!(
        norte.apply(&Command::Prepared {
            revision: norte.revision(),
            region: sur()
        }),
        Outcome::Applied
    );
    assert_eq!(norte.apply(&advance), Outcome::Applied);
}

#[test]
fn a_participant_that_has_voted_ends_the_change_by_the_decision_alone() {
    let (norte, mut sur) = voted();
    let revision = sur.revision();
    let awaits = || {
        Outcome::Rejected(Rejection::AwaitsDecision {
            coordinator: self::norte(),
        })
    };
    assert_eq!(
        sur.apply(&Command::Abort {
            revision,
            reason: String::new()
        }),
        awaits()
    );
    assert_eq!(sur.apply(&Command::Advance { revision }), awaits());
    // Neither a time-out nor a proxy that can't read the policy changes that.
    let mut leases = leases();
    let unread = RejectedGeneration {
        generation: Generation(2),
        reason: "odd".to_owned(),
    };
    leases.grant(NOW, &sur, &ask(Some(unread)));
    assert_eq!(next_command(&sur, &leases, NOW, 0, LIMITS), None);
    assert_eq!(ask_outcome(&norte, &mut sur), None);
    for id in [0, 2] {
        assert_eq!(
            sur.apply(&Command::Committed { id: ChangeId(id) }),
            Outcome::Rejected(Rejection::Conflict)
        );
        assert_eq!(
            sur.apply(&Command::Aborted { id: ChangeId(id) }),
            Outcome::Rejected(Rejection::Conflict)
        );
    }
    assert_eq!(
        sur.apply(&Command::Committed { id: ChangeId(1) }),
        Outcome::Applied
    );
}

fn ask(unread: Option<RejectedGeneration>) -> LeaseRequest {
    LeaseRequest {
        identity: Identity {
            name: "p".to_owned(),
            incarnation: 1,
        },
        sequence: 1,
        active_revision: 0,
        loaded_generations: BTreeSet::new(),
        rejected_generation: unread,
        on_lease_loss: OnLeaseLoss::Reject,
    }
}

#[test]
fn a_participant_votes_when_no_proxy_can_act_under_an_older_mode() {
    let (norte, mut sur) = begun();
    let mut leases = leases();
    leases.grant(NOW, &sur, &ask(None));
    take_prepare(&mut sur, &prepare(&norte));
    let until = NOW + TERMS.duration + TERMS.max_clock_drift;
    assert_eq!(next_command(&sur, &leases, until - 1, NOW, LIMITS), None);
    let vote = Command::Vote {
        revision: sur.revision(),
    };
    assert_eq!(
        next_command(&sur, &leases, until, NOW, LIMITS),
        Some(vote.clone())
    );
    assert_eq!(
        sur.apply(&Command::Vote {
            revision: sur.revision() - 1
        }),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(sur.apply(&vote), Outcome::Applied);
}

#[test]
fn a_participant_that_has_not_voted_aborts_by_itself_and_is_not_committed() {
    let (mut norte, mut sur) = begun();
    take_prepare(&mut sur, &prepare(&norte));
    assert_eq!(
        sur.apply(&Command::Committed { id: ChangeId(1) }),
        Outcome::Rejected(Rejection::Conflict)
    );
    let early = OutcomeReply {
        id: ChangeId(1),
        decision: Decision::Committed,
    };
    assert_eq!(participant::on_outcome(&sur, &early), None);
    let abort = Command::Abort {
        revision: sur.revision(),
        reason: "an operator".to_owned(),
    };
    assert_eq!(sur.apply(&abort), Outcome::Applied);
    let reply = take_prepare(&mut sur, &prepare(&norte));
    assert_eq!(reply.vote, Vote::Aborted);
    assert_eq!(take_vote(&mut norte, &reply), Some(Outcome::Applied));
    let why = "region sur has given it up".to_owned();
    assert_eq!(ended(&norte, 1), [ChangeStatus::Aborted { reason: why }]);
}

#[test]
fn a_local_change_under_way_refuses_a_change_of_all_regions() {
    let (mut norte, mut sur) = begun();
    publish_here(&mut sur, "local");
    let reply = take_prepare(&mut sur, &prepare(&norte));
    let why = "the change to generation 2 is under way there".to_owned();
    assert_eq!(reply.vote, Vote::Rejected { reason: why });
    assert_eq!(take_vote(&mut norte, &reply), Some(Outcome::Applied));
    let why = "region sur refuses it: the change to generation 2 is under way there".to_owned();
    assert_eq!(ended(&norte, 1), [ChangeStatus::Aborted { reason: why }]);
}

#[test]
fn a_prepare_of_a_region_that_does_not_coordinate_is_refused() {
    let change = ChangeRef {
        id: ChangeId(9),
        coordinator: region("oeste"),
        generation: Generation(1),
    };
    let mut sur = with_policy();
    let before = sur.clone();
    let reply = take_prepare(
        &mut sur,
        &Prepare {
            change,
            text: String::new(),
        },
    );
    let why = "it comes from region oeste; for region sur norte coordinates".to_owned();
    assert_eq!(reply.vote, Vote::Rejected { reason: why });
    assert_eq!(sur, before);
}

#[test]
fn changes_of_a_region_are_refused_in_a_middle_of_all_and_go_on_when_it_has_ended() {
    let (mut norte, mut sur) = voted();
    let refused = |waits_for| {
        let waits_for = BTreeSet::from([waits_for]);
        Outcome::Rejected(Rejection::CrossRegionPending {
            generation: Generation(2),
            id: ChangeId(1),
            awaited_regions: waits_for,
        })
    };
    assert_eq!(publish_here(&mut norte, "local"), refused(self::sur()));
    assert_eq!(publish_all(&mut norte, 2), refused(self::sur()));
    assert_eq!(publish_here(&mut sur, "local"), refused(self::norte()));
    let vote = take_prepare(&mut sur, &prepare(&norte));
    take_vote(&mut norte, &vote);
    lead(&mut norte);
    // Until the commit is acknowledged only the next change of all regions has to wait.
    assert_eq!(publish_all(&mut norte, 2), refused(self::sur()));
    assert_eq!(
        publish_here(&mut norte, "local"),
        Outcome::Started(Generation(3))
    );
    assert_eq!(lead(&mut norte), Some(Outcome::Applied));
    assert_eq!(publish_here(&mut sur, "local"), refused(self::norte()));
    let acknowledged = take_commit(&mut sur, &commit(&norte));
    assert_eq!(take_vote(&mut norte, &acknowledged), Some(Outcome::Applied));
    assert_eq!(
        publish_here(&mut sur, "local"),
        Outcome::Started(Generation(3))
    );
    assert_eq!(publish_all(&mut norte, 2), Outcome::Started(Generation(4)));
}

#[test]
fn the_coordinator_gives_up_when_votes_are_missing_in_time() {
    let (mut norte, _) = begun();
    let begun = NOW - LIMITS.regions;
    assert_eq!(next_command(&norte, &leases(), NOW, begun, LIMITS), None);
    let why = "not in force in time; no vote of region sur".to_owned();
    let abort = Command::Abort {
        revision: norte.revision(),
        reason: why,
    };
    assert_eq!(
        next_command(&norte, &leases(), NOW, begun - 1, LIMITS),
        Some(abort.clone())
    );
    // The vote that comes first wins, and the abort that was decided on before still counts.
    norte.apply(&Command::Prepared {
        revision: norte.revision(),
        region: sur(),
    });
    assert_eq!(
        next_command(&norte, &leases(), NOW, 0, LIMITS),
        Some(Command::Advance { revision: 2 })
    );
    assert_eq!(norte.apply(&abort), Outcome::Applied);
    assert_eq!(
        norte.apply(&Command::Advance { revision: 2 }),
        Outcome::Rejected(Rejection::Conflict)
    );
}

#[test]
fn an_abort_need_not_be_remembered() {
    let (mut norte, mut sur) = voted();
    norte.apply(&Command::Abort {
        revision: norte.revision(),
        reason: "an operator".to_owned(),
    });
    assert_eq!(
        (norte.cross_region(), norte.unacknowledged_commit()),
        (None, None)
    );
    assert_eq!(ask_outcome(&norte, &mut sur), Some(Outcome::Applied));
    let why = "the coordinating region has given it up".to_owned();
    assert_eq!(ended(&sur, 1), [ChangeStatus::Aborted { reason: why }]);
    assert_eq!(sur.mode(), Some(Mode::stable(3, Generation(1))));
    let unknown = OutcomeRequest {
        id: ChangeId(77),
        region: self::sur(),
    };
    assert_eq!(
        coordinator::outcome(&Record::default(), &unknown).decision,
        Decision::Aborted
    );
}

#[test]
fn a_commit_is_remembered_for_whoever_has_not_acknowledged_it() {
    let (mut norte, mut sur) = committed();
    for text in 0..40 {
        publish_here(&mut norte, &text.to_string());
        lead(&mut norte);
    }
    let stranger = Command::Acknowledged {
        id: ChangeId(2),
        region: self::sur(),
    };
    assert_eq!(
        norte.apply(&stranger),
        Outcome::Rejected(Rejection::Conflict)
    );
    let late = VoteReply {
        id: ChangeId(1),
        vote: Vote::Prepared,
    };
    assert_eq!(take_vote(&mut norte, &late), None);
    assert_eq!(ask_outcome(&norte, &mut sur), Some(Outcome::Applied));
    assert_eq!(ended(&sur, 1), [ChangeStatus::Committed]);
    let acknowledged = take_commit(&mut sur, &commit(&norte));
    assert_eq!(take_vote(&mut norte, &acknowledged), Some(Outcome::Applied));
    assert_eq!(take_vote(&mut norte, &acknowledged), None);
}

#[test]
fn a_late_prepare_begins_nothing_again_however_many_changes_came_between() {
    let (mut norte, mut sur) = committed();
    let (old_prepare, old_commit) = (prepare(&voted().0), commit(&norte));
    let acknowledged = take_commit(&mut sur, &old_commit);
    take_vote(&mut norte, &acknowledged);
    // More local changes than are remembered.
    for text in 0..200 {
        publish_here(&mut sur, &text.to_string());
        lead(&mut sur);
    }
    assert_eq!(ended(&sur, 1), []);
    let before = sur.clone();
    assert_eq!(take_prepare(&mut sur, &old_prepare).vote, Vote::Committed);
    assert_eq!(take_commit(&mut sur, &old_commit).vote, Vote::Committed);
    let forced = Command::Prepare {
        revision: sur.revision(),
        change: old_prepare.change.clone(),
        text: String::new(),
        fallback_generations: sur.fallback_generations(),
    };
    assert_eq!(sur.apply(&forced), Outcome::Rejected(Rejection::Conflict));
    assert_eq!(sur, before);
}

#[test]
fn a_new_change_waits_for_the_end_of_an_older_one_that_a_participant_is_in() {
    let (mut norte, mut sur) = voted();
    norte.apply(&Command::Abort {
        revision: norte.revision(),
        reason: String::new(),
    });
    assert_eq!(publish_all(&mut norte, 2), Outcome::Started(Generation(3)));
    // Not a refusal: that would give the new change up for an old one that is over.
    assert_eq!(
        take_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(ask_outcome(&norte, &mut sur), Some(Outcome::Applied));
    assert_eq!(
        take_prepare(&mut sur, &prepare(&norte)).vote,
        Vote::Preparing
    );
    assert_eq!(lead(&mut sur), Some(Outcome::Applied));
    let late = VoteReply {
        id: ChangeId(1),
        vote: Vote::Prepared,
    };
    assert_eq!(take_vote(&mut norte, &late), None);
    let vote = take_prepare(&mut sur, &prepare(&norte));
    assert_eq!(take_vote(&mut norte, &vote), Some(Outcome::Applied));
}

#[test]
fn of_two_publishers_one_is_refused_and_told_what_is_under_way() {
    let mut norte = with_policy();
    let (first, second) = (publish(&norte, "a", Some(1)), publish(&norte, "b", Some(2)));
    assert_eq!(norte.apply(&first), Outcome::Started(Generation(2)));
    let waits_for = BTreeSet::from([sur()]);
    let refused = Rejection::CrossRegionPending {
        generation: Generation(2),
        id: ChangeId(1),
        awaited_regions: waits_for,
    };
    assert_eq!(norte.apply(&second), Outcome::Rejected(refused));
    assert_eq!(ended(&norte, 2), []);
}

#[test]
fn floors_hold_for_a_prepare_as_for_a_publish() {
    let (norte, mut sur) = begun();
    let identity = Identity {
        name: "n".to_owned(),
        incarnation: 1,
    };
    sur.apply(&Command::Register {
        identity,
        on_lease_loss: OnLeaseLoss::Fallback,
    });
    let prepare = prepare(&norte);
    let unchecked = Command::Prepare {
        revision: sur.revision(),
        change: prepare.change.clone(),
        text: prepare.text.clone(),
        fallback_generations: BTreeSet::new(),
    };
    assert_eq!(
        sur.apply(&unchecked),
        Outcome::Rejected(Rejection::Conflict)
    );
    assert_eq!(take_prepare(&mut sur, &prepare).vote, Vote::Preparing);
    assert!(matches!(
        sur.cross_region().map(|c| &c.role),
        Some(Role::Participant { voted: false })
    ));
}

#[test]
fn the_coordinator_is_the_first_region_by_name() {
    let regions = Regions::new(sur(), [norte(), sur()]);
    assert_eq!(
        (regions.coordinator(), regions.is_coordinator()),
        (&norte(), false)
    );
    assert_eq!(regions.others(), &BTreeSet::from([norte()]));
    assert!(Regions::new(norte(), [sur()]).is_coordinator());
    assert!(Regions::new(sur(), []).is_coordinator());
}

#[test]
fn a_name_of_a_region_is_checked_where_it_comes_from() {
    for name in ["norte", "eu-west_1", &"a".repeat(63)] {
        assert_eq!(
            name.parse::<Region>().map(String::from),
            Ok(name.to_owned())
        );
    }
    for name in ["", "1a", "-a", "Norte", "a b", "ñ", &"a".repeat(64)] {
        let fault = name.parse::<Region>().expect_err(name).to_string();
        assert!(fault.contains(&format!("{name:?}: allowed are")), "{fault}");
        assert!(serde_json::from_str::<Region>(&format!("{name:?}")).is_err());
    }
}

#[test]
fn a_refusal_says_what_is_waited_for() {
    let across = |waits_for: &[Region]| Rejection::CrossRegionPending {
        generation: Generation(7),
        id: ChangeId(255),
        awaited_regions: waits_for.iter().cloned().collect(),
    };
    let head = "the change of all regions 00000000000000ff, here generation 7, is not at its end: ";
    assert_eq!(
        across(&[sur()]).to_string(),
        format!("{head}it waits for region sur")
    );
    assert_eq!(
        across(&[sur(), norte()]).to_string(),
        format!("{head}it waits for regions norte, sur")
    );
    assert_eq!(
        across(&[]).to_string(),
        format!("{head}it waits for proxies of this region")
    );
    let awaits = Rejection::AwaitsDecision {
        coordinator: norte(),
    }
    .to_string();
    assert_eq!(
        awaits,
        "this region has voted for a change of all regions: region norte decides how it ends"
    );
}

#[test]
fn a_restart_between_any_two_steps_loses_nothing() {
    let (mut norte, mut sur) = (with_policy(), with_policy());
    publish_all(&mut norte, 1);
    for _ in 0..12 {
        (norte, sur) = (restarted(&norte), restarted(&sur));
        let requests = coordinator::requests(&norte);
        if let Some((_, request)) = requests.first() {
            let reply = match request {
                Request::Prepare(prepare) => take_prepare(&mut sur, prepare),
                Request::Commit(commit) => take_commit(&mut sur, commit),
            };
            (norte, sur) = (restarted(&norte), restarted(&sur));
            take_vote(&mut norte, &reply);
        }
        (norte, sur) = (restarted(&norte), restarted(&sur));
        lead(&mut sur);
        lead(&mut norte);
    }
    assert_eq!(
        (ended(&norte, 1), ended(&sur, 1)),
        (vec![ChangeStatus::Committed], vec![ChangeStatus::Committed])
    );
    assert_eq!(
        (
            norte.unacknowledged_commit(),
            norte.transition(),
            sur.transition()
        ),
        (None, None, None)
    );
}

/// What a course of events does next.
#[derive(Clone, Copy, Debug)]
enum Event {
    PublishAll,
    PublishHere(bool),
    Lead(bool),
    TimeOut(bool),
    /// Sends what the coordinator has to send.
    Send,
    /// Delivers one of all requests that were ever sent.
    Request(usize),
    /// Delivers one of all answers that were ever given.
    Answer(usize),
    Inquire,
    /// Delivers one of all outcomes that were ever told.
    Outcome(usize),
    Restart(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::PublishAll),
        1 => any::<bool>().prop_map(Event::PublishHere),
        6 => any::<bool>().prop_map(Event::Lead),
        1 => any::<bool>().prop_map(Event::TimeOut),
        4 => Just(Event::Send),
        6 => any::<usize>().prop_map(Event::Request),
        4 => any::<usize>().prop_map(Event::Answer),
        2 => Just(Event::Inquire),
        2 => any::<usize>().prop_map(Event::Outcome),
        1 => any::<bool>().prop_map(Event::Restart),
    ]
}

#[derive(Default)]
struct Course {
    norte: Record,
    sur: Record,
    published: u64,
    requests: Vec<Request>,
    answers: Vec<VoteReply>,
    outcomes: Vec<OutcomeReply>,
}

fn one_of<T: Clone>(all: &[T], number: usize) -> Option<T> {
    all.get(number.checked_rem(all.len())?).cloned()
}

impl Course {
    fn record(&mut self, is_norte: bool) -> &mut Record {
        if is_norte {
            &mut self.norte
        } else {
            &mut self.sur
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::PublishAll => {
                self.published += 1;
                publish_all(&mut self.norte, self.published);
            }
            Event::PublishHere(place) => {
                publish_here(self.record(place), "local");
            }
            Event::Lead(place) => {
                lead(self.record(place));
            }
            Event::TimeOut(place) => {
                let record = self.record(place);
                if let Some(command) = next_command(record, &leases(), NOW, 0, LIMITS) {
                    record.apply(&command);
                }
            }
            Event::Send => {
                let sent = coordinator::requests(&self.norte);
                self.requests
                    .extend(sent.into_iter().map(|(_, request)| request));
            }
            Event::Request(number) => match one_of(&self.requests, number) {
                Some(Request::Prepare(prepare)) => {
                    self.answers.push(take_prepare(&mut self.sur, &prepare));
                }
                Some(Request::Commit(commit)) => {
                    self.answers.push(take_commit(&mut self.sur, &commit));
                }
                None => {}
            },
            Event::Answer(number) => {
                if let Some(reply) = one_of(&self.answers, number) {
                    take_vote(&mut self.norte, &reply);
                }
            }
            Event::Inquire => {
                let inquiry = participant::outcome_request(&self.sur, &regions_of_sur());
                self.outcomes
                    .extend(inquiry.map(|(_, asked)| coordinator::outcome(&self.norte, &asked)));
            }
            Event::Outcome(number) => {
                let command = one_of(&self.outcomes, number)
                    .and_then(|reply| participant::on_outcome(&self.sur, &reply));
                command.map(|command| self.sur.apply(&command));
            }
            Event::Restart(place) => *self.record(place) = restarted(self.record(place)),
        }
    }

    /// Messages pass in order until nothing is under way.
    fn finish(&mut self) {
        for _ in 0..6 {
            ask_outcome(&self.norte, &mut self.sur);
            for (_, request) in coordinator::requests(&self.norte) {
                let reply = match request {
                    Request::Prepare(prepare) => take_prepare(&mut self.sur, &prepare),
                    Request::Commit(commit) => take_commit(&mut self.sur, &commit),
                };
                take_vote(&mut self.norte, &reply);
            }
            lead(&mut self.sur);
            lead(&mut self.norte);
        }
    }
}

/// How a change ended, without the reason.
fn is_in_force(record: &Record, id: u64) -> Option<bool> {
    let all = ended(record, id);
    assert!(all.len() <= 1, "a change begins once: {all:?}");
    match all.first() {
        Some(ChangeStatus::Committed) => Some(true),
        Some(ChangeStatus::Aborted { .. }) => Some(false),
        Some(ChangeStatus::Pending) | None => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn however_messages_and_restarts_fall_every_change_ends_alike(
        events in proptest::collection::vec(event(), 0..80),
    ) {
        let mut course = Course { norte: with_policy(), sur: with_policy(), ..Course::default() };
        for event in events {
            course.take(event);
            for id in 1..=course.published {
                let both = (is_in_force(&course.norte, id), is_in_force(&course.sur, id));
                prop_assert!(!matches!(both, (Some(a), Some(b)) if a != b), "{id}: {both:?}");
            }
        }
        course.finish();
        prop_assert_eq!(course.norte.transition(), None);
        prop_assert_eq!(course.sur.transition(), None);
        prop_assert_eq!(course.norte.unacknowledged_commit(), None);
        for id in 1..=course.published {
            let in_force = |record: &Record| is_in_force(record, id) == Some(true);
            prop_assert_eq!(in_force(&course.norte), in_force(&course.sur));
        }
    }
}
