//! Timing, which `[defaults]`, a class and a route may set together with response rules. A class inherits from `[defaults]` and a
//! route from its class; the result is then validated.

use crate::response_rules::{read_never_ran, read_served};
use crate::{values, RESPONSE_RESERVE};
use badgerramp_decisions::{Hedge, Idempotency, Micros, RetryOn};
use badgerramp_route::{NotExecutedProof, StatusSet, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{Diagnostic, DiagnosticSink, Located, Section, Span};
use http::HeaderName;

/// Keys that are allowed in `[defaults]`, in a class and in a route.
pub(crate) const KEYS: [&str; 9] = [
    "connect",
    "attempt",
    "total",
    "attempts",
    "backoff",
    "second_copy",
    "retry",
    "served",
    "never_ran",
];

/// Maximum duration that can be set, in microseconds.
const MAX_DURATION: Micros = 600_000_000;
/// Maximum number of attempts of a call that can be set.
const MAX_ATTEMPTS: u64 = 10;
/// Number of attempts of a call if the file sets none.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Connect timeout if the file sets none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const HEDGE_FORMS: &str = "\"off\", \"auto\", \"after 120ms\" or \"at 95%\" (from 50 to 99.9)";

/// The values that one table of the file sets, with their places.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimingDraft {
    pub(crate) connect: Option<Located<Micros>>,
    pub(crate) attempt: Option<Located<Micros>>,
    pub(crate) total: Option<Located<Micros>>,
    pub(crate) attempts: Option<Located<u64>>,
    pub(crate) backoff: Option<Located<Micros>>,
    pub(crate) second_copy: Option<Located<Hedge>>,
    pub(crate) retry: Option<Located<RetryOn>>,
    pub(crate) served: Option<Located<StatusSet>>,
    pub(crate) never_ran: Option<Located<Vec<NotExecutedProof>>>,
}

/// What the timing of a class or route depends on.
pub(crate) struct TimingContext<'f> {
    /// The class or route, as diagnostics name it.
    pub(crate) name: &'f str,
    /// Span of its name.
    pub(crate) span: &'f Span,
    pub(crate) deadline: Option<Micros>,
    pub(crate) idempotency: Option<Idempotency>,
}

/// One value of a timing, and the place at which it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingValue {
    /// Key of the value.
    pub name: &'static str,
    /// The value in the notation of the file.
    pub value: String,
    /// Full path of the key that set the value, and its span; `None` if the value is a default.
    pub set_by: Option<(String, Span)>,
}

impl TimingDraft {
    pub(crate) fn read(sink: &mut DiagnosticSink, section: &Section<'_>) -> Self {
        TimingDraft {
            connect: section.duration(sink, "connect", 1_000..=60_000_000),
            attempt: section.duration(sink, "attempt", 1_000..=MAX_DURATION),
            total: section.duration(sink, "total", 1_000..=MAX_DURATION),
            attempts: section.integer(sink, "attempts", 1..=MAX_ATTEMPTS),
            backoff: section.duration(sink, "backoff", 0..=60_000_000),
            second_copy: section.read(
                sink,
                "second_copy",
                "this is not a valid second_copy setting",
                HEDGE_FORMS,
                |v| v.as_str().and_then(values::parse_hedge),
            ),
            retry: section.keyword(
                sink,
                "retry",
                &[
                    ("never-ran", RetryOn::NotExecuted),
                    ("failed", RetryOn::AnyFailure),
                ],
            ),
            served: read_served(sink, section),
            never_ran: read_never_ran(sink, section),
        }
    }

    /// Whether any key is set.
    pub(crate) fn has_values(&self) -> bool {
        let TimingDraft {
            connect,
            attempt,
            total,
            attempts,
            backoff,
            second_copy,
            retry,
            served,
            never_ran,
        } = self;
        let times = [connect, attempt, total, backoff]
            .iter()
            .any(|t| t.is_some());
        let others = [
            attempts.is_some(),
            second_copy.is_some(),
            retry.is_some(),
            served.is_some(),
            never_ran.is_some(),
        ];
        times || others.contains(&true)
    }

    /// These values, with absent ones taken from `inherited`.
    pub(crate) fn inherit(&self, inherited: &TimingDraft) -> TimingDraft {
        fn own_or_inherited<T: Clone>(
            own: &Option<Located<T>>,
            inherited: &Option<Located<T>>,
        ) -> Option<Located<T>> {
            own.clone().or_else(|| inherited.clone())
        }
        TimingDraft {
            connect: own_or_inherited(&self.connect, &inherited.connect),
            attempt: own_or_inherited(&self.attempt, &inherited.attempt),
            total: own_or_inherited(&self.total, &inherited.total),
            attempts: own_or_inherited(&self.attempts, &inherited.attempts),
            backoff: own_or_inherited(&self.backoff, &inherited.backoff),
            second_copy: own_or_inherited(&self.second_copy, &inherited.second_copy),
            retry: own_or_inherited(&self.retry, &inherited.retry),
            served: own_or_inherited(&self.served, &inherited.served),
            never_ran: own_or_inherited(&self.never_ran, &inherited.never_ran),
        }
    }

