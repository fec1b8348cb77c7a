//! The subset of a large fleet: which endpoints the balancer knows, and how many proxies share them.

use super::{Core, Driver};
use badgerramp_decisions::{
    EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Micros, Settings,
};
use badgerramp_subset::{Health, MembershipChange, Subset};

/// The subset of endpoints that the balancer knows, and the settings as last passed to the balancer.
pub(super) struct SubsetView {
    pub(super) subset: Subset,
    pub(super) settings: Settings,
}

impl Driver {
    /// Checks whether the process was stalled, and adjusts the size of the subset. To be called periodically: the next
    /// call is expected in `next` microseconds.
    pub fn tick(&self, next: Micros) {
        let mut core = self.core.borrow_mut();
        let now = self.clock.now();
        core.stall.tick(now, next);
        core.resize_subset(now);
        self.run_with(&mut core);
    }

    /// The number of ready endpoints that the balancer knows, and the number of all ready endpoints.
    pub fn subset_and_total_size(&self) -> (usize, usize) {
        let core = self.core.borrow();
        let total = core
            .endpoints
            .values()
            .filter(|e| e.status == EndpointStatus::Ready)
            .count();
        (
            core.subset
                .as_ref()
                .map_or(total, |view| view.subset.member_count()),
            total,
        )
    }
}

impl Core {
    /// Adds or removes an updated endpoint as a candidate for the subset.
    pub(super) fn update_subset_candidate(&mut self, name: &str, entry: &EndpointEntry) {
        let Some(view) = &mut self.subset else { return };
        match entry.status {
            EndpointStatus::Ready => {
                view.subset
                    .add(entry.endpoint.0, name, entry.zone == view.settings.zone);
            }
            _ => view.subset.remove(entry.endpoint.0),
        }
    }

    /// Recomputes the subset after a change of the list, and passes the changes to the balancer. `changed` are the ids
    /// of the endpoints that were listed, updated or removed.
    pub(super) fn apply_list_change(&mut self, now: Micros, kind: ListUpdateKind, changed: &[u32]) {
        let Some(view) = &mut self.subset else { return };
        let changes = view.subset.apply_list_change(now, changed);
        if kind == ListUpdateKind::Delta {
            // Members whose entries changed are passed to the balancer again.
            let updated = changed
                .iter()
                .copied()
                .filter(|&id| view.subset.contains(id));
            let added = changes.added.iter().copied().chain(updated).collect();
            self.send_subset_changes(
                kind,
                &MembershipChange {
                    added,
                    removed: changes.removed,
                },
            );
        } else {
            let added = view.subset.members().collect();
            self.send_subset_changes(
                kind,
                &MembershipChange {
                    added,
                    removed: Vec::new(),
                },
            );
        }
    }

    /// Grows or shrinks the subset according to the health of its members.
    pub(super) fn resize_subset(&mut self, now: Micros) {
        let Some(view) = &mut self.subset else { return };
        let endpoints = self.balancer.endpoint_counts();
        let calls = self.balancer.call_totals();
        let health = Health {
            usable: endpoints.listed - endpoints.outliers,
            in_flight: calls.open - calls.queued,
            queued: calls.queued,
        };
        let changes = view.subset.adjust_size(now, health);
        if !changes.is_empty() {
            self.send_subset_changes(ListUpdateKind::Delta, &changes);
        }
    }

    /// Queues events for the balancer: the changes of the subset, and the number of proxies that share its members if
    /// that has changed significantly.
    fn send_subset_changes(&mut self, kind: ListUpdateKind, changes: &MembershipChange) {
        let removed = |&id: &u32| {
            let entry = self
                .endpoints
                .get(&EndpointId(id))
                .and_then(|state| state.entry)
                .filter(|e| e.status != EndpointStatus::Ready);
            entry.unwrap_or(EndpointEntry {
                endpoint: EndpointId(id),
                status: EndpointStatus::Removed,
                ..EndpointEntry::default()
            })
        };
        let added = changes
            .added
            .iter()
            .filter_map(|id| self.endpoints.get(&EndpointId(*id))?.entry);
        let entries = changes.removed.iter().map(removed).chain(added).collect();
        if let Some(view) = &mut self.subset {
            let (sharing, last_sent) = (view.subset.sharing_proxies(), view.settings.balancers);
            if differs_significantly(sharing, last_sent) {
                view.settings.balancers = sharing;
                let settings = Box::new(view.settings.clone());
                self.events.push_back(Event::Reconfigure {
                    settings,
                    redefined_classes: Vec::new(),
                });
            }
        }
        self.events.push_back(Event::EndpointList { kind, entries });
    }
}

/// Whether the number of sharing proxies differs by more than a quarter from the one that was last passed to the
/// balancer. Smaller changes are not worth a reconfiguration.
pub(super) fn differs_significantly(sharing: u32, last_sent: u32) -> bool {
    sharing.abs_diff(last_sent) * 4 > last_sent
}
