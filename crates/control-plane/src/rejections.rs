//! What control answers to a question that it does not take.

use crate::leader::NotLeader;
use badgerramp_control_protocol::wire::{rejection, reply, Rejection};
use badgerramp_control_protocol::MessageError;
use badgerramp_policy::regions::Region;
use badgerramp_policy::Rejection as CommandRejection;
use std::net::SocketAddr;
use tonic::{Code, Status};

/// A refusal with this code.
pub(crate) fn refuse(code: rejection::Code, text: impl Into<String>) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: code.into(),
        message: text.into(),
        ..Rejection::default()
    })
}

/// Another replica may lead, and this one does not.
pub(crate) fn elsewhere(fault: NotLeader) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: rejection::Code::NotLeader.into(),
        message: fault.why,
        leader: fault.leader.unwrap_or_default(),
        ..Rejection::default()
    })
}

/// What is told of a message whose seal does not pass.
pub(crate) fn denied(fault: &MessageError) -> Status {
    let code = match fault {
        MessageError::UnsupportedVersion(_) => Code::FailedPrecondition,
        MessageError::BadMac => Code::PermissionDenied,
        MessageError::TooLarge(_) | MessageError::Malformed(_) => Code::InvalidArgument,
    };
    Status::new(code, fault.to_string())
}

/// What is told of a command that had no effect.
pub(crate) fn not_logged(refused: &CommandRejection) -> reply::Kind {
    let code = match refused {
        CommandRejection::ChangePending(_)
        | CommandRejection::CrossRegionPending { .. }
        | CommandRejection::AwaitsDecision { .. } => rejection::Code::ChangePending,
        CommandRejection::Evicted => rejection::Code::Evicted,
        CommandRejection::NotPrepared { .. } | CommandRejection::Conflict => {
            rejection::Code::Conflict
        }
    };
    refuse(code, refused.to_string())
}

/// Only the coordinator takes a change of all regions: where it is.
pub(crate) fn not_coordinator(coordinator: &Region, replicas: &[SocketAddr]) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: rejection::Code::NotCoordinator.into(),
        message: format!("region {coordinator} coordinates changes of all regions: publish there"),
        replicas: replicas.iter().map(ToString::to_string).collect(),
        ..Rejection::default()
    })
}
