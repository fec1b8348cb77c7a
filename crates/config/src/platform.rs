//! A file beside the platform's settings: held against them, it may only narrow.

use crate::file::Config;
use crate::timing::{show_hedge, Draft};
use crate::ANSWER_ROOM;
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::Hedge;
use badgerramp_route::{Table, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{suggest_names, DiagnosticSink, Diagnostics, Span};

/// The timing of each class of the platform, in its order, and the routes with the platform's classes.
///
/// # Errors
/// All that the file would widen, and classes that the platform does not have.
pub fn narrow(
    config: &Config,
    facts: &PlatformSettings,
) -> Result<(Vec<Timing>, Table), Diagnostics> {
    let mut notes = DiagnosticSink::default();
    let mut timings = vec![Timing::UNLIMITED; facts.classes.len()];
    let known: Vec<&str> = facts.classes.iter().map(String::as_str).collect();
    let mut places = Vec::new();
    for (class, (span, draft)) in config.classes.iter().zip(&config.source.classes) {
        let place = facts.classes.iter().position(|name| *name == class.name);
        if let Some(place) = place {
            timings[place] = narrowed(&mut notes, facts, place, (&class.name, span), draft);
        } else {
            let key = format!("class.{}", class.name);
            let (reason, found) = (
                "the platform has no such class",
                format!("{:?}", class.name),
            );
            notes.add(
                &key,
                span,
                reason,
                found,
                suggest_names(&class.name, &known),
            );
        }
        places.push(place);
    }
    let mut routes = Vec::new();
    for (route, (span, draft)) in config.routes.routes().iter().zip(&config.source.routes) {
        let Some(place) = places[route.class] else {
            continue;
        };
        let mut route = route.clone();
        route.class = place;
        route.timing = narrowed(&mut notes, facts, place, (&route.name, span), draft);
        routes.push(route);
    }
    if !notes.is_empty() {
        return Err(notes.into_diagnostics(&config.source.name, &config.source.text));
    }
    let table = Table::with(routes, config.routes.program().clone()).map_err(|fault| {
        notes.add(
            "route",
            &(0..0),
            fault.to_string(),
            "more",
            "fewer patterns",
        );
        notes.into_diagnostics(&config.source.name, &config.source.text)
    })?;
    Ok((timings, table))
}

fn narrowed(
    notes: &mut DiagnosticSink,
    facts: &PlatformSettings,
    place: usize,
    (name, span): (&str, &Span),
    draft: &Draft,
) -> Timing {
    let class = &facts.settings.classes[place];
    let mut timing = Timing::UNLIMITED;
    let mut wider = |key: &str, at: &Span, found: String, allowed: String| {
        let reason = format!("this would widen what the platform sets for {name:?}");
        let mistake = notes.add(key, at, reason, found, allowed);
        mistake.add_related(span.clone(), "for this");
    };
    let most = class.deadline.saturating_sub(ANSWER_ROOM);
    timing.connect = facts.transport.connect_timeout;
    if let Some(connect) = &draft.connect {
        timing.connect = connect.value;
        if connect.value > facts.transport.connect_timeout {
            let allowed = format!(
                "at most {}",
                format_duration(facts.transport.connect_timeout)
            );
            wider(
                &connect.key,
                &connect.span,
                format_duration(connect.value),
                allowed,
            );
        }
    }
    if let Some(total) = &draft.total {
        timing.total = total.value;
        if total.value > most {
            let allowed = format!("at most {}", format_duration(most));
            wider(
                &total.key,
                &total.span,
                format_duration(total.value),
                allowed,
            );
        }
    }
    if let Some(attempts) = &draft.attempts {
        timing.attempts = attempts.value as u32;
        if timing.attempts > facts.settings.limits.max_attempts {
            let allowed = format!("at most {}", facts.settings.limits.max_attempts);
            wider(
                &attempts.key,
                &attempts.span,
                attempts.value.to_string(),
                allowed,
            );
        }
    }
    if let Some(copy) = &draft.second_copy {
        timing.hedge = copy.value;
        if !matches!(copy.value, Hedge::Never | Hedge::Auto) {
            let allowed = "\"off\", or \"auto\" for what the platform does".to_owned();
            wider(&copy.key, &copy.span, show_hedge(copy.value), allowed);
        }
    }
    for (key, span) in [
        draft.served.as_ref().map(|s| (&s.key, &s.span)),
        draft.never_ran.as_ref().map(|s| (&s.key, &s.span)),
    ]
    .into_iter()
    .flatten()
    {
        wider(
            key,
            span,
            "an own reading of answers".to_owned(),
            "the platform's".to_owned(),
        );
    }
    timing.attempt = draft.attempt.as_ref().map_or(timing.attempt, |s| s.value);
    timing.backoff = draft.backoff.as_ref().map_or(timing.backoff, |s| s.value);
    timing.resend = draft.retry.as_ref().map_or(timing.resend, |s| s.value);
    let total = timing.total.min(most);
    if let Some(attempt) = draft.attempt.as_ref() {
        let attempts = timing.attempts.min(facts.settings.limits.max_attempts);
        let longest = Timing { attempts, ..timing }.longest();
        if longest > total {
            let reason = format!("all attempts and pauses do not fit the total for {name:?}");
            let allowed = format!("at most {} together", format_duration(total));
            notes.add(
                &attempt.key,
                &attempt.span,
                reason,
                format_duration(longest),
                allowed,
            );
        }
    }
    timing
}
