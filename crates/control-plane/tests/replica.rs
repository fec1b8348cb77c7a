//! Replicas that run as processes: acknowledged changes survive kills, and unusable stores and invalid requests are
//! rejected without any effect.

use badgerramp_config_tool::fleet::{ControlArgs, ControlClient, Outcome};
use badgerramp_control_plane::store::{Store, StoreError};
use badgerramp_control_protocol::wire::{rejection, reply, request, Publish, StatusRequest};
use badgerramp_control_protocol::{Client, ClientError, SharedSecret};
use badgerramp_fault_injection::link::Link;
use badgerramp_fault_injection::process::{Folder, Process, ProcessSpec};
use openraft::storage::RaftLogStorage;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;

const CONTROL: &str = env!("CARGO_BIN_EXE_badgerramp-control");
const POLICY: &str = include_str!("../../../deploy/sidecar.example.toml");
/// Longest time that a test waits for the reply to a request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The replicas of one control plane.
struct Replicas {
    folder: Folder,
    processes: Vec<Process>,
    /// Announces the address of each process to its link.
    process_addresses: Vec<watch::Sender<Option<SocketAddr>>>,
    /// Links through which clients and other replicas reach each replica.
    links: Vec<Link>,
}

impl Replicas {
    async fn start(name: &str, count: usize) -> Replicas {
        let folder = Folder::new(&format!("control-{name}")).expect("a folder");
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        let mut replicas = Replicas {
            folder,
            processes: Vec::new(),
            process_addresses: Vec::new(),
            links: Vec::new(),
        };
        for _ in 0..count {
            let (address, target) = watch::channel(None);
            replicas.links.push(Link::to(target).await.expect("a link"));
            replicas.process_addresses.push(address);
        }
        let entry = |(index, link): (usize, &Link)| format!("{} = \"{}\"", index + 1, link.address);
        let entries: Vec<String> = replicas.links.iter().enumerate().map(entry).collect();
        for number in 1..=count {
            let text = format!(
                "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{number}\"\n\
                 secret = \"secret\"\nlease_ms = 300\nwait_ms = 5000\nelection_ms = 300\n",
                entries.join(", ")
            );
            let file = replicas
                .folder
                .write(&format!("{number}.toml"), &text, false)
                .expect("a file");
            let created = std::process::Command::new(CONTROL)
                .arg("create")
                .arg(&file)
                .output();
            assert!(created.expect("the command runs").status.success());
            let arguments = vec!["serve".to_owned(), file.display().to_string()];
            let plan = ProcessSpec {
                program: CONTROL.into(),
                arguments,
                debug_filter: Vec::new(),
                environment: Vec::new(),
            };
            let mut process = Process::start(plan).await.expect("the replica starts");
            replicas.process_addresses[number - 1].send_replace(Some(
                process.listen_address().await.expect("the replica listens"),
            ));
            replicas.processes.push(process);
        }
        replicas
    }

    /// Restarts a replica that was killed.
    async fn restart(&mut self, index: usize) {
        self.processes[index].spawn().expect("the replica starts");
        let address = self.processes[index]
            .listen_address()
            .await
            .expect("the replica listens");
        self.process_addresses[index].send_replace(Some(address));
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|link| link.address).collect()
    }

    fn control(&self) -> ControlClient {
        let secret = self.folder.path().join("secret");
        ControlClient::new(&ControlArgs {
            control: self.addresses(),
            secret,
            timeout: TIMEOUT.as_secs(),
        })
        .expect("a secret")
    }

    fn client(&self) -> Client {
        let secret = SharedSecret::read(&self.folder.path().join("secret")).expect("a secret");
        Client::new(self.addresses(), secret, Duration::from_secs(5))
    }
}

fn files(number: u64) -> HashMap<String, String> {
    HashMap::from([("caja".to_owned(), format!("{POLICY}\n# {number}\n"))])
}

