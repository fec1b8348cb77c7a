//! From the texts of a policy to the rules and settings of the running proxy.

use crate::class_ids::seed;
use crate::net::rules::{FallbackRules, Rules, Sidecar, TransitionRules};
use badgerramp_config::Config;
use badgerramp_decisions::{Class, ClassId, Micros, Settings};
use badgerramp_policy::Mode;
use std::rc::Rc;

/// A generation that was read and found good.
pub(crate) struct Read {
    pub(crate) text: String,
    /// Taken by the rules once they are made.
    config: Option<Config>,
    rules: Option<Rc<Rules>>,
}

impl Read {
    /// A text and what it says.
    pub(crate) fn new(text: String, config: Config) -> Self {
        Read {
            text,
            config: Some(config),
            rules: None,
        }
    }

    /// Its rules, once they are made.
    pub(crate) fn rules(&self) -> Option<Rc<Rules>> {
        self.rules.clone()
    }

    /// The configuration that its rules go by, once they are made.
    pub(crate) fn own_config(&self) -> Option<&Config> {
        match self.rules.as_deref() {
            Some(Rules::Sidecar(sidecar)) => Some(sidecar.config()),
            _ => None,
        }
    }

    /// Names its classes. A class keeps its number while it stays as it is: in the middle each generation has its own.
    pub(crate) fn class_keys(&self) -> Vec<String> {
        let Some(config) = self.config.as_ref().or_else(|| self.own_config()) else {
            return Vec::new();
        };
        config
            .classes
            .iter()
            .map(|class| format!("{} {:?}", class.name, class.class))
            .collect()
    }

    /// Makes its rules, if they are not made yet; its classes have these numbers.
    pub(crate) fn make_rules(&mut self, numbers: &[ClassId]) {
        if let Some(config) = self.config.take() {
            let sidecar = Sidecar::new(config, numbers.to_vec(), seed());
            self.rules = Some(Rc::new(Rules::Sidecar(Box::new(sidecar))));
        }
    }
}

/// What the running proxy is set to for all generations that it may act under.
pub(crate) struct Combined {
    pub(crate) settings: Settings,
    /// Classes whose numbers meant something else or nothing before.
    pub(crate) fresh: Vec<ClassId>,
    pub(crate) open_calls: usize,
    pub(crate) retry_after: Micros,
}

/// Settings on their way to [`Combined`], generation by generation from the oldest on.
pub(crate) struct MergedSettings {
    pub(crate) settings: Settings,
    pub(crate) open_calls: usize,
    pub(crate) retry_after: Micros,
    pub(crate) classes: Vec<(ClassId, Class)>,
}

impl MergedSettings {
    /// Begins with those of the oldest generation.
    pub(crate) fn of(config: &Config) -> Self {
        let limits = &config.limits;
        let (open_calls, retry_after) = (limits.open_calls, limits.retry_after);
        MergedSettings {
            settings: config.settings(),
            open_calls,
            retry_after,
            classes: Vec::new(),
        }
    }

    /// Adds a generation whose classes have these numbers.
    pub(crate) fn add(&mut self, config: &Config, numbers: Vec<ClassId>) {
        let own = config.settings();
        let limits = &mut self.settings.limits;
        limits.hedging |= own.limits.hedging;
        limits.max_attempts = limits.max_attempts.max(own.limits.max_attempts);
        self.open_calls = config.limits.open_calls.min(self.open_calls);
        // Of both the newer: it concerns only those that are refused.
        self.retry_after = config.limits.retry_after;
        limits.max_retry_after = self.retry_after;
        self.classes.extend(numbers.into_iter().zip(own.classes));
    }
}

/// The rules of a proxy that is cut off from control and goes on by the floor of this policy.
pub(crate) fn floor_rules(policy: &Rc<Rules>) -> Rc<Rules> {
    let floor = match &**policy {
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
        floor,
    ))))
}

/// The rules of a mode; `None` if its policies are no sidecar's.
pub(crate) fn mode_rules(mode: Mode, old: Rc<Rules>, new: Rc<Rules>) -> Option<Rc<Rules>> {
    if !mode.is_transition() {
        Some(old)
    } else {
        TransitionRules::between(old, new)
            .map(|middle| Rc::new(Rules::Transition(Box::new(middle))))
    }
}
