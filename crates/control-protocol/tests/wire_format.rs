//! Encoded bytes of every message of the control protocol, and the names of its service. During the upgrade of a fleet,
//! processes of an older and of a newer version communicate, so neither must change.

use badgerramp_control_protocol::wire::{
    self, change, control_server, outcome_reply, rejection, reply, request, vote_reply, OnLeaseLoss,
};
use badgerramp_control_protocol::{digest, Purpose, SharedSecret};
use prost::Message;
use std::collections::HashMap;
use std::fmt::{Debug, Write};

/// Collects encoded messages as lines of `name: bytes`, and checks that each one decodes to the same message. The names
/// are part of the stored snapshots.
#[derive(Default)]
struct PinnedMessages(String);

impl PinnedMessages {
    fn add<M: Message + Default + PartialEq + Debug>(&mut self, name: &str, message: &M) {
        let bytes = message.encode_to_vec();
        assert_eq!(M::decode(bytes.as_slice()).as_ref(), Ok(message), "{name}");
        writeln!(self.0, "{name}: {}", hex(&bytes)).expect("the text is written to memory");
    }

    fn request(&mut self, name: &str, kind: request::Kind) {
        self.add(
            name,
            &wire::Request {
                nonce: 0x0102_0304_0506_0708,
                kind: Some(kind),
            },
        );
    }