#[tokio::test(flavor = "multi_thread")]
async fn committed_changes_survive_a_kill_of_the_leader() {
    let mut replicas = Replicas::start("leader", 3).await;
    for number in 1..=3 {
        let revision = replicas
            .control()
            .status()
            .await
            .expect("a status")
            .revision;
        let done = replicas
            .control()
            .publish(&files(number), revision, |_| {})
            .await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.reason);
        let leader = replicas.control().status().await.expect("a status").leader;
        let leader_index = replicas
            .links
            .iter()
            .position(|link| link.address.to_string() == leader)
            .expect("the leader is one of the replicas");
        replicas.processes[leader_index].kill().await;
        replicas.process_addresses[leader_index].send_replace(None);
        let status = replicas
            .control()
            .status()
            .await
            .expect("the other replicas answer");
        assert_eq!(status.in_force, Some(number));
        assert_eq!(
            replicas
                .control()
                .files(number)
                .await
                .expect("the files are retained"),
            files(number)
        );
        replicas.restart(leader_index).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_kills_at_any_moment() {
    let mut replicas = Replicas::start("kills", 1).await;
    let mut last_acknowledged = 0;
    for round in 0..12_u64 {
        let revision = replicas
            .control()
            .status()
            .await
            .expect("a status")
            .revision;
        let mut control = replicas.control();
        let publish = tokio::spawn(async move {
            let is_unchanged = control
                .status()
                .await
                .map(|status| status.revision == revision);
            assert!(is_unchanged.expect("a status"));
            control.publish(&files(round), revision, |_| {}).await
        });
        // Each round kills the replica a little later while it handles the change.
        tokio::time::sleep(Duration::from_micros(300 * round)).await;
        replicas.processes[0].kill().await;
        replicas.restart(0).await;
        let done = publish.await.expect("the publish task ends");
        if let Some(generation) = done.generation {
            let status = replicas.control().status().await.expect("a status");
            let change = status
                .changes
                .iter()
                .find(|change| change.generation == generation)
                .expect("the change is retained");
            assert!(
                generation > last_acknowledged,
                "a generation is used only once"
            );
            assert_eq!(
                change.outcome == "in force",
                done.outcome == Outcome::InForce,
                "{}",
                done.reason
            );
            last_acknowledged = generation;
        }
    }
    assert!(last_acknowledged > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn full_disk_is_reported_and_loses_no_acknowledged_change() {
    let mut replicas = Replicas::start("full", 1).await;
    let store = replicas.folder.path().join("store-1");
    replicas.processes[0].kill().await;
    // Largest allowed file size, in blocks of 512 bytes. A write beyond it fails as on a full disk.
    let max_blocks = std::fs::metadata(&store).expect("a file").len() / 512 + 64;
    let file = replicas.folder.path().join("1.toml").display().to_string();
    let script = format!("trap '' XFSZ; ulimit -f {max_blocks}; exec \"$0\" serve \"$1\"");
    let arguments = vec!["-c".to_owned(), script, CONTROL.to_owned(), file];
    let plan = ProcessSpec {
        program: "/bin/sh".into(),
        arguments,
        debug_filter: Vec::new(),
        environment: Vec::new(),
    };
    let mut limited = Process::start(plan).await.expect("the replica starts");
    replicas.process_addresses[0].send_replace(Some(
        limited.listen_address().await.expect("the replica listens"),
    ));
    let mut last_revision = 0;
    let exit_message = loop {
        if let Some(exit_message) = limited.exit_report() {
            break exit_message;
        }
        let large = format!("{POLICY}\n# {last_revision}\n{}", "# fill\n".repeat(20_000));
        let files = HashMap::from([("caja".to_owned(), large)]);
        let publish = request::Kind::Publish(Publish {
            files,
            revision: last_revision,
        });
        let mut client = replicas.client();
        match tokio::time::timeout(Duration::from_secs(10), client.call(&publish)).await {
            Ok(Ok(reply::Kind::ChangeStarted(_))) => {
                // The next policy is published at the revision that results from this one.
                let mut control = replicas.control();
                match tokio::time::timeout(Duration::from_secs(10), control.status()).await {
                    Ok(Ok(status)) => last_revision = status.revision,
                    _ => continue,
                }
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    };
    assert!(
        exit_message.contains("the replica has stopped") || exit_message.contains("cannot be used"),
        "{exit_message}"
    );
    replicas.restart(0).await;
    let status = replicas.control().status().await.expect("a status");
    assert!(
        status.revision >= last_revision,
        "{} {last_revision}",
        status.revision
    );
}

/// Opens a store and returns its log state, vote and record as text.
async fn store_contents(path: &Path) -> Result<String, Box<dyn std::error::Error>> {
    let mut store = Store::open(path, 1)?;
    let log = store.get_log_state().await?;
    let vote = store.read_vote().await?;
    Ok(format!("{log:?} {vote:?} {:?}", store.record()))
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_or_corrupted_store_opens_unchanged_or_is_rejected() {
    let mut replicas = Replicas::start("store", 1).await;
    for number in 1..=3 {
        let revision = replicas
            .control()
            .status()
            .await
            .expect("a status")
            .revision;
        let done = replicas
            .control()
            .publish(&files(number), revision, |_| {})
            .await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.reason);
    }
    replicas.processes[0].kill().await;
    let path = replicas.folder.path().join("store-1");
    let intact = store_contents(&path)
        .await
        .expect("the store is intact after a kill");
    let bytes = std::fs::read(&path).expect("a file");
    assert!(matches!(
        Store::open(&path, 2),
        Err(StoreError::OtherReplica(1))
    ));
    assert!(matches!(
        Store::create(&path, 1),
        Err(StoreError::AlreadyExists)
    ));
    let copy = replicas.folder.path().join("copy");
    let (mut rejected, mut unchanged) = (0, 0);
    let mut check = async |bytes: &[u8], damage: String| {
        std::fs::write(&copy, bytes).expect("a file");
        match store_contents(&copy).await {
            Err(_) => rejected += 1,
            Ok(found) => {
                assert_eq!(found, intact, "{damage}");
                unchanged += 1;
            }
        }
    };
    for len in (0..bytes.len()).step_by(bytes.len() / 40) {
        check(&bytes[..len], format!("truncated to {len} bytes")).await;
    }
    // Flips a bit in every byte of the header and in a sample of the rest.
    for offset in (0..512).chain((512..bytes.len()).step_by(bytes.len() / 300)) {
        let mut flipped = bytes.clone();
        flipped[offset] ^= 1 << (offset % 8);
        check(&flipped, format!("flipped bit in byte {offset}")).await;
    }
    assert!(rejected > 0 && unchanged > 0, "{rejected} {unchanged}");
    std::fs::remove_file(&copy).expect("a file");
    let missing = store_contents(&copy)
        .await
        .expect_err("the file was removed");
    assert!(matches!(missing.downcast_ref(), Some(StoreError::Missing)));
}

/// A policy that took a failure for a proof that a charge had not run came into force, and charges ran twice.
#[tokio::test(flavor = "multi_thread")]
async fn policy_that_takes_a_failure_for_a_proof_is_rejected() {
    let replicas = Replicas::start("proof", 1).await;
    let policy = POLICY.replace(
        "effect = \"unsafe\"",
        "effect = \"unsafe\"\nnever_ran = [{ status = 500, header = \"Content-Type\" }]",
    );
    let publish = request::Kind::Publish(Publish {
        files: HashMap::from([("caja".to_owned(), policy)]),
        revision: 0,
    });
    let reply = replicas.client().call_with_retry(&publish, TIMEOUT).await;
    let Err(ClientError::Rejected(rejection)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(rejection.code(), rejection::Code::Invalid);
    let text = rejection.message;
    assert!(
        text.contains("caja.toml") && text.contains("class.cobro-mensual.never_ran"),
        "{text}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_and_change_nothing() {
    let replicas = Replicas::start("invalid", 1).await;
    let expect_rejection = async |files: HashMap<String, String>, revision: u64| {
        let publish = request::Kind::Publish(Publish { files, revision });
        match replicas.client().call_with_retry(&publish, TIMEOUT).await {
            Err(ClientError::Rejected(rejection)) => (rejection.code(), rejection.message),
            other => panic!("{other:?}"),
        }
    };
    let without_attempts = POLICY.replace("attempts = 3", "attempts = 0");
    let (code, text) =
        expect_rejection(HashMap::from([("caja".to_owned(), without_attempts)]), 0).await;
    assert_eq!(code, rejection::Code::Invalid);
    assert!(
        text.contains("caja.toml") && text.contains("attempts") && text.contains("found 0"),
        "{text}"
    );
    let (code, text) =
        expect_rejection(HashMap::from([("a".to_owned(), "#".repeat(1 << 21))]), 0).await;
    assert_eq!(code, rejection::Code::Invalid);
    assert!(
        text.contains("allowed are 1 to 4096 of 1048576 bytes"),
        "{text}"
    );
    assert_eq!(
        expect_rejection(HashMap::new(), 0).await.0,
        rejection::Code::Invalid
    );
    // Publishes at a revision that is not the current one.
    assert_eq!(
        expect_rejection(files(2), 7).await.0,
        rejection::Code::Conflict
    );

    replicas
        .folder
        .write("other", "another secret, as long", true)
        .expect("a file");
    let other_secret = SharedSecret::read(&replicas.folder.path().join("other")).expect("a secret");
    let mut unauthorized = Client::new(replicas.addresses(), other_secret, Duration::from_secs(5));
    let publish = request::Kind::Publish(Publish {
        files: files(2),
        revision: 0,
    });
    let error = unauthorized
        .call(&publish)
        .await
        .expect_err("the secret is another one");
    assert!(error.to_string().contains("another secret"), "{error}");

    let status = request::Kind::Status(StatusRequest {});
    let Ok(reply::Kind::Status(status)) = replicas.client().call_with_retry(&status, TIMEOUT).await
    else {
        panic!("expected a status")
    };
    assert_eq!(
        (status.mode, status.revision, status.changes.len()),
        (None, 0, 0)
    );
}
