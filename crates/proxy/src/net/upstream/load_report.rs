//! Parsing of the load reports that endpoints send with their responses.

use badgerramp_decisions::LoadReport;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

const X_SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The load report of a response: the first `X-Server-Load` header with at least one valid value.
pub(super) fn from_headers(headers: &HeaderMap) -> LoadReport {
    let mut reports = headers.get_all(X_SERVER_LOAD).iter().map(parse);
    reports
        .find(|load| *load != LoadReport::default())
        .unwrap_or_default()
}

/// Parses a load report; malformed parts are skipped.
///
/// Each value has two names: that of the columns in the settings (such as `active`) and that of the protocol's example
/// (such as `inflight`). Endpoints that use the latter would otherwise seem to send no reports, and be overloaded until
/// calls time out.
fn parse(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    let text = value.to_str().unwrap_or_default();
    for (name, value) in text
        .trim_start_matches("TEXT")
        .split(',')
        .filter_map(|part| part.split_once('='))
    {
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "active" | "inflight" => load.in_flight = value,
            "waiting" | "queue" => load.queued = value,
            "cpu" | "util" => load.cpu_utilization = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}
