//! Replicas as processes: what they have answered holds over kills; what they can't use they say, and change nothing.

use badgerramp_config_tool::fleet::{At, Control, Outcome};
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
const TIMEOUT: Duration = Duration::from_secs(30);

struct Replicas {
    folder: Folder,
    all: Vec<Process>,
    at: Vec<watch::Sender<Option<SocketAddr>>>,
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
            all: Vec::new(),
            at: Vec::new(),
            links: Vec::new(),
        };
        for _ in 0..count {
            let (at, known) = watch::channel(None);
            replicas.links.push(Link::to(known).await.expect("a link"));
            replicas.at.push(at);
        }
        let named = |(n, l): (usize, &Link)| format!("{} = \"{}\"", n + 1, l.address);
        let named: Vec<String> = replicas.links.iter().enumerate().map(named).collect();
        for number in 1..=count {
            let text = format!(
                "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{number}\"\n\
                 secret = \"secret\"\nlease_ms = 300\nwait_ms = 5000\nelection_ms = 300\n",
                named.join(", ")
            );
            let file = replicas
                .folder
                .write(&format!("{number}.toml"), &text, false)
                .expect("a file");
            let made = std::process::Command::new(CONTROL)
                .arg("create")
                .arg(&file)
                .output();
            assert!(made.expect("it runs").status.success());
            let arguments = vec!["serve".to_owned(), file.display().to_string()];
            let plan = ProcessSpec {
                program: CONTROL.into(),
                arguments,
                debug_filter: Vec::new(),
                environment: Vec::new(),
            };
            let mut process = Process::start(plan).await.expect("it starts");
            replicas.at[number - 1]
                .send_replace(Some(process.listen_address().await.expect("it listens")));
            replicas.all.push(process);
        }
        replicas
    }

    async fn again(&mut self, place: usize) {
        self.all[place].spawn().expect("it starts");
        let address = self.all[place].listen_address().await.expect("it listens");
        self.at[place].send_replace(Some(address));
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|l| l.address).collect()
    }

    fn control(&self) -> Control {
        let secret = self.folder.path().join("secret");
        Control::new(&At {
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
async fn committed_changes_survive_the_death_of_the_leader() {
    let mut replicas = Replicas::start("leader", 3).await;
    for number in 1..=3 {
        let revision = replicas
            .control()
            .standing()
            .await
            .expect("a status")
            .revision;
        let done = replicas
            .control()
            .publish(&files(number), revision, |_| {})
            .await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.why);
        let leader = replicas
            .control()
            .standing()
            .await
            .expect("a status")
            .leader;
        let place = replicas
            .links
            .iter()
            .position(|l| l.address.to_string() == leader)
            .expect("one of them");
        replicas.all[place].kill().await;
        replicas.at[place].send_replace(None);
        let standing = replicas
            .control()
            .standing()
            .await
            .expect("the others go on");
        assert_eq!(standing.in_force, Some(number));
        assert_eq!(
            replicas.control().files(number).await.expect("kept"),
            files(number)
        );
        replicas.again(place).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_kills_at_any_moment() {
    let mut replicas = Replicas::start("kills", 1).await;
    let mut answered = 0;
    for round in 0..12_u64 {
        let revision = replicas
            .control()
            .standing()
            .await
            .expect("a status")
            .revision;
        let mut control = replicas.control();
        let publish = tokio::spawn(async move {
            let standing = control.standing().await.map(|s| s.revision == revision);
            assert!(standing.expect("a status"));
            control.publish(&files(round), revision, |_| {}).await
        });
        // Each round a little later in what it writes.
        tokio::time::sleep(Duration::from_micros(300 * round)).await;
        replicas.all[0].kill().await;
        replicas.again(0).await;
        let done = publish.await.expect("it ends");
        if let Some(generation) = done.generation {
            let standing = replicas.control().standing().await.expect("a status");
            let change = standing
                .changes
                .iter()
                .find(|c| c.generation == generation)
                .expect("remembered");
            assert!(generation > answered, "a number is given once");
            assert_eq!(
                change.outcome == "in force",
                done.outcome == Outcome::InForce,
                "{}",
                done.why
            );
            answered = generation;
        }
    }
    assert!(answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn full_disk_is_reported_and_loses_no_acknowledged_change() {
    let mut replicas = Replicas::start("full", 1).await;
    let store = replicas.folder.path().join("store-1");
    replicas.all[0].kill().await;
    // A file may grow no further than that: a write beyond it fails as it does on a full disk.
    let room = std::fs::metadata(&store).expect("a file").len() / 512 + 64;
    let file = replicas.folder.path().join("1.toml").display().to_string();
    let script = format!("trap '' XFSZ; ulimit -f {room}; exec \"$0\" serve \"$1\"");
    let arguments = vec!["-c".to_owned(), script, CONTROL.to_owned(), file];
    let plan = ProcessSpec {
        program: "/bin/sh".into(),
        arguments,
        debug_filter: Vec::new(),
        environment: Vec::new(),
    };
    let mut full = Process::start(plan).await.expect("it starts");
    replicas.at[0].send_replace(Some(full.listen_address().await.expect("it listens")));
    let mut answered = 0;
    let ended = loop {
        if let Some(ended) = full.exit_report() {
            break ended;
        }
        let large = format!("{POLICY}\n# {answered}\n{}", "# room\n".repeat(20_000));
        let files = HashMap::from([("caja".to_owned(), large)]);
        let publish = request::Kind::Publish(Publish {
            files,
            revision: answered,
        });
        let mut client = replicas.client();
        match tokio::time::timeout(Duration::from_secs(10), client.call(&publish)).await {
            Ok(Ok(reply::Kind::ChangeStarted(_))) => {
                // The next is published beside what has come of this one.
                let mut control = replicas.control();
                match tokio::time::timeout(Duration::from_secs(10), control.standing()).await {
                    Ok(Ok(standing)) => answered = standing.revision,
                    _ => continue,
                }
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    };
    assert!(
        ended.contains("can't go on") || ended.contains("can't be used"),
        "{ended}"
    );
    replicas.again(0).await;
    let standing = replicas.control().standing().await.expect("a status");
    assert!(
        standing.revision >= answered,
        "{} {answered}",
        standing.revision
    );
}

async fn state(path: &Path) -> Result<String, Box<dyn std::error::Error>> {
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
            .standing()
            .await
            .expect("a status")
            .revision;
        let done = replicas
            .control()
            .publish(&files(number), revision, |_| {})
            .await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.why);
    }
    replicas.all[0].kill().await;
    let path = replicas.folder.path().join("store-1");
    let intact = state(&path).await.expect("a kill leaves it good");
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
    let mut check = async |bytes: &[u8], what: String| {
        std::fs::write(&copy, bytes).expect("a file");
        match state(&copy).await {
            Err(_) => rejected += 1,
            Ok(found) => {
                assert_eq!(found, intact, "{what}");
                unchanged += 1;
            }
        }
    };
    for place in (0..bytes.len()).step_by(bytes.len() / 40) {
        check(&bytes[..place], format!("cut at {place}")).await;
    }
    // Every byte of the header, and a sample of the rest.
    for place in (0..512).chain((512..bytes.len()).step_by(bytes.len() / 300)) {
        let mut flipped = bytes.clone();
        flipped[place] ^= 1 << (place % 8);
        check(&flipped, format!("a bit at {place}")).await;
    }
    assert!(rejected > 0 && unchanged > 0, "{rejected} {unchanged}");
    std::fs::remove_file(&copy).expect("a file");
    let missing = state(&copy).await.expect_err("it was removed");
    assert!(matches!(missing.downcast_ref(), Some(StoreError::Missing)));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_and_change_nothing() {
    let replicas = Replicas::start("bad", 1).await;
    let refused = async |files: HashMap<String, String>, revision: u64| {
        let publish = request::Kind::Publish(Publish { files, revision });
        match replicas.client().call_with_retry(&publish, TIMEOUT).await {
            Err(ClientError::Rejected(rejection)) => (rejection.code(), rejection.message),
            other => panic!("{other:?}"),
        }
    };
    let none = POLICY.replace("attempts = 3", "attempts = 0");
    let (code, text) = refused(HashMap::from([("caja".to_owned(), none)]), 0).await;
    assert_eq!(code, rejection::Code::Invalid);
    assert!(
        text.contains("caja.toml") && text.contains("attempts") && text.contains("found 0"),
        "{text}"
    );
    let (code, text) = refused(HashMap::from([("a".to_owned(), "#".repeat(1 << 21))]), 0).await;
    assert_eq!(code, rejection::Code::Invalid);
    assert!(
        text.contains("allowed are 1 to 4096 of 1048576 bytes"),
        "{text}"
    );
    assert_eq!(refused(HashMap::new(), 0).await.0, rejection::Code::Invalid);
    // Looked at beside what is no more.
    assert_eq!(refused(files(2), 7).await.0, rejection::Code::Conflict);

    replicas
        .folder
        .write("other", "another secret, as long", true)
        .expect("a file");
    let other = SharedSecret::read(&replicas.folder.path().join("other")).expect("a secret");
    let mut stranger = Client::new(replicas.addresses(), other, Duration::from_secs(5));
    let publish = request::Kind::Publish(Publish {
        files: files(2),
        revision: 0,
    });
    let error = stranger.call(&publish).await.expect_err("no admittance");
    assert!(error.to_string().contains("another secret"), "{error}");

    let status = request::Kind::Status(StatusRequest {});
    let Ok(reply::Kind::Status(status)) = replicas.client().call_with_retry(&status, TIMEOUT).await
    else {
        panic!("no status")
    };
    assert_eq!(
        (status.mode, status.revision, status.changes.len()),
        (None, 0, 0)
    );
}
