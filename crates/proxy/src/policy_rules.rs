//! Turns the texts of a policy into the rules and settings of the running proxy.

use crate::class_ids::seed;
use crate::net::rules::{FallbackRules, Rules, Sidecar, TransitionRules};
use badgerramp_config::Config;
use badgerramp_decisions::{Class, ClassId, Micros, Settings};
use badgerramp_policy::Mode;
use std::rc::Rc;

/// A policy generation whose text was parsed and found valid.
pub(crate) struct LoadedGeneration {
    /// The application's file in this generation.
    pub(crate) text: String,
    /// The parsed text; `None` once the rules are built, which then own it.
    config: Option<Config>,
    rules: Option<Rc<Rules>>,
}

impl LoadedGeneration {
    /// Creates a generation from its text and the configuration parsed from it.
    pub(crate) fn new(text: String, config: Config) -> Self {
        LoadedGeneration {
            text,
            config: Some(config),
            rules: None,
        }
    }

    /// Returns the rules; `None` until [`make_rules`](Self::make_rules) is called.
    pub(crate) fn rules(&self) -> Option<Rc<Rules>> {
        self.rules.clone()
    }

    /// Returns the configuration that the rules own; `None` until [`make_rules`](Self::make_rules) is called.
    pub(crate) fn rules_config(&self) -> Option<&Config> {
        match self.rules.as_deref() {
            Some(Rules::Sidecar(sidecar)) => Some(sidecar.config()),
            _ => None,
        }
    }

    /// Returns a key for each class, made of its name and its settings. [`ClassIds`](crate::class_ids::ClassIds) assigns ids
    /// by key: a class keeps its id while its settings are unchanged, and during a transition the two generations have
    /// separate ids for a class whose settings differ.
    pub(crate) fn class_keys(&self) -> Vec<String> {
        let Some(config) = self.config.as_ref().or_else(|| self.rules_config()) else {
            return Vec::new();
        };
        config
            .classes
            .iter()
            .map(|class| format!("{} {:?}", class.name, class.class))
            .collect()
    }

    /// Builds the rules unless they are built already. `class_ids` are the ids of its classes, in the order of the file.
    pub(crate) fn make_rules(&mut self, class_ids: &[ClassId]) {
        if let Some(config) = self.config.take() {
            let sidecar = Sidecar::new(config, class_ids.to_vec(), seed());
            self.rules = Some(Rc::new(Rules::Sidecar(Box::new(sidecar))));
        }
    }
}

/// Settings of the running proxy that suit every generation that it may serve under.
pub(crate) struct CombinedSettings {
    pub(crate) settings: Settings,
    /// Ids that belonged to another class or to none before.
    pub(crate) reassigned_ids: Vec<ClassId>,
    /// Maximum number of open calls.
    pub(crate) open_calls: usize,
    /// `Retry-After` of rejections for which the balancer gives none.
    pub(crate) retry_after: Micros,
}

/// Accumulates the settings of generations, added from the oldest to the newest, for [`CombinedSettings`].
pub(crate) struct MergedSettings {
    pub(crate) settings: Settings,
    pub(crate) open_calls: usize,
    pub(crate) retry_after: Micros,
    pub(crate) classes: Vec<(ClassId, Class)>,
}

impl MergedSettings {
    /// Starts with the settings of the oldest generation, without its classes.
    pub(crate) fn new(config: &Config) -> Self {
        let limits = &config.limits;
        let (open_calls, retry_after) = (limits.open_calls, limits.retry_after);
        MergedSettings {
            settings: config.settings(),
            open_calls,
            retry_after,
            classes: Vec::new(),
        }
    }

    /// Merges the settings of a generation, whose classes have the ids `class_ids`.
    pub(crate) fn add(&mut self, config: &Config, class_ids: Vec<ClassId>) {
        let added = config.settings();
        let limits = &mut self.settings.limits;
        limits.hedging |= added.limits.hedging;
        limits.max_attempts = limits.max_attempts.max(added.limits.max_attempts);
        self.open_calls = config.limits.open_calls.min(self.open_calls);
        // The newest generation decides, because this affects rejected calls only.
        self.retry_after = config.limits.retry_after;
        limits.max_retry_after = self.retry_after;
        self.classes
            .extend(class_ids.into_iter().zip(added.classes));
    }
}

/// Returns the rules of a proxy that has lost its lease and serves under the fallback classes (`floor`) of `policy`.
pub(crate) fn fallback_rules(policy: &Rc<Rules>) -> Rc<Rules> {
    let fallback_classes = match &**policy {
        Rules::Sidecar(sidecar) => {
            let names = sidecar
                .config()
                .policy
                .as_ref()
                .map(|p| p.fallback_classes.as_slice());
            sidecar.class_ids(names.unwrap_or_default())
        }
        _ => Vec::new(),
    };
    Rc::new(Rules::Fallback(Box::new(FallbackRules::new(
        Rc::clone(policy),
        fallback_classes,
    ))))
}

/// Returns the rules of a mode; `None` if its generations do not hold sidecar rules.
pub(crate) fn mode_rules(mode: Mode, old: Rc<Rules>, new: Rc<Rules>) -> Option<Rc<Rules>> {
    if !mode.is_transition() {
        Some(old)
    } else {
        TransitionRules::between(old, new)
            .map(|transition| Rc::new(Rules::Transition(Box::new(transition))))
    }
}
