//! Between what travels and what the decisions know.

use crate::wire;
use badgerramp_policy::regions::Region;
use badgerramp_policy::{
    Generation, Identity, LeaseGrant, LeaseRequest, Mode, OnLeaseLoss, RejectedGeneration,
};

impl From<Identity> for wire::Identity {
    fn from(own: Identity) -> Self {
        wire::Identity {
            name: own.name,
            incarnation: own.incarnation,
        }
    }
}

impl From<wire::Identity> for Identity {
    fn from(wire: wire::Identity) -> Self {
        Identity {
            name: wire.name,
            incarnation: wire.incarnation,
        }
    }
}

impl From<Mode> for wire::Mode {
    fn from(own: Mode) -> Self {
        wire::Mode {
            revision: own.revision,
            old: own.old.0,
            new: own.new.0,
        }
    }
}

impl From<wire::Mode> for Mode {
    fn from(wire: wire::Mode) -> Self {
        Mode {
            revision: wire.revision,
            old: Generation(wire.old),
            new: Generation(wire.new),
        }
    }
}

impl From<OnLeaseLoss> for wire::CutOff {
    fn from(own: OnLeaseLoss) -> Self {
        match own {
            OnLeaseLoss::Reject => wire::CutOff::Refuse,
            OnLeaseLoss::Fallback => wire::CutOff::Narrow,
            OnLeaseLoss::Keep => wire::CutOff::Keep,
        }
    }
}

impl wire::Ask {
    /// The question of a proxy that takes this application's file.
    pub fn of(own: LeaseRequest, application: &str) -> Self {
        wire::Ask {
            identity: Some(own.identity.into()),
            number: own.sequence,
            acting: own.active_revision,
            has: own.loaded_generations.into_iter().map(|g| g.0).collect(),
            unread: own.rejected_generation.map(|u| wire::Unread {
                generation: u.generation.0,
                reason: u.reason,
            }),
            cut_off: wire::CutOff::from(own.on_lease_loss).into(),
            application: application.to_owned(),
            region: String::new(),
        }
    }

    /// The same question, for the control of this region only.
    #[must_use]
    pub fn in_region(self, region: Option<&Region>) -> Self {
        wire::Ask {
            region: region.map(Region::to_string).unwrap_or_default(),
            ..self
        }
    }

    /// What the decisions take; `None` if a part is missing or out of its range.
    pub fn read(&self) -> Option<LeaseRequest> {
        let cut_off = match self.cut_off() {
            wire::CutOff::Unspecified => return None,
            wire::CutOff::Refuse => OnLeaseLoss::Reject,
            wire::CutOff::Narrow => OnLeaseLoss::Fallback,
            wire::CutOff::Keep => OnLeaseLoss::Keep,
        };
        let unread = self.unread.as_ref().map(|u| RejectedGeneration {
            generation: Generation(u.generation),
            reason: u.reason.clone(),
        });
        Some(LeaseRequest {
            identity: self.identity.clone().filter(|i| !i.name.is_empty())?.into(),
            sequence: self.number,
            active_revision: self.acting,
            loaded_generations: self.has.iter().map(|&g| Generation(g)).collect(),
            rejected_generation: unread,
            on_lease_loss: cut_off,
        })
    }
}

impl wire::Grant {
    /// What the decisions take; `None` if it names no mode.
    pub fn read(&self) -> Option<LeaseGrant> {
        let mode = Mode::from(self.mode?);
        (mode.old <= mode.new).then_some(LeaseGrant {
            sequence: self.number,
            mode,
            duration: self.lease,
        })
    }
}