    /// Timing of a class or route in a standalone deployment, with defaults for absent values.
    pub(crate) fn timing(&self, context: &TimingContext<'_>) -> Timing {
        let value = |set: &Option<Located<Micros>>| set.as_ref().map(|s| s.value);
        let max_total = context
            .deadline
            .unwrap_or(MAX_DURATION)
            .saturating_sub(RESPONSE_RESERVE)
            .max(1);
        let total = value(&self.total).unwrap_or(max_total).min(max_total);
        let attempt = value(&self.attempt).unwrap_or(total);
        let safe_to_retry = context
            .idempotency
            .is_some_and(|r| r != Idempotency::NonIdempotent);
        let retry_on = if safe_to_retry {
            RetryOn::AnyFailure
        } else {
            RetryOn::NotExecuted
        };
        Timing {
            connect: value(&self.connect)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
                .min(attempt),
            attempt,
            total,
            attempts: self
                .attempts
                .as_ref()
                .map_or(DEFAULT_ATTEMPTS, |s| s.value as u32),
            backoff: value(&self.backoff).unwrap_or(0),
            hedge: self.second_copy.as_ref().map_or(Hedge::Never, |s| s.value),
            retry_on: self.retry.as_ref().map_or(retry_on, |s| s.value),
        }
    }

    /// The values of a timing and the place at which each was set.
    pub(crate) fn timing_values(&self, timing: &Timing) -> Vec<TimingValue> {
        fn set_at<T>(set: &Option<Located<T>>) -> Option<(String, Span)> {
            set.as_ref().map(|s| (s.key.clone(), s.span.clone()))
        }
        let time = |name, value, set: &Option<Located<Micros>>| TimingValue {
            name,
            value: if value == Micros::MAX {
                "no limit".to_owned()
            } else {
                format_duration(value)
            },
            set_by: set_at(set),
        };
        let retry_on = match timing.retry_on {
            RetryOn::AnyFailure => "\"failed\"",
            RetryOn::NotExecuted => "\"never-ran\"",
        };
        let attempts = match timing.attempts {
            u32::MAX => "no limit".to_owned(),
            limit => limit.to_string(),
        };
        vec![
            time("connect", timing.connect, &self.connect),
            time("attempt", timing.attempt, &self.attempt),
            time("total", timing.total, &self.total),
            TimingValue {
                name: "attempts",
                value: attempts,
                set_by: set_at(&self.attempts),
            },
            time("backoff", timing.backoff, &self.backoff),
            TimingValue {
                name: "second_copy",
                value: display_hedge(timing.hedge),
                set_by: set_at(&self.second_copy),
            },
            TimingValue {
                name: "retry",
                value: retry_on.to_owned(),
                set_by: set_at(&self.retry),
            },
        ]
    }

    /// Validates the timing and response rules of a class or route.
    pub(crate) fn check(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>) {
        self.check_times(sink, context);
        match context.idempotency {
            Some(Idempotency::NonIdempotent) => self.check_unsafe(sink, context),
            Some(Idempotency::Keyed { window, .. }) => self.check_keyed(sink, context, window),
            Some(Idempotency::Idempotent) | None => {}
        }
        self.check_served(sink, context);
    }

