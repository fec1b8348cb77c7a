//! Timing and answers as they stand in `[defaults]`, a class and a route: laid over one another, then held against the
//! rules.

use crate::{values, ANSWER_ROOM};
use badgerramp_decisions::{Hedge, Idempotency, Micros, RetryOn};
use badgerramp_route::{Answers, Proof, StatusSet, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{
    display_value, DeValue, Diagnostic, DiagnosticSink, Located, Section, Span,
};
use http::{HeaderName, HeaderValue};

/// Keys that may stand in all three places.
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

/// Longest time that can be set.
const LONGEST: Micros = 600_000_000;
/// Attempts of a call at the most.
const ATTEMPTS_MOST: u64 = 10;
/// ... and where the file says nothing.
const ATTEMPTS: u32 = 3;
/// Time for a connection where the file says nothing.
const CONNECT: Micros = 250_000;
const SECOND_COPIES: &str = "\"off\", \"auto\", \"after 120ms\" or \"at 95%\" (from 50 to 99.9)";
const STATUSES: &str = "statuses like \"200\", \"2xx\" or \"200-204\", from 200 to 599";

/// What a file says in one place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Draft {
    pub(crate) connect: Option<Located<Micros>>,
    pub(crate) attempt: Option<Located<Micros>>,
    pub(crate) total: Option<Located<Micros>>,
    pub(crate) attempts: Option<Located<u64>>,
    pub(crate) backoff: Option<Located<Micros>>,
    pub(crate) second_copy: Option<Located<Hedge>>,
    pub(crate) retry: Option<Located<RetryOn>>,
    pub(crate) served: Option<Located<StatusSet>>,
    pub(crate) never_ran: Option<Located<Vec<Proof>>>,
}

/// A class as far as its timing goes.
pub(crate) struct Facts<'f> {
    /// What the timing is for, and where that is named.
    pub(crate) name: &'f str,
    pub(crate) span: &'f Span,
    pub(crate) deadline: Option<Micros>,
    pub(crate) repeat: Option<Idempotency>,
}

/// One figure of a timing: what it is and where it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Figure {
    /// Its key.
    pub name: &'static str,
    /// Its value, as it may be written.
    pub value: String,
    /// The whole key that set it, and where that stands; None: the file says nothing of it.
    pub set: Option<(String, Span)>,
}

impl Draft {
    pub(crate) fn read(notes: &mut DiagnosticSink, section: &Section<'_>) -> Self {
        Draft {
            connect: section.duration(notes, "connect", 1_000..=60_000_000),
            attempt: section.duration(notes, "attempt", 1_000..=LONGEST),
            total: section.duration(notes, "total", 1_000..=LONGEST),
            attempts: section.integer(notes, "attempts", 1..=ATTEMPTS_MOST),
            backoff: section.duration(notes, "backoff", 0..=60_000_000),
            second_copy: section.read(
                notes,
                "second_copy",
                "this is no second copy",
                SECOND_COPIES,
                |v| v.as_str().and_then(values::second_copy),
            ),
            retry: section.keyword(
                notes,
                "retry",
                &[
                    ("never-ran", RetryOn::NotExecuted),
                    ("failed", RetryOn::AnyFailure),
                ],
            ),
            served: served(notes, section),
            never_ran: never_ran(notes, section),
        }
    }

