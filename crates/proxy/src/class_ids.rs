//! Assignment of class ids, which stay the same across reloads and changes of policy.

use badgerramp_config::Config;
use badgerramp_decisions::{Class, ClassId, Settings};
use std::hash::{BuildHasher, RandomState};

/// The name of the class at each id. A class keeps its id across reloads; the id of a removed class is reused only when none
/// of its calls is open.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ClassIds(Vec<Option<String>>);

impl ClassIds {
    /// Assigns ids to the classes of a file. Returns the ids in the order of `names`, and those of them that belonged to
    /// another class or to none before.
    pub(crate) fn assign(
        &mut self,
        names: &[&str],
        in_use: impl Fn(ClassId) -> bool,
    ) -> (Vec<ClassId>, Vec<ClassId>) {
        for slot in &mut self.0 {
            if slot.as_deref().is_some_and(|name| !names.contains(&name)) {
                *slot = None;
            }
        }
        let mut fresh = Vec::new();
        let mut ids = Vec::new();
        for &name in names {
            let known = self.0.iter().position(|slot| slot.as_deref() == Some(name));
            let id = known.unwrap_or_else(|| {
                let free = (0..self.0.len()).find(|&n| self.0[n].is_none() && !in_use(ClassId(n)));
                let id = free.unwrap_or_else(|| {
                    self.0.push(None);
                    self.0.len() - 1
                });
                self.0[id] = Some(name.to_owned());
                fresh.push(ClassId(id));
                id
            });
            ids.push(ClassId(id));
        }
        (ids, fresh)
    }

    /// Returns the settings of a file, with its classes at the positions `ids`.
    pub(crate) fn settings(&self, config: &Config, ids: &[ClassId]) -> Settings {
        let mut settings = config.settings();
        let classes = std::mem::take(&mut settings.classes);
        let classes: Vec<_> = ids.iter().copied().zip(classes).collect();
        self.settings_with(settings, &classes)
    }

    /// Returns `settings` with these classes at the positions of their ids. An id without a class gets a copy of an existing
    /// class, so that it does not affect values that are computed over all classes.
    pub(crate) fn settings_with(
        &self,
        mut settings: Settings,
        classes: &[(ClassId, Class)],
    ) -> Settings {
        let filler = classes.first().map(|(_, class)| *class).unwrap_or_default();
        settings.classes = vec![filler; self.0.len()];
        for &(ClassId(id), class) in classes {
            settings.classes[id] = class;
        }
        settings
    }
}

/// Returns a random seed, different at each call.
pub(crate) fn seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

#[cfg(test)]
mod tests;