    fn check_times(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>) {
        let timing = self.timing(context);
        if let (Some(total), Some(deadline)) = (&self.total, context.deadline) {
            let max_total = deadline.saturating_sub(RESPONSE_RESERVE);
            if total.value > max_total {
                let reason = if total.value > deadline {
                    "the total is longer than the deadline"
                } else {
                    "the total leaves no time for the final response"
                };
                let allowed = format!(
                    "at most {}: the deadline minus {}",
                    format_duration(max_total),
                    format_duration(RESPONSE_RESERVE)
                );
                add_with_context(
                    sink,
                    context,
                    total,
                    reason,
                    format_duration(total.value),
                    &allowed,
                );
                return;
            }
        }
        let total = format_duration(timing.total);
        if let Some(attempt) = self.attempt.as_ref().filter(|a| a.value > timing.total) {
            let reason = "one attempt may take longer than the whole call";
            add_with_context(
                sink,
                context,
                attempt,
                reason,
                format_duration(attempt.value),
                &format!("at most the total, {total}"),
            );
            return;
        }
        // A connect timeout inherited from an outer table is shortened to the attempt without a diagnostic.
        let in_same_table =
            |a: &str, b: &str| a.rsplit_once('.').map(|k| k.0) == b.rsplit_once('.').map(|k| k.0);
        let set_with_attempt = |c: &&Located<Micros>| {
            self.attempt
                .as_ref()
                .is_some_and(|a| in_same_table(&a.key, &c.key))
        };
        if let Some(connect) = self
            .connect
            .as_ref()
            .filter(|c| c.value > timing.attempt)
            .filter(set_with_attempt)
        {
            let reason = "the connect timeout is longer than the attempt that includes it";
            let allowed = format!("at most {}", format_duration(timing.attempt));
            add_with_context(
                sink,
                context,
                connect,
                reason,
                format_duration(connect.value),
                &allowed,
            );
        }
        // Without a limit of its own an attempt may take the rest of the total.
        let attempt = self.attempt.as_ref().map_or(0, |a| a.value);
        let max_attempts_duration = Timing { attempt, ..timing }.max_attempts_duration();
        if max_attempts_duration > timing.total {
            let set = (self.attempt.as_ref().map(|s| (&s.span, &s.key)))
                .or(self.backoff.as_ref().map(|s| (&s.span, &s.key)))
                .or(self.attempts.as_ref().map(|s| (&s.span, &s.key)));
            if let Some((span, key)) = set {
                let attempt_limit = self
                    .attempt
                    .as_ref()
                    .map(|a| format!(" of {}", format_duration(a.value)));
                let found = format!(
                    "{} attempts{} with pauses of {}: {}",
                    timing.attempts,
                    attempt_limit.unwrap_or_default(),
                    format_duration(timing.backoff),
                    format_duration(max_attempts_duration)
                );
                let diagnostic = sink.add(
                    key,
                    span,
                    "all attempts and pauses together exceed the total",
                    found,
                    format!("at most {total} together"),
                );
                diagnostic.add_related(context.span.clone(), format!("for {}", context.name));
            }
        }
        if let Some(hedge) = self
            .second_copy
            .as_ref()
            .filter(|c| c.value != Hedge::Never)
        {
            if timing.attempts < 2 {
                let reason = "a second copy is an attempt, and only one is allowed";
                add_with_context(
                    sink,
                    context,
                    hedge,
                    reason,
                    display_hedge(hedge.value),
                    "\"off\", or `attempts` of 2 or more",
                );
            } else if let Hedge::After(delay) = hedge.value {
                if delay >= timing.attempt {
                    let reason = "the first attempt has timed out by then";
                    let allowed = format!("less than {}", format_duration(timing.attempt));
                    add_with_context(
                        sink,
                        context,
                        hedge,
                        reason,
                        display_hedge(hedge.value),
                        &allowed,
                    );
                }
            }
        }
    }

    /// Refuses second copies and resends of a class that must not be executed twice.
    pub(crate) fn check_unsafe(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>) {
        if let Some(hedge) = self
            .second_copy
            .as_ref()
            .filter(|c| c.value != Hedge::Never)
        {
            let reason = "a second copy of an unsafe call would run it twice";
            add_with_context(
                sink,
                context,
                hedge,
                reason,
                display_hedge(hedge.value),
                "\"off\" for an unsafe class",
            );
        }
        if let Some(retry) = self
            .retry
            .as_ref()
            .filter(|r| r.value != RetryOn::NotExecuted)
        {
            let reason = "an unsafe call that failed may have run, and would run twice";
            add_with_context(
                sink,
                context,
                retry,
                reason,
                "\"failed\"".to_owned(),
                "\"never-ran\" for an unsafe class",
            );
        }
    }

    fn check_keyed(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>, window: Micros) {
        let timing = self.timing(context);
        let allowed = format!("less than the window, {}", format_duration(window));
        if let Some(attempt) = self
            .attempt
            .as_ref()
            .filter(|_| timing.retry_on == RetryOn::AnyFailure)
        {
            let last_start = timing.last_attempt_start();
            if last_start >= window {
                let found = format!(
                    "a last attempt {} after the first",
                    format_duration(last_start)
                );
                let reason =
                    "a retry outside the window is not deduplicated by the endpoints and would run again";
                add_with_context(sink, context, attempt, reason, found, &allowed);
            }
        }
        match self.second_copy.as_ref().map(|c| (c, c.value)) {
            Some((hedge, Hedge::After(delay))) if delay >= window => {
                let reason =
                    "a second copy outside the window is not deduplicated by the endpoints and would run again";
                add_with_context(
                    sink,
                    context,
                    hedge,
                    reason,
                    display_hedge(hedge.value),
                    &allowed,
                );
            }
            _ => {}
        }
    }
}

/// Adds a diagnostic about a value, with the class or route that it applies to as a related place.
pub(crate) fn add_with_context<'n, T>(
    sink: &'n mut DiagnosticSink,
    context: &TimingContext<'_>,
    set: &Located<T>,
    reason: &str,
    found: String,
    allowed: &str,
) -> &'n mut Diagnostic {
    let diagnostic = sink.add(&set.key, &set.span, reason, found, allowed);
    diagnostic.add_related(context.span.clone(), format!("for {}", context.name));
    diagnostic
}

pub(crate) fn display_hedge(hedge: Hedge) -> String {
    match hedge {
        Hedge::Auto => "\"auto\"".to_owned(),
        Hedge::Never => "\"off\"".to_owned(),
        Hedge::After(delay) => format!("\"after {}\"", format_duration(delay)),
        Hedge::Quantile(share) => format!("\"at {}%\"", (share * 1_000.0).round() / 10.0),
    }
}

pub(crate) fn header_name(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    name: &str,
) -> Option<Located<HeaderName>> {
    section.read(
        sink,
        name,
        "this is not a header name",
        "letters, digits and '-'",
        |v| {
            v.as_str()
                .and_then(|t| HeaderName::from_bytes(t.as_bytes()).ok())
        },
    )
}
