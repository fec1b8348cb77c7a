//! Conversions between the lease messages of the schema and those of [`badgerramp_policy`].

use crate::wire;
use crate::InvalidMessage;
use badgerramp_policy::regions::Region;
use badgerramp_policy::{
    Generation, Identity, LeaseGrant, LeaseRequest, Mode, OnLeaseLoss, RejectedGeneration,
};

impl From<Identity> for wire::Identity {
    fn from(value: Identity) -> Self {
        wire::Identity {
            name: value.name,
            incarnation: value.incarnation,
        }
    }
}

impl From<wire::Identity> for Identity {
    fn from(message: wire::Identity) -> Self {
        Identity {
            name: message.name,
            incarnation: message.incarnation,
        }
    }
}

impl From<Mode> for wire::Mode {
    fn from(value: Mode) -> Self {
        wire::Mode {
            revision: value.revision,
            old: value.old.0,
            new: value.new.0,
        }
    }
}

impl From<wire::Mode> for Mode {
    fn from(message: wire::Mode) -> Self {
        Mode {
            revision: message.revision,
            old: Generation(message.old),
            new: Generation(message.new),
        }
    }
}

impl From<OnLeaseLoss> for wire::OnLeaseLoss {
    fn from(value: OnLeaseLoss) -> Self {
        match value {
            OnLeaseLoss::Reject => wire::OnLeaseLoss::Reject,
            OnLeaseLoss::Fallback => wire::OnLeaseLoss::Fallback,
            OnLeaseLoss::Keep => wire::OnLeaseLoss::Keep,
        }
    }
}

impl wire::LeaseRequest {
    /// Creates the message for the request of a proxy that runs this application.
    pub fn new(request: LeaseRequest, application: &str) -> Self {
        wire::LeaseRequest {
            identity: Some(request.identity.into()),
            sequence: request.sequence,
            active_revision: request.active_revision,
            loaded_generations: request
                .loaded_generations
                .into_iter()
                .map(|generation| generation.0)
                .collect(),
            rejected_generation: request.rejected_generation.map(|rejected| {
                wire::RejectedGeneration {
                    generation: rejected.generation.0,
                    reason: rejected.reason,
                }
            }),
            on_lease_loss: wire::OnLeaseLoss::from(request.on_lease_loss).into(),
            application: application.to_owned(),
            region: String::new(),
        }
    }

    /// Restricts the request to the control plane of this region; with `None`, that of any region answers it.
    #[must_use]
    pub fn in_region(self, region: Option<&Region>) -> Self {
        wire::LeaseRequest {
            region: region.map(Region::to_string).unwrap_or_default(),
            ..self
        }
    }
}

impl TryFrom<&wire::LeaseRequest> for LeaseRequest {
    type Error = InvalidMessage;

    fn try_from(message: &wire::LeaseRequest) -> Result<Self, InvalidMessage> {
        let identity = message
            .identity
            .clone()
            .filter(|identity| !identity.name.is_empty());
        let on_lease_loss = match message.on_lease_loss() {
            wire::OnLeaseLoss::Unspecified => {
                return Err(InvalidMessage::UnknownValue("on_lease_loss"))
            }
            wire::OnLeaseLoss::Reject => OnLeaseLoss::Reject,
            wire::OnLeaseLoss::Fallback => OnLeaseLoss::Fallback,
            wire::OnLeaseLoss::Keep => OnLeaseLoss::Keep,
        };
        let rejected_generation =
            message
                .rejected_generation
                .as_ref()
                .map(|rejected| RejectedGeneration {
                    generation: Generation(rejected.generation),
                    reason: rejected.reason.clone(),
                });
        Ok(LeaseRequest {
            identity: identity.ok_or(InvalidMessage::Missing("identity"))?.into(),
            sequence: message.sequence,
            active_revision: message.active_revision,
            loaded_generations: message
                .loaded_generations
                .iter()
                .copied()
                .map(Generation)
                .collect(),
            rejected_generation,
            on_lease_loss,
        })
    }
}

impl TryFrom<&wire::LeaseGrant> for LeaseGrant {
    type Error = InvalidMessage;

    fn try_from(message: &wire::LeaseGrant) -> Result<Self, InvalidMessage> {
        let mode = Mode::from(message.mode.ok_or(InvalidMessage::Missing("mode"))?);
        if mode.old > mode.new {
            return Err(InvalidMessage::BackwardMode {
                old: mode.old.0,
                new: mode.new.0,
            });
        }
        Ok(LeaseGrant {
            sequence: message.sequence,
            mode,
            duration: message.duration,
        })
    }
}
