//! The watch: one question at a time, a second one beside it when its answer is late, and one answer that holds.

use crate::budget::{Budget, Source, SERVICE_ANSWERS};
use crate::pause::Pause;
use crate::stall::READ;
use crate::Micros;
use badgerramp_subset::Poll;

/// An answer that came sooner and told nothing new is followed by a pause of as long: it stays within the 200 ms in which
/// the next question goes on with the watch, and keeps a confused service from being asked without end.
const CALM: Micros = 50_000;
/// A timer that comes so late was held up with the whole process: it proves nothing of the other side, whose answer may
/// have come meanwhile.
const HELD_UP: Micros = 100_000;
/// Questions that are out at the same time: the watch, and the one beside it.
const OPEN_MOST: usize = 2;

/// A question, by its number since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The decisions want the list to be watched. Means nothing while it is, or is about to be.
    Begin,
    /// An answer that can be read: its index, and whether it is the whole list.
    Answered {
        /// To which question.
        question: QuestionId,
        /// The list's version.
        index: u64,
        /// The whole list, or what changed.
        whole: bool,
    },
    /// A question failed: no connection, a reset, an answer that can't be read.
    Failed {
        /// Which.
        question: QuestionId,
    },
    /// The source refused a question: it is there, and has more callers than it can answer in time.
    Refused {
        /// Which.
        question: QuestionId,
    },
    /// The source is another one now.
    Moved,
    /// [`Watch::due`] is over.
    Timer,
}

/// What is wrong with an answer that could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    /// Changes, where the whole list was asked for.
    NoList,
    /// Changes up to an index before the one asked from: they are those of another life of the service.
    Back {
        /// Asked from.
        from: u64,
        /// Told.
        to: u64,
    },
    /// The whole list, with an index before the one asked from: it holds, as another life of the service.
    AnotherLife {
        /// Asked from.
        from: u64,
        /// Told.
        to: u64,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask.
    Ask {
        /// Its number.
        question: QuestionId,
        /// For what is newer than this; `None`: for the whole list.
        index: Option<u64>,
        /// How long it may wait at the source for news, in microseconds.
        wait: Micros,
        /// On a connection of its own, as what is there may be silent.
        fresh: bool,
    },
    /// Nobody waits for this question any more: its connection is closed.
    Drop(QuestionId),
    /// The answer that came just now holds.
    Take,
    /// The answer that came just now is odd.
    Odd(Odd),
    /// A watch is doubted: its answer is late.
    Doubted(QuestionId),
    /// Asking has failed; the list that is there stands.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Question {
    id: QuestionId,
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
    budget: Budget,
    index: Option<u64>,
    /// The oldest first.
    open: Vec<Question>,
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
    poll: Option<Poll>,
    /// The pauses after questions that failed, where no turns are taken.
    pause: Pause,
}

impl Watch {
    /// One that knows the list of this version. `poll` gives the turns, where an operator has many proxies ask one
    /// service. `seed` differs from proxy to proxy, so that those whose questions fail together don't ask together again.
    pub fn new(budget: Budget, index: Option<u64>, poll: Option<Poll>, seed: u64) -> Self {
        Watch {
            budget,
            index,
            open: Vec::new(),
            next: 0,
            ask_at: None,
            believe_until: 0,
            idle_link: false,
            crowded: false,
            poll,
            pause: Pause::new(budget.pause, seed),
        }
    }

