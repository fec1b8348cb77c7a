//! The watch: one question at a time, a second one beside it when its answer is late, and one answer that holds.

use crate::backoff::Backoff;
use crate::event::{Input, Output, PollId, ProtocolViolation};
use crate::poll_schedule::PollSchedule;
use crate::stall_detector::READ;
use crate::timeouts::{Source, Timeouts, SERVICE_RESPONSE_TIMEOUT};
use crate::Micros;

/// An answer that came sooner and told nothing new is followed by a pause of as long: it stays within the 200 ms in which
/// the next question goes on with the watch, and keeps a confused service from being asked without end.
const CALM: Micros = 50_000;
/// A timer that comes so late was held up with the whole process: it proves nothing of the other side, whose answer may
/// have come meanwhile.
const HELD_UP: Micros = 100_000;
/// Questions that are out at the same time: the watch, and the one beside it.
const OPEN_MOST: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlightPoll {
    id: PollId,
    asked: Micros,
    index: Option<u64>,
    wait: Micros,
    /// How long it may stand in the source's queue before the wait begins.
    queue: Micros,
    doubted: bool,
}

/// When the list is asked for.
#[derive(Clone, Debug)]
pub struct Watch {
    timeouts: Timeouts,
    index: Option<u64>,
    /// The oldest first.
    in_flight: Vec<InFlightPoll>,
    next: u64,
    /// When to ask, if nothing else is heard before. Of what is open then all is doubted.
    ask_at: Option<Micros>,
    /// Nothing is doubted before: the process stood still, and what came in is read first.
    believe_until: Micros,
    /// The connection that is there has been idle for longer than a watch goes on: it may have fallen silent unseen.
    idle_link: bool,
    /// The last question was refused: the next one is to stand in the source's queue, and a second one beside it would
    /// take its place there.
    crowded: bool,
    schedule: Option<PollSchedule>,
    /// The pauses after questions that failed, where no turns are taken.
    backoff: Backoff,
}

impl Watch {
    /// One that knows the list of this version. `schedule` gives the turns, where an operator has many proxies ask one
    /// service. `seed` differs from proxy to proxy, so that those whose questions fail together don't ask together again.
    pub fn new(
        timeouts: Timeouts,
        index: Option<u64>,
        schedule: Option<PollSchedule>,
        seed: u64,
    ) -> Self {
        Watch {
            timeouts,
            index,
            in_flight: Vec::new(),
            next: 0,
            ask_at: None,
            believe_until: 0,
            idle_link: false,
            crowded: false,
            schedule,
            backoff: Backoff::new(timeouts.backoff, seed),
        }
    }

