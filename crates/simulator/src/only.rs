//! `--only FAULT`, as all trials have it.

/// Faults of one kind alone, or none.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Only<K> {
    Kind(K),
    Nothing,
}

impl<K: Copy> Only<K> {
    /// Reads a name that stands for `found`, if it stands for one of `all`.
    pub(crate) fn read(
        name: &str,
        found: Option<K>,
        all: impl Iterator<Item = String>,
    ) -> Result<Self, String> {
        match (name, found) {
            ("none", _) => Ok(Only::Nothing),
            (_, Some(kind)) => Ok(Only::Kind(kind)),
            _ => Err(format!(
                "allowed are none, {}",
                all.collect::<Vec<_>>().join(", ")
            )),
        }
    }

    /// The kind, if it is one.
    pub(crate) fn kind(only: Option<Self>) -> Option<K> {
        match only {
            Some(Only::Kind(kind)) => Some(kind),
            _ => None,
        }
    }

    /// As it stands on a command line.
    pub(crate) fn option(only: Option<Self>, name: impl Fn(K) -> String) -> String {
        match only {
            Some(Only::Kind(kind)) => format!(" --only {}", name(kind)),
            Some(Only::Nothing) => " --only none".to_owned(),
            None => String::new(),
        }
    }
}
