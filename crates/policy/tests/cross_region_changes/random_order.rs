//! Property test with messages and restarts in random order.

use crate::fixture::*;
use badgerramp_policy::regions::participant;
use badgerramp_policy::regions::{coordinator, OutcomeReply, Request, VoteReply};
use badgerramp_policy::{next_command, ChangeStatus, Record};
use proptest::prelude::*;

/// A random event.
#[derive(Clone, Copy, Debug)]
enum Event {
    PublishCrossRegion,
    PublishLocal(bool),
    LogNextCommand(bool),
    TimeOut(bool),
    /// Sends the coordinator's requests.
    Send,
    /// Delivers one of the requests sent so far.
    Request(usize),
    /// Delivers one of the replies sent so far.
    Reply(usize),
    RequestOutcome,
    /// Delivers one of the outcomes sent so far.
    Outcome(usize),
    Restart(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::PublishCrossRegion),
        1 => any::<bool>().prop_map(Event::PublishLocal),
        6 => any::<bool>().prop_map(Event::LogNextCommand),
        1 => any::<bool>().prop_map(Event::TimeOut),
        4 => Just(Event::Send),
        6 => any::<usize>().prop_map(Event::Request),
        4 => any::<usize>().prop_map(Event::Reply),
        2 => Just(Event::RequestOutcome),
        2 => any::<usize>().prop_map(Event::Outcome),
        1 => any::<bool>().prop_map(Event::Restart),
    ]
}

#[derive(Default)]
struct Simulation {
    norte: Record,
    sur: Record,
    published: u64,
    requests: Vec<Request>,
    replies: Vec<VoteReply>,
    outcomes: Vec<OutcomeReply>,
}

/// Returns the item at this index modulo the number of items, if there are any.
fn pick<T: Clone>(items: &[T], index: usize) -> Option<T> {
    items.get(index.checked_rem(items.len())?).cloned()
}

impl Simulation {
    fn record(&mut self, is_norte: bool) -> &mut Record {
        if is_norte {
            &mut self.norte
        } else {
            &mut self.sur
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::PublishCrossRegion => {
                self.published += 1;
                publish_cross_region(&mut self.norte, self.published);
            }
            Event::PublishLocal(is_norte) => {
                publish_local(self.record(is_norte), "local");
            }
            Event::LogNextCommand(is_norte) => {
                log_next_command(self.record(is_norte));
            }
            Event::TimeOut(is_norte) => {
                let record = self.record(is_norte);
                if let Some(command) = next_command(record, &leases(), NOW, 0, TIMEOUTS) {
                    record.apply(&command);
                }
            }
            Event::Send => {
                let sent = coordinator::requests(&self.norte);
                self.requests
                    .extend(sent.into_iter().map(|(_, request)| request));
            }
            Event::Request(index) => match pick(&self.requests, index) {
                Some(Request::Prepare(prepare)) => {
                    self.replies.push(deliver_prepare(&mut self.sur, &prepare));
                }
                Some(Request::Commit(commit)) => {
                    self.replies.push(deliver_commit(&mut self.sur, &commit));
                }
                None => {}
            },
            Event::Reply(index) => {
                if let Some(reply) = pick(&self.replies, index) {
                    deliver_vote(&mut self.norte, &reply);
                }
            }
            Event::RequestOutcome => {
                let request = participant::outcome_request(&self.sur, &regions_of_sur());
                self.outcomes.extend(
                    request.map(|(_, request)| coordinator::outcome(&self.norte, &request)),
                );
            }
            Event::Outcome(index) => {
                let command = pick(&self.outcomes, index)
                    .and_then(|reply| participant::on_outcome(&self.sur, &reply));
                command.map(|command| self.sur.apply(&command));
            }
            Event::Restart(is_norte) => *self.record(is_norte) = restarted(self.record(is_norte)),
        }
    }

    /// Delivers every message in order until no change is pending.
    fn finish(&mut self) {
        for _ in 0..6 {
            resolve_outcome(&self.norte, &mut self.sur);
            for (_, request) in coordinator::requests(&self.norte) {
                let reply = match request {
                    Request::Prepare(prepare) => deliver_prepare(&mut self.sur, &prepare),
                    Request::Commit(commit) => deliver_commit(&mut self.sur, &commit),
                };
                deliver_vote(&mut self.norte, &reply);
            }
            log_next_command(&mut self.sur);
            log_next_command(&mut self.norte);
        }
    }
}

/// Returns whether a change was committed (true) or aborted (false); `None` while it is pending.
fn is_committed(record: &Record, id: u64) -> Option<bool> {
    let statuses = statuses(record, id);
    assert!(
        statuses.len() <= 1,
        "the change started more than once: {statuses:?}"
    );
    match statuses.first() {
        Some(ChangeStatus::Committed) => Some(true),
        Some(ChangeStatus::Aborted { .. }) => Some(false),
        Some(ChangeStatus::Pending) | None => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn every_change_has_the_same_outcome_in_both_regions_for_any_order_of_messages_and_restarts(
        events in proptest::collection::vec(event(), 0..80),
    ) {
        let mut simulation = Simulation { norte: record_with_policy(), sur: record_with_policy(), ..Simulation::default() };
        for event in events {
            simulation.apply(event);
            for id in 1..=simulation.published {
                let outcomes = (is_committed(&simulation.norte, id), is_committed(&simulation.sur, id));
                prop_assert!(!matches!(outcomes, (Some(a), Some(b)) if a != b), "{id}: {outcomes:?}");
            }
        }
        simulation.finish();
        prop_assert_eq!(simulation.norte.transition(), None);
        prop_assert_eq!(simulation.sur.transition(), None);
        prop_assert_eq!(simulation.norte.unacknowledged_commit(), None);
        for id in 1..=simulation.published {
            let committed_in = |record: &Record| is_committed(record, id) == Some(true);
            prop_assert_eq!(committed_in(&simulation.norte), committed_in(&simulation.sur));
        }
    }
}