    /// The version of the list that is there.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Questions that are out.
    pub fn in_flight(&self) -> impl Iterator<Item = PollId> + '_ {
        self.in_flight.iter().map(|q| q.id)
    }

    /// When [`Input::Timer`] is due; `None`: not before something else happens.
    pub fn next_deadline(&self) -> Option<Micros> {
        let doubts = self
            .in_flight
            .iter()
            .filter(|q| !q.doubted)
            .map(|q| self.response_deadline(q));
        self.ask_at.into_iter().chain(doubts).min()
    }

    /// Takes one input at `now` and appends what is to be done. `idle`: no call has come for long, so that a longer wait
    /// serves, where an operator has set one.
    pub fn handle(&mut self, now: Micros, input: Input, idle: bool, out: &mut Vec<Output>) {
        match input {
            Input::Start if self.in_flight.is_empty() && self.ask_at.is_none() => {
                self.ask_at = Some(
                    now + self
                        .schedule
                        .as_mut()
                        .map_or(0, PollSchedule::initial_delay),
                );
            }
            Input::Start => {}
            Input::Response {
                poll,
                index,
                complete,
            } => {
                if let Some(place) = self.in_flight.iter().position(|q| q.id == poll) {
                    self.answered(now, place, (index, complete), out);
                }
            }
            Input::Failed { poll } => self.failed(now, poll, out),
            Input::Rejected { poll } => {
                self.crowded |= self.in_flight.iter().any(|q| q.id == poll);
                self.failed(now, poll, out);
            }
            Input::SourceChanged => {
                self.drop_all(out);
                self.index = None;
                self.crowded = false;
                self.backoff.over();
                self.ask_at = Some(
                    now + self
                        .schedule
                        .as_mut()
                        .map_or(0, PollSchedule::initial_delay),
                );
            }
            // An agent costs nothing to ask, so that it is asked beside at once.
            Input::Timer if self.timeouts.source == Source::Service && self.held_up(now) => {
                self.believe_until = now + READ;
            }
            Input::Timer => self.doubt(now, idle, out),
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            let fresh_connection = std::mem::take(&mut self.idle_link);
            self.ask(now, idle, fresh_connection, out);
        }
    }

    /// A question came to nothing. Of the others one that is doubted proves nothing; it may still be answered.
    fn failed(&mut self, now: Micros, poll: PollId, out: &mut Vec<Output>) {
        let before = self.in_flight.len();
        self.in_flight.retain(|q| q.id != poll);
        let doubted = self.in_flight.iter().all(|q| q.doubted);
        if self.in_flight.len() < before && doubted && self.ask_at.is_none() {
            self.fail(now, out);
        }
    }

    fn answered(
        &mut self,
        now: Micros,
        place: usize,
        (index, complete): (u64, bool),
        out: &mut Vec<Output>,
    ) {
        // It settles whatever else is out: an answer that comes later is to an older question, or tells nothing more.
        let poll = self.in_flight.remove(place);
        // Read so late that this process must have stood still.
        self.idle_link = now > self.response_deadline(&poll) + HELD_UP;
        self.drop_all(out);
        let odd = match poll.index {
            None if !complete => Some(ProtocolViolation::ChangesInsteadOfList),
            Some(requested) if index < requested && complete => {
                Some(ProtocolViolation::NewIncarnation {
                    requested,
                    received: index,
                })
            }
            Some(requested) if index < requested => Some(ProtocolViolation::IndexWentBack {
                requested,
                received: index,
            }),
            _ => None,
        };
        out.extend(odd.map(Output::Violation));
        match odd {
            // Nothing is to be made of it; the whole list shows what holds.
            Some(ProtocolViolation::ChangesInsteadOfList) => return self.fail(now, out),
            Some(ProtocolViolation::IndexWentBack { .. }) => {
                self.index = None;
                self.ask_at = Some(now);
                return;
            }
            Some(ProtocolViolation::NewIncarnation { .. }) | None => out.push(Output::Accept),
        }
        self.backoff.over();
        self.crowded = false;
        let news = self.index.replace(index) != Some(index);
        let calm = !news && now.saturating_sub(poll.asked) < CALM;
        let told = self.schedule.as_mut().map_or(0, |schedule| {
            schedule.reset_backoff();
            if news {
                schedule.delay_after_update()
            } else {
                0
            }
        });
        self.ask_at = Some(now + told.max(if calm { CALM } else { 0 }));
    }

    /// The newest question is late.
    fn doubt(&mut self, now: Micros, idle: bool, out: &mut Vec<Output>) {
        let Some(newest) = self
            .in_flight
            .last()
            .copied()
            .filter(|q| !q.doubted && self.response_deadline(q) <= now)
        else {
            return;
        };
        self.in_flight.iter_mut().for_each(|q| q.doubted = true);
        out.push(Output::Overdue(newest.id));
        if self.in_flight.len() == OPEN_MOST {
            // The newer one stays: its connection may have come up late, and its answer waits in turn.
            let oldest = self.in_flight.remove(0);
            out.push(Output::Cancel(oldest.id));
            if self.timeouts.source == Source::Service {
                return self.fail(now, out);
            }
        }
        // What an agent has counts as told the moment it answers again.
        self.ask(now, idle, true, out);
    }

    fn ask(&mut self, now: Micros, idle: bool, fresh_connection: bool, out: &mut Vec<Output>) {
        self.ask_at = None;
        let (wait, queue) = match &mut self.schedule {
            Some(schedule) => (schedule.next_wait(idle), 0),
            None if self.crowded => (self.timeouts.response_slack, SERVICE_RESPONSE_TIMEOUT),
            None => (self.timeouts.wait, 0),
        };
        let poll = PollId(self.next);
        self.next += 1;
        self.in_flight.push(InFlightPoll {
            id: poll,
            asked: now,
            index: self.index,
            wait,
            queue,
            doubted: false,
        });
        out.push(Output::Send {
            poll,
            index: self.index,
            wait,
            fresh_connection,
        });
    }

    /// Is the timer so late that this process must have stood still? Once for each question, or a proxy with almost no
    /// processor time would never doubt.
    fn held_up(&self, now: Micros) -> bool {
        let anew = self
            .in_flight
            .last()
            .is_some_and(|q| self.believe_until <= q.asked);
        anew && self.next_deadline().is_some_and(|due| due + HELD_UP < now)
    }

    fn response_deadline(&self, poll: &InFlightPoll) -> Micros {
        // A question for the whole list is answered in its turn, and has as long: its connection may be silent as well.
        let wait = poll.index.map_or(self.timeouts.wait, |_| poll.wait);
        (poll.asked + poll.queue + wait + self.timeouts.response_slack).max(self.believe_until)
    }

    fn drop_all(&mut self, out: &mut Vec<Output>) {
        out.extend(self.in_flight.drain(..).map(|q| Output::Cancel(q.id)));
        self.ask_at = None;
    }

    fn fail(&mut self, now: Micros, out: &mut Vec<Output>) {
        out.push(Output::Failed);
        let pause = match &mut self.schedule {
            Some(schedule) => schedule.retry_delay(),
            None => self.backoff.next(),
        };
        self.ask_at = Some(now + pause);
    }
}
