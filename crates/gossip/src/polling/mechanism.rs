//! Parts of the protocol that a simulation can switch off to measure their effect.

/// A part of the protocol that a simulation can switch off, to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// The distribution of takeover delays is biased towards long delays; without this mechanism it is uniform.
    BiasedDelay,
    /// A seed has a shorter takeover delay than other proxies.
    SeedPriority,
    /// A proxy that accepts a new list sends it to some peers immediately.
    EagerPush,
    /// A significant change of a poller's status is forwarded immediately.
    StatusForwarding,
}

impl Mechanism {
    /// The names of all mechanisms on the command line, in the order of the variants.
    pub const NAMES: [&'static str; 4] = ["law", "seeds", "push", "words"];

    const ALL: [Self; 4] = [
        Self::BiasedDelay,
        Self::SeedPriority,
        Self::EagerPush,
        Self::StatusForwarding,
    ];

    /// Returns the mechanism with this name, which is one of [`Mechanism::NAMES`].
    pub fn from_name(name: &str) -> Option<Self> {
        let position = Self::NAMES.iter().position(|known| *known == name)?;
        Some(Self::ALL[position])
    }
}
