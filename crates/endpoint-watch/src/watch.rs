//! The state machine of the watch: one poll at a time, a second one beside it when its response is overdue, and at most
//! one of the two responses accepted.

use crate::backoff::Backoff;
use crate::event::{Input, Output, PollId, ProtocolViolation};
use crate::pacing::Pacing;
use crate::poll_schedule::PollSchedule;
use crate::stall_detector::READ_PENDING_TIME;
use crate::timeouts::{Source, Timeouts, SERVICE_RESPONSE_TIMEOUT};
use crate::Micros;

/// Delay after a response that came sooner than this and held no change. A faulty service is thus not polled in a tight
/// loop, and the delay stays within the 200 ms in which the next poll continues the watch.
const EMPTY_RESPONSE_DELAY: Micros = 50_000;
/// A timer that fires later than this was held up together with the whole process. It proves nothing about the source,
/// whose response may have arrived meanwhile.
const TIMER_DELAY_TOLERANCE: Micros = 100_000;
/// Polls in flight at the same time: the watch, and the one beside it.
const MAX_IN_FLIGHT: usize = 2;

/// A poll without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlightPoll {
    id: PollId,
    sent_at: Micros,
    /// Changes after this index were requested; `None`: the complete list.
    index: Option<u64>,
    wait: Micros,
    /// How long it may stay in the queue of the source before its wait begins.
    queue_time: Micros,
    overdue: bool,
}

/// Decides when the endpoint list is polled and which response is accepted.
///
/// It does no I/O and reads no clock: the caller passes each [`Input`] with the current time and carries out each
/// [`Output`]. All times are in microseconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Watch {
    timeouts: Timeouts,
    /// Index of the current list.
    index: Option<u64>,
    /// The oldest first.
    in_flight: Vec<InFlightPoll>,
    next_id: u64,
    /// When the next poll is sent, unless something happens before.
    next_poll_at: Option<Micros>,
    /// No poll becomes overdue before this time: the process was stalled, and what arrived meanwhile is read first.
    overdue_not_before: Micros,
    /// The current connection was without a poll for longer than a watch lasts, so it may have died unnoticed.
    connection_suspect: bool,
    /// The last poll was rejected. The next one shall wait in the service's queue, and a second one beside it would take
    /// its place there.
    service_overloaded: bool,
    pacing: Pacing,
}

impl Watch {
    /// Creates a watch of the list whose index is `index`, or `None` if there is no list yet.
    ///
    /// `schedule` spreads the polls where many proxies share one list service. `seed` must differ from proxy to proxy, so
    /// that proxies whose polls fail together do not retry together.
    pub fn new(
        timeouts: Timeouts,
        index: Option<u64>,
        schedule: Option<PollSchedule>,
        seed: u64,
    ) -> Self {
        let pacing = match schedule {
            Some(schedule) => Pacing::Fleet(schedule),
            None => Pacing::Single(Backoff::new(timeouts.backoff, seed)),
        };
        Watch {
            timeouts,
            index,
            in_flight: Vec::new(),
            next_id: 0,
            next_poll_at: None,
            overdue_not_before: 0,
            connection_suspect: false,
            service_overloaded: false,
            pacing,
        }
    }

