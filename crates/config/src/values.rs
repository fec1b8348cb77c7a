//! Parses values that are written as text: status ranges and hedging settings (`second_copy`).

use badgerramp_decisions::Hedge;
use badgerramp_route::StatusSet;
use badgerramp_toml_diagnostics::units::parse_duration;

/// Adds the statuses that a text like `200`, `2xx` or `200-204` names; `None` if the text is invalid.
pub(crate) fn parse_statuses(text: &str, into: &mut StatusSet) -> Option<()> {
    let text = text.trim();
    let status = |t: &str| {
        t.parse::<u16>()
            .ok()
            .filter(|s| (100..=599).contains(s) && t.len() == 3)
    };
    let (from, to) = if let Some(class) = text.strip_suffix("xx") {
        let class = class
            .parse::<u16>()
            .ok()
            .filter(|c| (1..=5).contains(c) && class.len() == 1)?;
        (class * 100, class * 100 + 99)
    } else if let Some((from, to)) = text.split_once('-') {
        (status(from.trim())?, status(to.trim())?)
    } else {
        (status(text)?, status(text)?)
    };
    // 1xx responses are interim: they do not complete a call.
    (200 <= from && from <= to).then(|| into.insert(from, to))
}

/// Parses a hedging setting: `off`, `auto`, `after 120ms` or `at 95%`.
pub(crate) fn parse_hedge(text: &str) -> Option<Hedge> {
    match text.trim() {
        "off" => Some(Hedge::Never),
        "auto" => Some(Hedge::Auto),
        other => {
            let (keyword, rest) = other.split_once(' ')?;
            match keyword {
                "after" => parse_duration(rest).filter(|&d| d > 0).map(Hedge::After),
                "at" => {
                    let share = rest.trim().strip_suffix('%')?.parse::<f64>().ok()?;
                    (50.0..=99.9)
                        .contains(&share)
                        .then_some(Hedge::Quantile(share / 100.0))
                }
                _ => None,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_values_are_parsed_and_invalid_ones_are_rejected() {
        let count = |text| {
            let mut statuses_set = StatusSet::default();
            parse_statuses(text, &mut statuses_set)
                .map(|()| (200..=599).filter(|&s| statuses_set.contains(s)).count())
        };
        assert_eq!(
            (count("200"), count("2xx"), count("200-204"), count("3xx")),
            (Some(1), Some(100), Some(5), Some(100))
        );
        for invalid in [
            "1xx", "100", "600", "6xx", "xx", "20", "+200", "204-200", "ok", "",
        ] {
            assert_eq!(count(invalid), None, "{invalid}");
        }
        assert_eq!(parse_hedge("after 120ms"), Some(Hedge::After(120_000)));
        assert_eq!(parse_hedge("at 95%"), Some(Hedge::Quantile(0.95)));
        for invalid in [
            "after",
            "after 0ms",
            "at 95",
            "at 100%",
            "at 5%",
            "always",
            "after at 95%",
        ] {
            assert_eq!(parse_hedge(invalid), None, "{invalid}");
        }
    }
}
