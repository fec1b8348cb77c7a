//! Suggests names in place of one that is not known.

/// Jaro-Winkler similarity above which a name is suggested.
const MIN_SIMILARITY: f64 = 0.8;
/// More names than this are counted in place of being listed.
const MAX_LISTED_NAMES: usize = 24;

/// The known name that is most similar to `name` (Jaro-Winkler similarity), if one is similar enough.
pub fn closest_name<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let scored = known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate));
    scored
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// A text that names what is known in place of `name`, like `did you mean "x"? known: a, b, x`.
pub fn suggest_names(name: &str, known: &[&str]) -> String {
    let list = if known.len() > MAX_LISTED_NAMES {
        format!("one of {} names", known.len())
    } else {
        known.join(", ")
    };
    match closest_name(name, known.iter().copied()) {
        Some(closest) => format!("did you mean {closest:?}? known: {list}"),
        None if known.is_empty() => "none is defined".to_owned(),
        None => list,
    }
}