    /// Index of the current list; `None` if there is none, or none of the current source.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Polls that have no response yet, the oldest first.
    pub fn in_flight(&self) -> impl Iterator<Item = PollId> + '_ {
        self.in_flight.iter().map(|poll| poll.id)
    }

    /// When to pass [`Input::Timer`]; `None` if nothing is due before another input.
    pub fn next_deadline(&self) -> Option<Micros> {
        let response_deadlines = self
            .in_flight
            .iter()
            .filter(|poll| !poll.overdue)
            .map(|poll| self.response_deadline(poll));
        self.next_poll_at
            .into_iter()
            .chain(response_deadlines)
            .min()
    }

    /// Handles `input` at time `now` and appends what has to be done to `out`. `idle` tells that the proxy has received no
    /// calls for long, so that the longer wait of [`PollConfig::idle_wait`](crate::PollConfig::idle_wait) applies.
    pub fn handle(&mut self, now: Micros, input: Input, idle: bool, out: &mut Vec<Output>) {
        match input {
            Input::Start => self.on_start(now),
            Input::Response {
                poll,
                index,
                complete,
            } => {
                if let Some(poll) = self.remove_in_flight(poll) {
                    self.on_response(now, poll, index, complete, out);
                }
            }
            Input::Failed { poll } => {
                if self.remove_in_flight(poll).is_some() {
                    self.on_failure(now, out);
                }
            }
            Input::Rejected { poll } => {
                if self.remove_in_flight(poll).is_some() {
                    self.service_overloaded = true;
                    self.on_failure(now, out);
                }
            }
            Input::SourceChanged => self.on_source_changed(now, out),
            Input::Timer => self.on_timer(now, idle, out),
        }
        if self.next_poll_at.is_some_and(|at| at <= now) {
            let fresh_connection = std::mem::take(&mut self.connection_suspect);
            self.send_poll(now, idle, fresh_connection, out);
        }
    }

    fn on_start(&mut self, now: Micros) {
        if self.in_flight.is_empty() && self.next_poll_at.is_none() {
            self.next_poll_at = Some(now + self.pacing.initial_delay());
        }
    }

    fn on_source_changed(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.cancel_all(out);
        self.index = None;
        self.service_overloaded = false;
        self.pacing.on_source_changed();
        self.next_poll_at = Some(now + self.pacing.initial_delay());
    }

    /// A poll failed. Another one in flight that is overdue may still get its response, but is not relied on.
    fn on_failure(&mut self, now: Micros, out: &mut Vec<Output>) {
        let all_overdue = self.in_flight.iter().all(|poll| poll.overdue);
        if all_overdue && self.next_poll_at.is_none() {
            self.schedule_retry(now, out);
        }
    }

    fn on_response(
        &mut self,
        now: Micros,
        poll: InFlightPoll,
        index: u64,
        complete: bool,
        out: &mut Vec<Output>,
    ) {
        // A response that is read this late was held up by a stall of this process.
        self.connection_suspect = now > self.response_deadline(&poll) + TIMER_DELAY_TOLERANCE;
        // A later response is to an older poll, or holds nothing more.
        self.cancel_all(out);
        let violation = ProtocolViolation::detect(poll.index, index, complete);
        out.extend(violation.map(Output::Violation));
        match violation {
            Some(ProtocolViolation::ChangesInsteadOfList) => self.schedule_retry(now, out),
            Some(ProtocolViolation::IndexWentBack { .. }) => {
                self.index = None;
                self.next_poll_at = Some(now);
            }
            Some(ProtocolViolation::NewIncarnation { .. }) | None => {
                out.push(Output::Accept);
                self.on_accepted(now, poll.sent_at, index);
            }
        }
    }

    /// A list with `index` was accepted as the response to a poll sent at `sent_at`.
    fn on_accepted(&mut self, now: Micros, sent_at: Micros, index: u64) {
        self.service_overloaded = false;
        let updated = self.index.replace(index) != Some(index);
        let mut delay = self.pacing.delay_after_response(updated);
        if !updated && now.saturating_sub(sent_at) < EMPTY_RESPONSE_DELAY {
            delay = delay.max(EMPTY_RESPONSE_DELAY);
        }
        self.next_poll_at = Some(now + delay);
    }

    fn on_timer(&mut self, now: Micros, idle: bool, out: &mut Vec<Output>) {
        // An agent costs nothing to poll, so a second poll goes out even where the process may have been stalled.
        if self.timeouts.source == Source::Service && self.timer_was_delayed(now) {
            self.overdue_not_before = now + READ_PENDING_TIME;
            return;
        }
        let newest = self.in_flight.last().copied();
        if let Some(poll) = newest {
            if !poll.overdue && self.response_deadline(&poll) <= now {
                self.on_overdue(now, poll.id, idle, out);
            }
        }
    }

    /// The response to the newest poll is overdue.
    fn on_overdue(&mut self, now: Micros, newest: PollId, idle: bool, out: &mut Vec<Output>) {
        for poll in &mut self.in_flight {
            poll.overdue = true;
        }
        out.push(Output::Overdue(newest));
        if self.in_flight.len() == MAX_IN_FLIGHT {
            // The newer one stays: its connection may have been established late, and its response waits its turn.
            let oldest = self.in_flight.remove(0);
            out.push(Output::Cancel(oldest.id));
            if self.timeouts.source == Source::Service {
                self.schedule_retry(now, out);
                return;
            }
        }
        // A proxy counts as notified of what its agent has as soon as the agent responds again: no delay.
        self.send_poll(now, idle, true, out);
    }

    fn send_poll(
        &mut self,
        now: Micros,
        idle: bool,
        fresh_connection: bool,
        out: &mut Vec<Output>,
    ) {
        self.next_poll_at = None;
        let (wait, queue_time) = match &mut self.pacing {
            Pacing::Fleet(schedule) => (schedule.next_wait(idle), 0),
            // The time in the queue comes before the wait.
            Pacing::Single(_) if self.service_overloaded => {
                (self.timeouts.response_slack, SERVICE_RESPONSE_TIMEOUT)
            }
            Pacing::Single(_) => (self.timeouts.wait, 0),
        };
        let id = PollId(self.next_id);
        self.next_id += 1;
        self.in_flight.push(InFlightPoll {
            id,
            sent_at: now,
            index: self.index,
            wait,
            queue_time,
            overdue: false,
        });
        out.push(Output::Send {
            poll: id,
            index: self.index,
            wait,
            fresh_connection,
        });
    }

    /// Whether a timer that fires at `now` is so late that this process must have been stalled. True once for each poll,
    /// or a proxy with almost no processor time would never find a poll overdue.
    fn timer_was_delayed(&self, now: Micros) -> bool {
        let first_time = self
            .in_flight
            .last()
            .is_some_and(|poll| self.overdue_not_before <= poll.sent_at);
        first_time
            && self
                .next_deadline()
                .is_some_and(|deadline| deadline + TIMER_DELAY_TOLERANCE < now)
    }

    /// When the response to `poll` is overdue.
    fn response_deadline(&self, poll: &InFlightPoll) -> Micros {
        // A poll for the complete list gets its response in turn and has as long, as its connection may be dead as well.
        let wait = poll.index.map_or(self.timeouts.wait, |_| poll.wait);
        let deadline = poll.sent_at + poll.queue_time + wait + self.timeouts.response_slack;
        deadline.max(self.overdue_not_before)
    }

    fn remove_in_flight(&mut self, id: PollId) -> Option<InFlightPoll> {
        let position = self.in_flight.iter().position(|poll| poll.id == id)?;
        Some(self.in_flight.remove(position))
    }

    fn cancel_all(&mut self, out: &mut Vec<Output>) {
        let cancelled = self.in_flight.drain(..).map(|poll| Output::Cancel(poll.id));
        out.extend(cancelled);
        self.next_poll_at = None;
    }

    fn schedule_retry(&mut self, now: Micros, out: &mut Vec<Output>) {
        out.push(Output::Failed);
        self.next_poll_at = Some(now + self.pacing.retry_delay());
    }
}
