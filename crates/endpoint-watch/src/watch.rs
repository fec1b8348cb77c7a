//! The state machine of the watch. It sends one poll at a time, and a second one in parallel when the response to the
//! first is overdue. It accepts at most one of the two responses.

use crate::backoff::Backoff;
use crate::event::{Input, Output, PollId, ProtocolViolation};
use crate::pacing::Pacing;
use crate::poll_schedule::PollSchedule;
use crate::stall_detector::READ_PENDING_TIME;
use crate::timeouts::{Source, Timeouts, SERVICE_RESPONSE_TIMEOUT};
use crate::Micros;

/// Delay after a response that came sooner than this and held no change, so that a faulty service is not polled in a
/// tight loop. It is well below the 200 ms within which the next poll must arrive to continue the watch.
const EMPTY_RESPONSE_DELAY: Micros = 50_000;
/// Lateness of a timer above which the whole process must have been stalled. Such a timer does not show that the source
/// is silent, as its response may have arrived during the stall.
const TIMER_DELAY_TOLERANCE: Micros = 100_000;
/// Maximum number of polls in flight: the watch, and a second poll while its response is overdue.
const MAX_IN_FLIGHT: usize = 2;

/// A poll that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlightPoll {
    id: PollId,
    sent_at: Micros,
    /// Index after which changes were requested; `None` if the complete list was requested.
    index: Option<u64>,
    wait: Micros,
    /// How long the poll may stay in the queue of the source before its wait begins.
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
    /// Polls in flight, the oldest first.
    in_flight: Vec<InFlightPoll>,
    next_id: u64,
    /// When the next poll is scheduled, if it is.
    next_poll_at: Option<Micros>,
    /// Time before which no poll becomes overdue, so that responses that arrived during a stall are read first.
    overdue_not_before: Micros,
    /// Whether the current connection was without a poll for longer than a watch lasts, and may be dead without having
    /// been closed.
    connection_suspect: bool,
    /// Whether the last poll was rejected. The next poll must then be given time to wait in the service's queue, as a
    /// second poll sent in parallel would displace it there.
    service_overloaded: bool,
    pacing: Pacing,
}

impl Watch {
    /// Creates a watch. `index` is the index of the current list, or `None` if there is no list yet.
    ///
    /// `schedule` spreads the polls if many proxies share one list service. `seed` must differ between proxies, so that
    /// proxies whose polls fail at the same time do not retry at the same time.
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

    /// Index of the current list; `None` if there is no list, or if the list is from a previous source.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Polls that have not been answered, the oldest first.
    pub fn in_flight(&self) -> impl Iterator<Item = PollId> + '_ {
        self.in_flight.iter().map(|poll| poll.id)
    }

    /// When to pass [`Input::Timer`]; `None` if no timer is needed before another input.
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

    /// Handles `input` at time `now`, and appends the resulting outputs to `out`. `idle` tells that the proxy has
    /// received no calls for long, so that the longer wait of [`PollConfig::idle_wait`](crate::PollConfig::idle_wait)
    /// applies.
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

    /// Handles a failed poll. An overdue poll in flight may still be answered, but a retry is scheduled nevertheless.
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
        // A response that is read this late was delayed by a stall of this process.
        self.connection_suspect = now > self.response_deadline(&poll) + TIMER_DELAY_TOLERANCE;
        // A response that arrives later answers an older poll, or holds nothing more.
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

    /// Schedules the next poll after a list with `index` was accepted in response to a poll sent at `sent_at`.
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
        // Polling an agent costs nothing, so a second poll is sent even if this process may have been stalled.
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

    /// Handles an overdue response to the newest poll.
    fn on_overdue(&mut self, now: Micros, newest: PollId, idle: bool, out: &mut Vec<Output>) {
        for poll in &mut self.in_flight {
            poll.overdue = true;
        }
        out.push(Output::Overdue(newest));
        if self.in_flight.len() == MAX_IN_FLIGHT {
            // The newer poll continues: its connection may have been established late, and it may be in the service's
            // queue.
            let oldest = self.in_flight.remove(0);
            out.push(Output::Cancel(oldest.id));
            if self.timeouts.source == Source::Service {
                self.schedule_retry(now, out);
                return;
            }
        }
        // There is no delay, as a proxy counts as notified of its agent's changes as soon as the agent responds again.
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
            // The poll may spend time in the queue before its wait begins, so its wait is short.
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

    /// Whether a timer that fires at `now` is so late that this process must have been stalled. It is true at most once
    /// for each poll; otherwise a proxy with almost no processor time would never treat a poll as overdue.
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

    /// When the response to `poll` becomes overdue.
    fn response_deadline(&self, poll: &InFlightPoll) -> Micros {
        // A poll for the complete list has no wait of its own, but the same deadline, as its connection may be dead as
        // well.
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