    /// The version of the list that is there.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Questions that are out.
    pub fn open(&self) -> impl Iterator<Item = QuestionId> + '_ {
        self.open.iter().map(|q| q.id)
    }

    /// When [`Input::Timer`] is due; `None`: not before something else happens.
    pub fn due(&self) -> Option<Micros> {
        let doubts = self
            .open
            .iter()
            .filter(|q| !q.doubted)
            .map(|q| self.patience(q));
        self.ask_at.into_iter().chain(doubts).min()
    }

    /// Takes one input at `now` and appends what is to be done. `idle`: no call has come for long, so that a longer wait
    /// serves, where an operator has set one.
    pub fn handle(&mut self, now: Micros, input: Input, idle: bool, out: &mut Vec<Output>) {
        match input {
            Input::Begin if self.open.is_empty() && self.ask_at.is_none() => {
                self.ask_at = Some(now + self.poll.as_mut().map_or(0, Poll::first));
            }
            Input::Begin => {}
            Input::Answered {
                question,
                index,
                whole,
            } => {
                if let Some(place) = self.open.iter().position(|q| q.id == question) {
                    self.answered(now, place, (index, whole), out);
                }
            }
            Input::Failed { question } => self.failed(now, question, out),
            Input::Refused { question } => {
                self.crowded |= self.open.iter().any(|q| q.id == question);
                self.failed(now, question, out);
            }
            Input::Moved => {
                self.drop_all(out);
                self.index = None;
                self.crowded = false;
                self.pause.over();
                self.ask_at = Some(now + self.poll.as_mut().map_or(0, Poll::first));
            }
            // An agent costs nothing to ask, so that it is asked beside at once.
            Input::Timer if self.budget.source == Source::Service && self.held_up(now) => {
                self.believe_until = now + READ;
            }
            Input::Timer => self.doubt(now, idle, out),
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            let fresh = std::mem::take(&mut self.idle_link);
            self.ask(now, idle, fresh, out);
        }
    }

    /// A question came to nothing. Of the others one that is doubted proves nothing; it may still be answered.
    fn failed(&mut self, now: Micros, question: QuestionId, out: &mut Vec<Output>) {
        let before = self.open.len();
        self.open.retain(|q| q.id != question);
        let doubted = self.open.iter().all(|q| q.doubted);
        if self.open.len() < before && doubted && self.ask_at.is_none() {
            self.fail(now, out);
        }
    }

    fn answered(
        &mut self,
        now: Micros,
        place: usize,
        (index, whole): (u64, bool),
        out: &mut Vec<Output>,
    ) {
        // It settles whatever else is out: an answer that comes later is to an older question, or tells nothing more.
        let question = self.open.remove(place);
        // Read so late that this process must have stood still.
        self.idle_link = now > self.patience(&question) + HELD_UP;
        self.drop_all(out);
        let odd = match question.index {
            None if !whole => Some(Odd::NoList),
            Some(from) if index < from && whole => Some(Odd::AnotherLife { from, to: index }),
            Some(from) if index < from => Some(Odd::Back { from, to: index }),
            _ => None,
        };
        out.extend(odd.map(Output::Odd));
        match odd {
            // Nothing is to be made of it; the whole list shows what holds.
            Some(Odd::NoList) => return self.fail(now, out),
            Some(Odd::Back { .. }) => {
                self.index = None;
                self.ask_at = Some(now);
                return;
            }
            Some(Odd::AnotherLife { .. }) | None => out.push(Output::Take),
        }
        self.pause.over();
        self.crowded = false;
        let news = self.index.replace(index) != Some(index);
        let calm = !news && now.saturating_sub(question.asked) < CALM;
        let told = self.poll.as_mut().map_or(0, |poll| {
            poll.answered();
            if news {
                poll.told()
            } else {
                0
            }
        });
        self.ask_at = Some(now + told.max(if calm { CALM } else { 0 }));
    }

    /// The newest question is late.
    fn doubt(&mut self, now: Micros, idle: bool, out: &mut Vec<Output>) {
        let Some(newest) = self
            .open
            .last()
            .copied()
            .filter(|q| !q.doubted && self.patience(q) <= now)
        else {
            return;
        };
        self.open.iter_mut().for_each(|q| q.doubted = true);
        out.push(Output::Doubted(newest.id));
        if self.open.len() == OPEN_MOST {
            // The newer one stays: its connection may have come up late, and its answer waits in turn.
            let oldest = self.open.remove(0);
            out.push(Output::Drop(oldest.id));
            if self.budget.source == Source::Service {
                return self.fail(now, out);
            }
        }
        // What an agent has counts as told the moment it answers again.
        self.ask(now, idle, true, out);
    }

    fn ask(&mut self, now: Micros, idle: bool, fresh: bool, out: &mut Vec<Output>) {
        self.ask_at = None;
        let (wait, queue) = match &mut self.poll {
            Some(poll) => (poll.wait(idle), 0),
            None if self.crowded => (self.budget.doubt, SERVICE_ANSWERS),
            None => (self.budget.wait, 0),
        };
        let question = QuestionId(self.next);
        self.next += 1;
        self.open.push(Question {
            id: question,
            asked: now,
            index: self.index,
            wait,
            queue,
            doubted: false,
        });
        out.push(Output::Ask {
            question,
            index: self.index,
            wait,
            fresh,
        });
    }

    /// Is the timer so late that this process must have stood still? Once for each question, or a proxy with almost no
    /// processor time would never doubt.
    fn held_up(&self, now: Micros) -> bool {
        let anew = self
            .open
            .last()
            .is_some_and(|q| self.believe_until <= q.asked);
        anew && self.due().is_some_and(|due| due + HELD_UP < now)
    }

    fn patience(&self, question: &Question) -> Micros {
        // A question for the whole list is answered in its turn, and has as long: its connection may be silent as well.
        let wait = question.index.map_or(self.budget.wait, |_| question.wait);
        (question.asked + question.queue + wait + self.budget.doubt).max(self.believe_until)
    }

    fn drop_all(&mut self, out: &mut Vec<Output>) {
        out.extend(self.open.drain(..).map(|q| Output::Drop(q.id)));
        self.ask_at = None;
    }

    fn fail(&mut self, now: Micros, out: &mut Vec<Output>) {
        out.push(Output::Failed);
        let pause = match &mut self.poll {
            Some(poll) => poll.failed(),
            None => self.pause.next(),
        };
        self.ask_at = Some(now + pause);
    }
}
