//! Reconfiguration: changes of the settings, and of the number of proxies that share the endpoints.

use super::subset::differs_significantly;
use super::Driver;
use badgerramp_decisions::{ClassId, Event, Settings};

impl Driver {
    /// Applies new settings to requests from now on. `redefined_classes` are the class ids that belonged to other
    /// classes before.
    pub fn reconfigure(
        &self,
        mut settings: Settings,
        redefined_classes: Vec<ClassId>,
        max_open_calls: usize,
    ) {
        let mut core = self.core.borrow_mut();
        core.max_open_calls = max_open_calls;
        core.settings = settings.clone();
        core.set_longest_deadline(settings.longest_deadline());
        settings.balancers = settings.balancers.max(core.alive_proxies);
        core.sharing_proxies = settings.balancers;
        if let Some(view) = &mut core.subset {
            view.settings = settings.clone();
            settings.balancers = view.subset.sharing_proxies();
        }
        drop(core);
        self.handle_event(Event::Reconfigure {
            settings: Box::new(settings),
            redefined_classes,
        });
    }

    /// Sets the number of live proxies in the fleet. If it is larger than the number in the settings, it is used in its
    /// place.
    pub fn set_alive_proxies(&self, proxies: u32) {
        let mut core = self.core.borrow_mut();
        core.alive_proxies = proxies;
        let sharing = core.settings.balancers.max(proxies);
        // With a subset, budgets depend on the number of proxies that share its members instead.
        if core.subset.is_some() || !differs_significantly(sharing, core.sharing_proxies) {
            return;
        }
        core.sharing_proxies = sharing;
        let settings = Box::new(Settings {
            balancers: sharing,
            ..core.settings.clone()
        });
        drop(core);
        self.handle_event(Event::Reconfigure {
            settings,
            redefined_classes: Vec::new(),
        });
    }
}
