//! Peak memory of the program as a process, against the limit in its settings, while crowds of clients use up what they
//! can and usual clients go on.

use badgerramp_testkit::crowd::{Behavior, Crowd, Gate, SizedHosts, UsualTotals};
use badgerramp_testkit::*;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");
/// Bytes in a MiB, the unit of `memory_mb`.
const MIB: u64 = 1 << 20;
/// The least limits that the platform names.
const LEAST_MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 1_024;
/// Clients may hold a third of the descriptors for requests.
const CROWD: usize = 330;
const USUAL_CLIENTS: usize = 6;
const HOSTS: usize = 24;
/// What the resident code of the released program is counted as. The tests run an unoptimized program, whose code is
/// larger.
const RELEASED_CODE: u64 = 6 * MIB;
/// How long a crowd stays: longer than the time limit of a request.
const CROWD_TIME: Duration = Duration::from_secs(5);

/// Clients that send at full speed.
const FLOODING_CLIENTS: usize = 4;
/// Lengths of fields, in bytes: of the shorter ones there are soon more than a head may have.
const SHORT_FIELD: usize = 1;
const LONG_FIELD: usize = 8_000;

/// One crowd at a time: several would take the processor from one another.
static CROWDS: Mutex<()> = Mutex::new(());

/// What a crowd did to the program.
#[derive(Debug)]
struct Observed {
    peak: u64,
    usual: UsualTotals,
    repeated: Vec<String>,
}

/// Runs a crowd against a new process with this limit of memory.
fn run_crowd(memory_mb: u64, members: Vec<(Behavior, usize)>) -> Observed {
    let _alone = CROWDS.lock().unwrap_or_else(PoisonError::into_inner);
    let hosts = SizedHosts::start(HOSTS);
    let entries: Vec<String> = hosts
        .addresses
        .iter()
        .enumerate()
        .map(|(number, &address)| entry(&format!("s-{number}"), address, "up", 0))
        .collect();
    let discovery = Discovery::start();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = config(listen, discovery.address, DESCRIPTORS, &entries)
        .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#));
    let mut proxy = Proxy::with_config(PROGRAM, &config);
    discovery.next_request();
    discovery.respond(&list(41, true, &entries));
    let crowd = Crowd {
        target: proxy.address,
        members,
        usual_clients: USUAL_CLIENTS,
        duration: CROWD_TIME,
        seed: memory_mb,
        gate: Gate::default(),
    };
    let usual = crowd.start().join().expect("the crowd does not panic");
    let ended = proxy.child.try_wait().expect("a child");
    assert!(ended.is_none(), "the process has ended: {ended:?}");
    let memory = MemoryUse::of(proxy.child.id()).expect("a running process");
    Observed {
        peak: memory.anonymous_peak() + RELEASED_CODE,
        usual,
        repeated: hosts.executions.repeated(),
    }
}

/// Runs a crowd and checks that the process keeps its limit of memory and goes on to serve the usual clients.
fn assert_limit_is_kept(memory_mb: u64, members: &[(Behavior, usize)]) {
    let observed = run_crowd(memory_mb, members.to_vec());
    let usual = observed.usual;
    assert!(
        observed.peak <= memory_mb * MIB,
        "{members:?}: {:.1} MiB of {memory_mb}",
        observed.peak as f64 / MIB as f64
    );
    assert!(usual.served * 2 > usual.sent, "{members:?}: {usual:?}");
    assert_eq!(observed.repeated, Vec::<String>::new(), "{members:?}");
}

fn slow_body(stops: bool) -> Behavior {
    Behavior::SlowBody {
        length: 48 << 10,
        piece: 1_024,
        stops,
    }
}

/// Guards against a process that passes its memory limit as bodies come slowly and half of them stop half way.
#[test]
fn memory_limit_is_kept_while_long_bodies_come_slowly() {
    let members = [(slow_body(false), CROWD / 2), (slow_body(true), CROWD / 2)];
    assert_limit_is_kept(LEAST_MEMORY_MB, &members);
}

/// Guards against buffers that kept connections hold after long messages, and against responses that nobody reads.
#[test]
fn memory_limit_is_kept_after_long_messages_on_kept_connections() {
    let kept = Behavior::Kept {
        request: 60 << 10,
        response: 60 << 10,
        pause: 700,
    };
    assert_limit_is_kept(LEAST_MEMORY_MB, &[(kept, CROWD)]);
    let unread = Behavior::UnreadResponse { response: 64 << 10 };
    assert_limit_is_kept(LEAST_MEMORY_MB, &[(unread, CROWD)]);
}

/// Guards against heads whose fields take far more memory than their bytes.
#[test]
fn memory_limit_is_kept_under_heads_of_many_fields() {
    let fields = Behavior::ManyFields {
        fields: 94,
        length: 1,
        work: 300,
    };
    assert_limit_is_kept(LEAST_MEMORY_MB, &[(fields, CROWD)]);
}

/// Guards against read buffers that grow with long heads on all connections at once.
#[test]
fn memory_limit_is_kept_under_long_heads() {
    let fields = Behavior::ManyFields {
        fields: 90,
        length: 330,
        work: 300,
    };
    assert_limit_is_kept(LEAST_MEMORY_MB, &[(fields, CROWD)]);
}

/// The budget follows the limit: crowds of all kinds at once, at the other limits that are usual.
#[test]
fn memory_limit_is_kept_by_a_mixed_crowd_at_each_limit() {
    let kept = Behavior::Kept {
        request: 64 << 10,
        response: 64 << 10,
        pause: 50,
    };
    let fields = Behavior::ManyFields {
        fields: 90,
        length: 300,
        work: 50,
    };
    let unread = Behavior::UnreadResponse { response: 64 << 10 };
    let crowd = CROWD / 4;
    let members = [
        (kept, crowd),
        (fields, crowd),
        (unread, crowd),
        (slow_body(true), crowd),
    ];
    for memory_mb in [LEAST_MEMORY_MB, 64, 192] {
        assert_limit_is_kept(memory_mb, &members);
    }
}

#[test]
fn memory_limit_is_kept_under_heads_without_end() {
    for field in [SHORT_FIELD, LONG_FIELD] {
        let endless = Behavior::EndlessHead {
            length: 32_000,
            field,
            piece: 2_000,
        };
        assert_limit_is_kept(LEAST_MEMORY_MB, &[(endless, CROWD)]);
    }
}

/// Guards against memory that grows, and other clients that starve, while connections send small requests at full speed.
#[test]
fn memory_limit_is_kept_while_connections_send_at_full_speed() {
    for start in [
        "GET /_health",
        "GET /unknown-*",
        "GET /safe/*?answer=10",
        "POST /unsafe/*",
    ] {
        let flood = Behavior::Flood { start, batch: 100 };
        assert_limit_is_kept(LEAST_MEMORY_MB, &[(flood, FLOODING_CLIENTS)]);
    }
}
