//! Values that are written as text: statuses and second copies.

use badgerramp_decisions::Hedge;
use badgerramp_route::StatusSet;
use badgerramp_toml_diagnostics::units::parse_duration;

/// `200`, `2xx` or `200-204`.
pub(crate) fn statuses(text: &str, into: &mut StatusSet) -> Option<()> {
    let text = text.trim();
    let number = |t: &str| {
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
        (number(from.trim())?, number(to.trim())?)
    } else {
        (number(text)?, number(text)?)
    };
    // An interim answer ends nothing.
    (200 <= from && from <= to).then(|| into.insert(from, to))
}

/// `off`, `auto`, `after 120ms` or `at 95%`.
pub(crate) fn second_copy(text: &str) -> Option<Hedge> {
    match text.trim() {
        "off" => Some(Hedge::Never),
        "auto" => Some(Hedge::Auto),
        other => {
            let (word, rest) = other.split_once(' ')?;
            match word {
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
    fn values_are_read_or_refused() {
        let set = |text| {
            let mut set = StatusSet::default();
            statuses(text, &mut set).map(|()| (200..=599).filter(|&s| set.contains(s)).count())
        };
        assert_eq!(
            (set("200"), set("2xx"), set("200-204"), set("3xx")),
            (Some(1), Some(100), Some(5), Some(100))
        );
        for bad in [
            "1xx", "100", "600", "6xx", "xx", "20", "+200", "204-200", "ok", "",
        ] {
            assert_eq!(set(bad), None, "{bad}");
        }
        assert_eq!(second_copy("after 120ms"), Some(Hedge::After(120_000)));
        assert_eq!(second_copy("at 95%"), Some(Hedge::Quantile(0.95)));
        for bad in [
            "after",
            "after 0ms",
            "at 95",
            "at 100%",
            "at 5%",
            "always",
            "after at 95%",
        ] {
            assert_eq!(second_copy(bad), None, "{bad}");
        }
    }
}
