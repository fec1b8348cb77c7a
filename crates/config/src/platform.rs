//! Applies a file to the platform's settings, which it may only narrow.

use crate::file::Config;
use crate::timing::{display_hedge, TimingContext, TimingDraft};
use crate::RESPONSE_RESERVE;
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{Hedge, Idempotency};
use badgerramp_route::{Table, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{suggest_names, DiagnosticSink, Diagnostics, Span};

/// Returns the narrowed timing of each class of the platform, in the platform's order, and the routes with the indexes
/// of the platform's classes.
///
/// # Errors
/// Returns a diagnostic for each setting that would widen one of the platform's, and for each class that the platform
/// does not have.
pub fn narrow(
    config: &Config,
    platform: &PlatformSettings,
) -> Result<(Vec<Timing>, Table), Diagnostics> {
    let mut sink = DiagnosticSink::default();
    let mut timings = vec![Timing::UNLIMITED; platform.classes.len()];
    let known: Vec<&str> = platform.classes.iter().map(String::as_str).collect();
    let mut class_indexes = Vec::new();
    for (class, (span, draft)) in config.classes.iter().zip(&config.source.classes) {
        let index = platform.classes.iter().position(|name| *name == class.name);
        if let Some(index) = index {
            timings[index] = narrow_timing(&mut sink, platform, index, (&class.name, span), draft);
        } else {
            let key = format!("class.{}", class.name);
            let (reason, found) = (
                "the platform has no such class",
                format!("{:?}", class.name),
            );
            sink.add(
                &key,
                span,
                reason,
                found,
                suggest_names(&class.name, &known),
            );
        }
        class_indexes.push(index);
    }
    let mut routes = Vec::new();
    for (route, (span, draft)) in config.routes.routes().iter().zip(&config.source.routes) {
        let Some(index) = class_indexes[route.class] else {
            continue;
        };
        let mut route = route.clone();
        route.class = index;
        route.timing = narrow_timing(&mut sink, platform, index, (&route.name, span), draft);
        routes.push(route);
    }
    if !sink.is_empty() {
        return Err(sink.into_diagnostics(&config.source.name, &config.source.text));
    }
    let table = Table::with_program(routes, config.routes.program().clone()).map_err(|error| {
        sink.add(
            "route",
            &(0..0),
            error.to_string(),
            "more",
            "fewer patterns",
        );
        sink.into_diagnostics(&config.source.name, &config.source.text)
    })?;
    Ok((timings, table))
}

fn narrow_timing(
    sink: &mut DiagnosticSink,
    platform: &PlatformSettings,
    index: usize,
    (name, span): (&str, &Span),
    draft: &TimingDraft,
) -> Timing {
    let class = &platform.settings.classes[index];
    if class.idempotency == Idempotency::NonIdempotent {
        let context = TimingContext {
            name,
            span,
            deadline: Some(class.deadline),
            idempotency: Some(class.idempotency),
        };
        draft.check_unsafe(sink, &context);
    }
    let mut timing = Timing::UNLIMITED;
    let mut report_widening = |key: &str, key_span: &Span, found: String, allowed: String| {
        let reason = format!("this would widen what the platform sets for {name:?}");
        let diagnostic = sink.add(key, key_span, reason, found, allowed);
        diagnostic.add_related(span.clone(), "for this class or route");
    };
    let max_total = class.deadline.saturating_sub(RESPONSE_RESERVE);
    timing.connect = platform.transport.connect_timeout;
    if let Some(connect) = &draft.connect {
        timing.connect = connect.value;
        if connect.value > platform.transport.connect_timeout {
            let allowed = format!(
                "at most {}",
                format_duration(platform.transport.connect_timeout)
            );
            report_widening(
                &connect.key,
                &connect.span,
                format_duration(connect.value),
                allowed,
            );
        }
    }
    if let Some(total) = &draft.total {
        timing.total = total.value;
        if total.value > max_total {
            let allowed = format!("at most {}", format_duration(max_total));
            report_widening(
                &total.key,
                &total.span,
                format_duration(total.value),
                allowed,
            );
        }
    }
    if let Some(attempts) = &draft.attempts {
        timing.attempts = attempts.value as u32;
        if timing.attempts > platform.settings.limits.max_attempts {
            let allowed = format!("at most {}", platform.settings.limits.max_attempts);
            report_widening(
                &attempts.key,
                &attempts.span,
                attempts.value.to_string(),
                allowed,
            );
        }
    }
    if let Some(hedge) = &draft.second_copy {
        timing.hedge = hedge.value;
        if !matches!(hedge.value, Hedge::Never | Hedge::Auto) {
            let allowed = "\"off\", or \"auto\" for the platform's setting".to_owned();
            report_widening(&hedge.key, &hedge.span, display_hedge(hedge.value), allowed);
        }
    }
    for (key, span) in [
        draft.served.as_ref().map(|s| (&s.key, &s.span)),
        draft.never_ran.as_ref().map(|s| (&s.key, &s.span)),
    ]
    .into_iter()
    .flatten()
    {
        report_widening(
            key,
            span,
            "response rules of its own".to_owned(),
            "the platform's response rules".to_owned(),
        );
    }
    timing.attempt = draft.attempt.as_ref().map_or(timing.attempt, |s| s.value);
    timing.backoff = draft.backoff.as_ref().map_or(timing.backoff, |s| s.value);
    timing.retry_on = draft.retry.as_ref().map_or(timing.retry_on, |s| s.value);
    let total = timing.total.min(max_total);
    if let Some(attempt) = draft.attempt.as_ref() {
        let attempts = timing.attempts.min(platform.settings.limits.max_attempts);
        let max_attempts_duration = Timing { attempts, ..timing }.max_attempts_duration();
        if max_attempts_duration > total {
            let reason = format!("all attempts and pauses together exceed the total for {name:?}");
            let allowed = format!("at most {} together", format_duration(total));
            sink.add(
                &attempt.key,
                &attempt.span,
                reason,
                format_duration(max_attempts_duration),
                allowed,
            );
        }
    }
    timing
}
