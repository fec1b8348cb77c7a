//! Rejections of requests.

use crate::leader::NotLeader;
use badgerramp_control_protocol::wire::{rejection, reply, Rejection};
use badgerramp_control_protocol::MessageError;
use badgerramp_policy::regions::Region;
use badgerramp_policy::Rejection as CommandRejection;
use std::net::SocketAddr;
use tonic::{Code, Status};

/// Returns a rejection with this code and message.
pub(crate) fn reject(code: rejection::Code, message: impl Into<String>) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: code.into(),
        message: message.into(),
        ..Rejection::default()
    })
}

/// Returns the rejection of a replica that does not lead.
pub(crate) fn not_leader(error: NotLeader) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: rejection::Code::NotLeader.into(),
        message: error.reason.to_string(),
        leader: error.leader.unwrap_or_default(),
        ..Rejection::default()
    })
}

/// Returns the gRPC status for a message that does not pass verification.
pub(crate) fn unverified(error: &MessageError) -> Status {
    let code = match error {
        MessageError::UnsupportedVersion(_) => Code::FailedPrecondition,
        MessageError::BadMac => Code::PermissionDenied,
        MessageError::TooLarge(_) | MessageError::Malformed(_) => Code::InvalidArgument,
    };
    Status::new(code, error.to_string())
}

/// Returns the rejection for a command that was rejected and had no effect.
pub(crate) fn command_rejected(rejection: &CommandRejection) -> reply::Kind {
    let code = match rejection {
        CommandRejection::ChangePending(_)
        | CommandRejection::CrossRegionPending { .. }
        | CommandRejection::AwaitsDecision { .. } => rejection::Code::ChangePending,
        CommandRejection::Evicted => rejection::Code::Evicted,
        CommandRejection::NotPrepared { .. } | CommandRejection::Conflict => {
            rejection::Code::Conflict
        }
    };
    reject(code, rejection.to_string())
}

/// Returns the rejection of a cross-region change that was published in a region that does not coordinate it.
pub(crate) fn not_coordinator(coordinator: &Region, replicas: &[SocketAddr]) -> reply::Kind {
    reply::Kind::Rejection(Rejection {
        code: rejection::Code::NotCoordinator.into(),
        message: format!(
            "region {coordinator} coordinates changes of all regions: publish the policy there"
        ),
        replicas: replicas.iter().map(ToString::to_string).collect(),
        ..Rejection::default()
    })
}