    /// Does it say anything?
    pub(crate) fn says(&self) -> bool {
        let Draft {
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

    /// What holds where this is laid over `under`.
    pub(crate) fn over(&self, under: &Draft) -> Draft {
        fn first<T: Clone>(
            over: &Option<Located<T>>,
            under: &Option<Located<T>>,
        ) -> Option<Located<T>> {
            over.clone().or_else(|| under.clone())
        }
        Draft {
            connect: first(&self.connect, &under.connect),
            attempt: first(&self.attempt, &under.attempt),
            total: first(&self.total, &under.total),
            attempts: first(&self.attempts, &under.attempts),
            backoff: first(&self.backoff, &under.backoff),
            second_copy: first(&self.second_copy, &under.second_copy),
            retry: first(&self.retry, &under.retry),
            served: first(&self.served, &under.served),
            never_ran: first(&self.never_ran, &under.never_ran),
        }
    }

    /// The timing of a class or route of a file that stands alone, with all defaults.
    pub(crate) fn timing(&self, facts: &Facts<'_>) -> Timing {
        let value = |set: &Option<Located<Micros>>| set.as_ref().map(|s| s.value);
        let most = facts
            .deadline
            .unwrap_or(LONGEST)
            .saturating_sub(ANSWER_ROOM)
            .max(1);
        let total = value(&self.total).unwrap_or(most).min(most);
        let attempt = value(&self.attempt).unwrap_or(total);
        let harmless = facts
            .repeat
            .is_some_and(|r| r != Idempotency::NonIdempotent);
        let resend = if harmless {
            RetryOn::AnyFailure
        } else {
            RetryOn::NotExecuted
        };
        Timing {
            connect: value(&self.connect).unwrap_or(CONNECT).min(attempt),
            attempt,
            total,
            attempts: self.attempts.as_ref().map_or(ATTEMPTS, |s| s.value as u32),
            backoff: value(&self.backoff).unwrap_or(0),
            hedge: self.second_copy.as_ref().map_or(Hedge::Never, |s| s.value),
            resend: self.retry.as_ref().map_or(resend, |s| s.value),
        }
    }

    /// The figures of a timing and where each was set.
    pub(crate) fn figures(&self, timing: &Timing) -> Vec<Figure> {
        fn at<T>(set: &Option<Located<T>>) -> Option<(String, Span)> {
            set.as_ref().map(|s| (s.key.clone(), s.span.clone()))
        }
        let time = |name, value, set: &Option<Located<Micros>>| Figure {
            name,
            value: if value == Micros::MAX {
                "no limit".to_owned()
            } else {
                format_duration(value)
            },
            set: at(set),
        };
        let resend = match timing.resend {
            RetryOn::AnyFailure => "\"failed\"",
            RetryOn::NotExecuted => "\"never-ran\"",
        };
        let attempts = match timing.attempts {
            u32::MAX => "no limit".to_owned(),
            most => most.to_string(),
        };
        vec![
            time("connect", timing.connect, &self.connect),
            time("attempt", timing.attempt, &self.attempt),
            time("total", timing.total, &self.total),
            Figure {
                name: "attempts",
                value: attempts,
                set: at(&self.attempts),
            },
            time("backoff", timing.backoff, &self.backoff),
            Figure {
                name: "second_copy",
                value: show_hedge(timing.hedge),
                set: at(&self.second_copy),
            },
            Figure {
                name: "retry",
                value: resend.to_owned(),
                set: at(&self.retry),
            },
        ]
    }

    pub(crate) fn answers(&self) -> Answers {
        let mut answers = Answers::standard();
        if let Some(served) = &self.served {
            answers.served = served.value;
        }
        if let Some(proofs) = &self.never_ran {
            answers.never_ran.clone_from(&proofs.value);
        }
        answers
    }

    /// Holds what applies to a class or route against the rules.
    pub(crate) fn check(&self, notes: &mut DiagnosticSink, facts: &Facts<'_>) {
        self.check_times(notes, facts);
        match facts.repeat {
            Some(Idempotency::NonIdempotent) => self.check_unsafe(notes, facts),
            Some(Idempotency::Keyed { window, .. }) => self.check_keyed(notes, facts, window),
            _ => {}
        }
        if let (Some(served), Some(proofs)) = (&self.served, &self.never_ran) {
            if let Some(proof) = proofs
                .value
                .iter()
                .find(|p| served.value.contains(p.status))
            {
                let found = format!("status {}", proof.status);
                let reason = "an answer that is served can't prove that the attempt never ran";
                let mistake = add(
                    notes,
                    facts,
                    proofs,
                    reason,
                    found,
                    "statuses that are not in `served`",
                );
                mistake.add_related(served.span.clone(), "served here");
            }
        }
    }

    fn check_times(&self, notes: &mut DiagnosticSink, facts: &Facts<'_>) {
        let timing = self.timing(facts);
        if let (Some(total), Some(deadline)) = (&self.total, facts.deadline) {
            let most = deadline.saturating_sub(ANSWER_ROOM);
            if total.value > most {
                let reason = if total.value > deadline {
                    "the total is longer than the client waits"
                } else {
                    "the total leaves no room for the final answer"
                };
                let allowed = format!(
                    "at most {}: the deadline less {}",
                    format_duration(most),
                    format_duration(ANSWER_ROOM)
                );
                add(
                    notes,
                    facts,
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
            add(
                notes,
                facts,
                attempt,
                reason,
                format_duration(attempt.value),
                &format!("at most the total, {total}"),
            );
            return;
        }
        // One that comes from further out gives way to a shorter attempt.
        let same =
            |a: &str, b: &str| a.rsplit_once('.').map(|k| k.0) == b.rsplit_once('.').map(|k| k.0);
        let beside =
            |c: &&Located<Micros>| self.attempt.as_ref().is_some_and(|a| same(&a.key, &c.key));
        if let Some(connect) = self
            .connect
            .as_ref()
            .filter(|c| c.value > timing.attempt)
            .filter(beside)
        {
            let reason = "the connect may take longer than the attempt it is part of";
            let allowed = format!("at most {}", format_duration(timing.attempt));
            add(
                notes,
                facts,
                connect,
                reason,
                format_duration(connect.value),
                &allowed,
            );
        }
        // Without a time of its own an attempt has what is left of the total.
        let attempt = self.attempt.as_ref().map_or(0, |a| a.value);
        let longest = Timing { attempt, ..timing }.longest();
        if longest > timing.total {
            let set = (self.attempt.as_ref().map(|s| (&s.span, &s.key)))
                .or(self.backoff.as_ref().map(|s| (&s.span, &s.key)))
                .or(self.attempts.as_ref().map(|s| (&s.span, &s.key)));
            if let Some((span, key)) = set {
                let each = self
                    .attempt
                    .as_ref()
                    .map(|a| format!(" of {}", format_duration(a.value)));
                let found = format!(
                    "{} attempts{} with pauses of {}: {}",
                    timing.attempts,
                    each.unwrap_or_default(),
                    format_duration(timing.backoff),
                    format_duration(longest)
                );
                let mistake = notes.add(
                    key,
                    span,
                    "all attempts and pauses do not fit the total",
                    found,
                    format!("at most {total} together"),
                );
                mistake.add_related(facts.span.clone(), format!("for {}", facts.name));
            }
        }
        if let Some(copy) = self
            .second_copy
            .as_ref()
            .filter(|c| c.value != Hedge::Never)
        {
            if timing.attempts < 2 {
                let reason = "a second copy is an attempt, and only one is allowed";
                add(
                    notes,
                    facts,
                    copy,
                    reason,
                    show_hedge(copy.value),
                    "\"off\", or `attempts` of 2 or more",
                );
            } else if let Hedge::After(wait) = copy.value {
                if wait >= timing.attempt {
                    let reason = "the first attempt has ended by then";
                    let allowed = format!("less than {}", format_duration(timing.attempt));
                    add(notes, facts, copy, reason, show_hedge(copy.value), &allowed);
                }
            }
        }
    }

    fn check_unsafe(&self, notes: &mut DiagnosticSink, facts: &Facts<'_>) {
        if let Some(copy) = self
            .second_copy
            .as_ref()
            .filter(|c| c.value != Hedge::Never)
        {
            let reason = "a second copy of an unsafe call would run it twice";
            add(
                notes,
                facts,
                copy,
                reason,
                show_hedge(copy.value),
                "\"off\" for an unsafe class",
            );
        }
        if let Some(retry) = self
            .retry
            .as_ref()
            .filter(|r| r.value != RetryOn::NotExecuted)
        {
            let reason = "an unsafe call that failed may have run, and would run twice";
            add(
                notes,
                facts,
                retry,
                reason,
                "\"failed\"".to_owned(),
                "\"never-ran\" for an unsafe class",
            );
        }
        self.check_proofs(notes, facts);
    }

    fn check_keyed(&self, notes: &mut DiagnosticSink, facts: &Facts<'_>, window: Micros) {
        let timing = self.timing(facts);
        let allowed = format!("less than the window, {}", format_duration(window));
        if let Some(attempt) = self
            .attempt
            .as_ref()
            .filter(|_| timing.resend == RetryOn::AnyFailure)
        {
            let last = timing.last_start();
            if last >= window {
                let found = format!("a last attempt {} after the first", format_duration(last));
                let reason =
                    "a resend outside the window is not dropped by the hosts and would run again";
                add(notes, facts, attempt, reason, found, &allowed);
            }
        }
        match self.second_copy.as_ref().map(|c| (c, c.value)) {
            Some((copy, Hedge::After(wait))) if wait >= window => {
                let reason =
                    "a second copy outside the window is not dropped by the hosts and would run again";
                add(notes, facts, copy, reason, show_hedge(copy.value), &allowed);
            }
            _ => {}
        }
        self.check_proofs(notes, facts);
    }

    /// A status alone is no proof: any software on the way may word it, also after the call has run.
    fn check_proofs(&self, notes: &mut DiagnosticSink, facts: &Facts<'_>) {
        let Some(proofs) = &self.never_ran else {
            return;
        };
        for proof in proofs.value.iter().filter(|p| p.header.is_none()) {
            let reason = "a status alone does not prove that an attempt never ran: the call could go again and run twice";
            let found = format!("status {} and no header", proof.status);
            add(notes, facts, proofs, reason, found, "a header that only the host sets, as in { status = 503, header = \"X-Not-Processed\", value = \"1\" }");
        }
    }
}

fn add<'n, T>(
    notes: &'n mut DiagnosticSink,
    facts: &Facts<'_>,
    set: &Located<T>,
    reason: &str,
    found: String,
    allowed: &str,
) -> &'n mut Diagnostic {
    let mistake = notes.add(&set.key, &set.span, reason, found, allowed);
    mistake.add_related(facts.span.clone(), format!("for {}", facts.name));
    mistake
}

pub(crate) fn show_hedge(hedge: Hedge) -> String {
    match hedge {
        Hedge::Auto => "\"auto\"".to_owned(),
        Hedge::Never => "\"off\"".to_owned(),
        Hedge::After(wait) => format!("\"after {}\"", format_duration(wait)),
        Hedge::Quantile(share) => format!("\"at {}%\"", (share * 1_000.0).round() / 10.0),
    }
}

fn served(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Located<StatusSet>> {
    let list = section.list(notes, "served", "statuses")?;
    let mut set = StatusSet::default();
    for (key, value) in &list {
        let text = match value.get_ref() {
            DeValue::String(text) => text.to_string(),
            DeValue::Integer(number) => number.to_string(),
            _ => String::new(),
        };
        if values::statuses(&text, &mut set).is_none() {
            let found = display_value(value.get_ref());
            notes.add(key, &value.span(), "these are no statuses", found, STATUSES);
        }
    }
    let span = section.get("served")?.span();
    if list.is_empty() {
        notes.add(
            &section.key_path("served"),
            &span,
            "nothing would ever be served",
            "an empty list",
            STATUSES,
        );
    }
    // To the client these two mean that trying again is harmless, which a served call is not.
    for status in [429, 503] {
        if set.contains(status) {
            let found = format!("status {status}");
            let reason = "to a client this status is a refusal: it would try again what has run";
            notes.add(
                &section.key_path("served"),
                &span,
                reason,
                found,
                "statuses but 429 and 503",
            );
        }
    }
    Some(Located {
        value: set,
        span,
        key: section.key_path("served"),
    })
}

fn never_ran(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Located<Vec<Proof>>> {
    const FORM: &str = "tables like { status = 503, header = \"X-Not-Processed\", value = \"1\" }";
    let list = section.list(notes, "never_ran", FORM)?;
    let mut proofs = Vec::new();
    for (key, value) in &list {
        let DeValue::Table(table) = value.get_ref() else {
            let found = display_value(value.get_ref());
            notes.add(key, &value.span(), "this is no proof", found, FORM);
            continue;
        };
        let proof = Section::new(
            notes,
            table,
            key,
            value.span(),
            &["status", "header", "value"],
        );
        proof.require(notes, "status", "a status from 400 to 599");
        let status = proof.integer(notes, "status", 400..=599);
        let name = header_name(notes, &proof, "header");
        let text = proof.read(notes, "value", "this is no header value", "a text", |v| {
            v.as_str().and_then(|t| HeaderValue::from_str(t).ok())
        });
        if proof.has("value") && !proof.has("header") {
            notes.add(
                &proof.key_path("value"),
                &proof.span,
                "a value without its header",
                "no `header`",
                FORM,
            );
        }
        if let Some(status) = status {
            let header = name.map(|n| (n.value, text.map(|t| t.value)));
            proofs.push(Proof {
                status: status.value as u16,
                header,
            });
        }
    }
    let span = section.get("never_ran")?.span();
    Some(Located {
        value: proofs,
        span,
        key: section.key_path("never_ran"),
    })
}

pub(crate) fn header_name(
    notes: &mut DiagnosticSink,
    section: &Section<'_>,
    name: &str,
) -> Option<Located<HeaderName>> {
    section.read(
        notes,
        name,
        "this is no header name",
        "letters, digits and '-'",
        |v| {
            v.as_str()
                .and_then(|t| HeaderName::from_bytes(t.as_bytes()).ok())
        },
    )
}
