//! The numbers of classes, over reloads and changes of policy.

use badgerramp_config::Config;
use badgerramp_decisions::{Class, ClassId, Settings};
use std::hash::{BuildHasher, RandomState};

/// Where each class's number stands: a class keeps its number over reloads, and the place of one that has gone is
/// given again only when no call of it is open.
#[derive(Debug, Default, PartialEq)]
pub struct Places(Vec<Option<String>>);

impl Places {
    /// The numbers of the classes of a file, and those among them that meant something else or nothing before.
    pub fn assign(
        &mut self,
        names: &[&str],
        in_use: impl Fn(ClassId) -> bool,
    ) -> (Vec<ClassId>, Vec<ClassId>) {
        for place in &mut self.0 {
            if place.as_deref().is_some_and(|name| !names.contains(&name)) {
                *place = None;
            }
        }
        let mut fresh = Vec::new();
        let mut numbers = Vec::new();
        for &name in names {
            let known = self.0.iter().position(|p| p.as_deref() == Some(name));
            let place = known.unwrap_or_else(|| {
                let free = (0..self.0.len()).find(|&n| self.0[n].is_none() && !in_use(ClassId(n)));
                let place = free.unwrap_or_else(|| {
                    self.0.push(None);
                    self.0.len() - 1
                });
                self.0[place] = Some(name.to_owned());
                fresh.push(ClassId(place));
                place
            });
            numbers.push(ClassId(place));
        }
        (numbers, fresh)
    }

    /// The settings of a file with its classes at their places.
    pub fn settings(&self, config: &Config, numbers: &[ClassId]) -> Settings {
        let mut settings = config.settings();
        let classes = std::mem::take(&mut settings.classes);
        let classes: Vec<_> = numbers.iter().copied().zip(classes).collect();
        self.laid_out(settings, &classes)
    }

    /// Settings with these classes at their places. A place that no class has is a copy of one that is there: it must
    /// not weigh in what is reckoned over all classes.
    pub fn laid_out(&self, mut settings: Settings, classes: &[(ClassId, Class)]) -> Settings {
        let filler = classes.first().map(|(_, class)| *class).unwrap_or_default();
        settings.classes = vec![filler; self.0.len()];
        for &(ClassId(place), class) in classes {
            settings.classes[place] = class;
        }
        settings
    }
}

/// A number that differs with each start.
pub fn seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_class_keeps_its_number_and_one_in_use_is_not_given_again() {
        let mut places = Places::default();
        let ids = |all: &[usize]| all.iter().map(|&n| ClassId(n)).collect::<Vec<_>>();
        assert_eq!(places.assign(&["a", "b"], |_| false), (ids(&[0, 1]), ids(&[0, 1])));
        // `a` goes with calls open: its place stays empty.
        assert_eq!(places.assign(&["c", "b"], |class| class == ClassId(0)), (ids(&[2, 1]), ids(&[2])));
        // Now they have ended.
        assert_eq!(places.assign(&["b", "d", "c"], |_| false), (ids(&[1, 0, 2]), ids(&[0])));
        assert_eq!(places.assign(&["c", "b", "d"], |_| true), (ids(&[2, 1, 0]), ids(&[])));
    }
}
