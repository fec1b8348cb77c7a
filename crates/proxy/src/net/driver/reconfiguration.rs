//! Reconfiguration: new settings, and a new number of proxies that share the hosts.

use super::subset::differs_notably;
use super::Driver;
use badgerramp_decisions::{ClassId, Event, Settings};

impl Driver {
    /// New settings hold for requests from now on; `fresh` are the class ids that stood for other classes before.
    pub fn reconfigure(&self, mut settings: Settings, fresh: Vec<ClassId>, max_open: usize) {
        let mut core = self.core.borrow_mut();
        core.max_open = max_open;
        core.settings = settings.clone();
        settings.balancers = settings.balancers.max(core.alive_proxies);
        core.sharing_proxies = settings.balancers;
        if let Some(view) = &mut core.subset {
            view.settings = settings.clone();
            settings.balancers = view.subset.sharing_proxies();
        }
        drop(core);
        self.event(Event::Reconfigure {
            settings: Box::new(settings),
            redefined_classes: fresh,
        });
    }

    /// The number of live proxies of the fleet, which share the hosts if there are more than the settings say.
    pub fn alive(&self, proxies: u32) {
        let mut core = self.core.borrow_mut();
        core.alive_proxies = proxies;
        let sharing = core.settings.balancers.max(proxies);
        // The budgets of a subset go by those that share its members.
        if core.subset.is_some() || !differs_notably(sharing, core.sharing_proxies) {
            return;
        }
        core.sharing_proxies = sharing;
        let settings = Box::new(Settings {
            balancers: sharing,
            ..core.settings.clone()
        });
        drop(core);
        self.event(Event::Reconfigure {
            settings,
            redefined_classes: Vec::new(),
        });
    }
}
