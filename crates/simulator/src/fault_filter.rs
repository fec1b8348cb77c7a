//! The `--only FAULT` option of the fault tests.

/// Restricts the faults of a run to one kind, or to none.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultFilter<K> {
    Kind(K),
    NoFaults,
}

impl<K: Copy> FaultFilter<K> {
    /// Parses the option's value. `kind` is the kind of fault called `name`, if there is one, and `all` are the names of
    /// all kinds, for the error message.
    pub(crate) fn parse(
        name: &str,
        kind: Option<K>,
        all: impl Iterator<Item = String>,
    ) -> Result<Self, String> {
        match (name, kind) {
            ("none", _) => Ok(FaultFilter::NoFaults),
            (_, Some(kind)) => Ok(FaultFilter::Kind(kind)),
            _ => Err(format!(
                "allowed are none, {}",
                all.collect::<Vec<_>>().join(", ")
            )),
        }
    }

    /// The only kind of fault that is allowed, if the filter names one.
    pub(crate) fn kind(filter: Option<Self>) -> Option<K> {
        match filter {
            Some(FaultFilter::Kind(kind)) => Some(kind),
            _ => None,
        }
    }

    /// The option as command-line text with a leading space; empty without a filter.
    pub(crate) fn to_option(filter: Option<Self>, name: impl Fn(K) -> String) -> String {
        match filter {
            Some(FaultFilter::Kind(kind)) => format!(" --only {}", name(kind)),
            Some(FaultFilter::NoFaults) => " --only none".to_owned(),
            None => String::new(),
        }
    }
}