    fn reply(&mut self, name: &str, kind: reply::Kind) {
        self.add(
            name,
            &wire::Reply {
                nonce: 0x1112_1314_1516_1718,
                kind: Some(kind),
            },
        );
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn identity() -> wire::Identity {
    wire::Identity {
        name: "caja-1".to_owned(),
        incarnation: 0xa1b2_c3d4_e5f6_0718,
    }
}

fn files() -> HashMap<String, String> {
    HashMap::from([("tablet".to_owned(), "listen = 1".to_owned())])
}

fn mode() -> wire::Mode {
    wire::Mode {
        revision: 300,
        old: 4,
        new: 5,
    }
}

fn policy_files() -> wire::PolicyFiles {
    wire::PolicyFiles {
        generation: 5,
        files: files(),
    }
}

fn change_ref() -> wire::ChangeRef {
    wire::ChangeRef {
        id: 0x2122_2324_2526_2728,
        coordinator: "norte".to_owned(),
        generation: 9,
    }
}

#[test]
fn requests_keep_their_bytes() {
    let mut pinned = PinnedMessages::default();
    for (name, on_lease_loss) in [
        ("ask, cut off unspecified", OnLeaseLoss::Unspecified),
        ("ask, cut off refuse", OnLeaseLoss::Reject),
        ("ask, cut off narrow", OnLeaseLoss::Fallback),
        ("ask, cut off keep", OnLeaseLoss::Keep),
    ] {
        let lease_request = wire::LeaseRequest {
            identity: Some(identity()),
            sequence: 7,
            active_revision: 299,
            loaded_generations: vec![3, 4],
            rejected_generation: Some(wire::RejectedGeneration {
                generation: 6,
                reason: "line 3".to_owned(),
            }),
            on_lease_loss: on_lease_loss.into(),
            application: "tablet".to_owned(),
            region: "sur".to_owned(),
        };
        pinned.request(name, request::Kind::Lease(lease_request));
    }
    pinned.request("leave", request::Kind::Unregister(identity()));
    let publish = || wire::Publish {
        files: files(),
        revision: 300,
    };
    pinned.request("publish", request::Kind::Publish(publish()));
    pinned.request("publish all", request::Kind::PublishAllRegions(publish()));
    pinned.request("status", request::Kind::Status(wire::StatusRequest {}));
    pinned.request(
        "abort",
        request::Kind::Abort(wire::Abort {
            generation: 5,
            reason: "too slow".to_owned(),
        }),
    );
    pinned.request("evict", request::Kind::Evict(identity()));
    pinned.request("text", request::Kind::PolicyFiles(policy_files()));
    let prepare = wire::Prepare {
        change: Some(change_ref()),
        region: "sur".to_owned(),
        policy: r#"{"tablet":"listen = 1"}"#.to_owned(),
    };
    pinned.request("prepare", request::Kind::Prepare(prepare));
    let commit = wire::Commit {
        change: Some(change_ref()),
        region: "sur".to_owned(),
    };
    pinned.request("commit", request::Kind::Commit(commit));
    let outcome = wire::OutcomeRequest {
        id: 77,
        region: "sur".to_owned(),
        coordinator: "norte".to_owned(),
    };
    pinned.request("outcome", request::Kind::Outcome(outcome));
    insta::assert_snapshot!(pinned.0);
}

#[test]
fn replies_keep_their_bytes() {
    let mut pinned = PinnedMessages::default();
    let grant = wire::LeaseGrant {
        sequence: 7,
        mode: Some(mode()),
        duration: 10_000_000,
        policies: vec![policy_files()],
        digests: HashMap::from([(5, digest("listen = 1"))]),
    };
    pinned.reply("grant", reply::Kind::Lease(grant));
    pinned.reply("done", reply::Kind::Done(wire::Done {}));
    pinned.reply(
        "begun",
        reply::Kind::ChangeStarted(wire::ChangeStarted { generation: 5 }),
    );
    pinned.reply("text", reply::Kind::PolicyFiles(policy_files()));
    pinned.reply(
        "word",
        reply::Kind::RevisionChanged(wire::RevisionChanged { revision: 300 }),
    );
    add_votes_and_decisions(&mut pinned);
    for (name, code) in [
        ("refusal unspecified", rejection::Code::Unspecified),
        ("refusal not leader", rejection::Code::NotLeader),
        ("refusal no policy", rejection::Code::NoPolicy),
        ("refusal stale", rejection::Code::Stale),
        ("refusal evicted", rejection::Code::Evicted),
        ("refusal under way", rejection::Code::ChangePending),
        ("refusal moved", rejection::Code::Conflict),
        ("refusal bad", rejection::Code::Invalid),
        ("refusal other region", rejection::Code::OtherRegion),
        ("refusal not coordinator", rejection::Code::NotCoordinator),
    ] {
        let rejection = wire::Rejection {
            code: code.into(),
            message: "another replica leads".to_owned(),
            leader: "127.0.0.1:7400".to_owned(),
            replicas: vec!["127.0.0.1:7401".to_owned(), "127.0.0.1:7402".to_owned()],
        };
        pinned.reply(name, reply::Kind::Rejection(rejection));
    }
    insta::assert_snapshot!(pinned.0);
}

fn add_votes_and_decisions(pinned: &mut PinnedMessages) {
    for (name, vote) in [
        ("vote unspecified", vote_reply::Vote::Unspecified),
        ("vote preparing", vote_reply::Vote::Preparing),
        ("vote prepared", vote_reply::Vote::Prepared),
        ("vote refused", vote_reply::Vote::Rejected),
        ("vote in force", vote_reply::Vote::Committed),
        ("vote not in force", vote_reply::Vote::Aborted),
    ] {
        let vote = wire::VoteReply {
            id: 77,
            vote: vote.into(),
            reason: "moved".to_owned(),
        };
        pinned.reply(name, reply::Kind::Vote(vote));
    }
    for (name, decision) in [
        ("decision unspecified", outcome_reply::Decision::Unspecified),
        ("decision open", outcome_reply::Decision::Pending),
        ("decision in force", outcome_reply::Decision::Committed),
        ("decision not in force", outcome_reply::Decision::Aborted),
    ] {
        let outcome = wire::OutcomeReply {
            id: 77,
            decision: decision.into(),
        };
        pinned.reply(name, reply::Kind::Outcome(outcome));
    }
}

#[test]
fn the_status_keeps_its_bytes() {
    let statuses = [
        change::Status::Unspecified,
        change::Status::Pending,
        change::Status::Committed,
        change::Status::Aborted,
    ];
    let changes = statuses
        .into_iter()
        .zip(1..)
        .map(|(status, generation)| wire::Change {
            generation,
            previous_generation: generation - 1,
            status: status.into(),
            reason: "unread".to_owned(),
            cross_region_id: 0x3132_3334_3536_3738,
        });
    let cross_region = wire::CrossRegion {
        id: 0x2122_2324_2526_2728,
        generation: 5,
        coordinator: "norte".to_owned(),
        voted: true,
        participants: vec![wire::ParticipantStatus {
            region: "sur".to_owned(),
            prepared: true,
            acknowledged: true,
        }],
    };
    let status = wire::Status {
        mode: Some(mode()),
        changes: changes.collect(),
        blockers: vec![wire::Blocker {
            identity: Some(identity()),
            reason: "its lease runs".to_owned(),
            remaining: 1_500_000,
            region: "sur".to_owned(),
        }],
        proxies: vec![wire::Proxy {
            identity: Some(identity()),
            active_revision: 299,
            on_lease_loss: OnLeaseLoss::Keep.into(),
        }],
        leader: "127.0.0.1:7400".to_owned(),
        revision: 300,
        region: Some(wire::RegionStatus {
            name: "sur".to_owned(),
            coordinator: "norte".to_owned(),
            coordinator_replicas: vec!["127.0.0.1:7500".to_owned()],
            change: Some(cross_region),
        }),
    };
    let mut pinned = PinnedMessages::default();
    pinned.reply("status", reply::Kind::Status(status));
    insta::assert_snapshot!(pinned.0);
}

#[test]
fn the_mac_of_every_purpose_keeps_its_bytes() {
    let secret = SharedSecret::new(b"0123456789abcdef").expect("a secret");
    let mut pinned = PinnedMessages::default();
    for (name, purpose) in [
        ("request", Purpose::Request),
        ("reply", Purpose::Reply),
        ("replica request", Purpose::ReplicaRequest),
        ("replica reply", Purpose::ReplicaReply),
        ("region request", Purpose::RegionRequest),
        ("region reply", Purpose::RegionReply),
    ] {
        let message = secret.authenticate_bytes(purpose, b"body".to_vec());
        assert_eq!(
            secret.verify_bytes(purpose, message.clone()),
            Ok(b"body".to_vec())
        );
        pinned.add(name, &message);
    }
    let mac = secret.datagram_mac("badgerramp peers", &[b"north", b"body"]);
    writeln!(pinned.0, "datagram: {}", hex(&mac)).expect("the text is written to memory");
    insta::assert_snapshot!(pinned.0);
}

/// gRPC uses the service name in the path of each call. The next test checks the names of the methods.
#[test]
fn the_service_keeps_its_name() {
    assert_eq!(
        control_server::SERVICE_NAME,
        "badgerramp.control.v1.Control"
    );
}

/// Checks every field of the schema by number and type, and every method of its service. Names of messages and fields are
/// not transmitted and may change.
#[test]
fn the_schema_keeps_its_numbers_and_methods() {
    let proto = concat!(env!("CARGO_MANIFEST_DIR"), "/proto");
    let set = protox::compile(["control.proto"], [proto]).expect("the schema compiles");
    let file = &set.file[0];
    let mut pinned = format!("package {}\n", file.package());
    for service in &file.service {
        writeln!(pinned, "service {}", service.name()).expect("the text is written to memory");
        for method in &service.method {
            let streams = if method.server_streaming() {
                " streams"
            } else {
                ""
            };
            writeln!(pinned, "  rpc {}{streams}", method.name())
                .expect("the text is written to memory");
        }
    }
    for message in &file.message_type {
        let mut fields: Vec<String> = message
            .field
            .iter()
            .map(|field| {
                format!(
                    "{}:{}:{}",
                    field.number(),
                    field.r#type().as_str_name(),
                    field.label().as_str_name()
                )
            })
            .collect();
        fields.sort();
        writeln!(pinned, "message {}", fields.join(" ")).expect("the text is written to memory");
    }
    insta::assert_snapshot!(pinned);
}
