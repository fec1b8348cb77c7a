//! The program with `[policy]` and a replica of the control plane: which calls it admits, and what its copy on disk is good
//! for.

use badgerramp_config_tool::fleet::{ControlArgs, ControlClient, Outcome, PublishResult};
use badgerramp_control_plane::settings::Settings;
use badgerramp_control_plane::store::{RaftTypes, Store};
use badgerramp_control_protocol::SharedSecret;
use badgerramp_fault_injection::process::Folder;
use badgerramp_policy::Command;
use badgerramp_testkit::{answer, Host, Message, Proxy, Reply, EVENT_TIMEOUT};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::{BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, Vote};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const PROXY: &str = env!("CARGO_BIN_EXE_badgerramp");

/// A replica of the control plane, in a thread of this process.
struct Replica {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Replica {
    fn start(folder: &Folder, address: SocketAddr) -> Replica {
        let store = folder.path().join("store");
        if !store.exists() {
            Store::create(&store, 1).expect("a store");
        }
        let settings = Settings {
            replica: 1,
            replicas: [(1, address)].into(),
            listen: address,
            store,
            secret: SharedSecret::read(&folder.path().join("secret")).expect("a secret"),
            lease_duration: Duration::from_millis(500),
            max_clock_drift: Duration::from_millis(10),
            change_timeout: Duration::from_secs(5),
            election_timeout: Duration::from_millis(200),
            regions: None,
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build();
            let served = badgerramp_control_plane::server::run(settings, async move {
                let _ = stopped.await;
            });
            runtime
                .expect("a runtime")
                .block_on(served)
                .expect("it serves");
        });
        Replica {
            address,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn shut_down(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ends");
        }
    }
}

struct Fixture {
    folder: Folder,
    host: Host,
    replica: Replica,
    /// The published policies declare their class for the fallback policy (`floor`).
    floor: bool,
}

impl Fixture {
    fn start(name: &str, floor: bool) -> Fixture {
        let folder = Folder::new(&format!("fleet-{name}")).expect("a folder");
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        let free_address = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        let replica = Replica::start(&folder, free_address);
        Fixture {
            folder,
            host: Host::serving("ok"),
            replica,
            floor,
        }
    }

    /// Returns the operator's file of a proxy with this name. A published policy has the same form.
    fn file(&self, name: &str, path: &str, cut_off: &str) -> String {
        let folder = self.folder.path().display();
        let floor = if self.floor {
            "floor = [\"entry\"]\n"
        } else {
            ""
        };
        format!(
            "listen = \"127.0.0.1:0\"\n\
             [upstream]\nendpoints = [{{ address = \"{}\" }}]\n\
             [class.entry]\naim = \"500ms\"\ndeadline = \"1s\"\neffect = \"unsafe\"\n\
             [policy]\ncontrol = [\"{}\"]\nsecret = \"{folder}/secret\"\napplication = \"caja\"\n\
             name = \"{name}\"\ncut_off = \"{cut_off}\"\nstate = \"{folder}/state-{name}\"\n{floor}\
             [[route]]\nname = \"entries\"\npath = \"{path}\"\nclass = \"entry\"\n",
            self.host.address, self.replica.address
        )
    }

    fn proxy(&self, name: &str, cut_off: &str) -> Proxy {
        Proxy::sidecar(PROXY, &[], &self.file(name, "/own", cut_off))
    }

    fn control_address(&self) -> ControlArgs {
        let secret = self.folder.path().join("secret");
        ControlArgs {
            control: vec![self.replica.address],
            secret,
            timeout: 20,
        }
    }

    fn publish(&self, application: &str, path: &str) -> PublishResult {
        self.publish_text(application, &self.file("any", path, "refuse"))
    }

    fn publish_text(&self, application: &str, text: &str) -> PublishResult {
        let files = HashMap::from([(application.to_owned(), text.to_owned())]);
        with_control(&self.control_address(), async |control| {
            let revision = control.status().await.expect("a status").revision;
            control.publish(&files, revision, |_| {}).await
        })
    }
}

fn with_control<T>(address: &ControlArgs, action: impl AsyncFnOnce(&mut ControlClient) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let mut control = ControlClient::new(address).expect("a secret");
    runtime.expect("a runtime").block_on(action(&mut control))
}

fn get(proxy: &Proxy, path: &str) -> Message {
    proxy
        .client()
        .ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// Repeats a request until its response has this status, which depends on another process.
fn get_until_status(proxy: &Proxy, path: &str, status: &str) -> Message {
    let started = Instant::now();
    loop {
        let answer = get(proxy, path);
        if answer.head.contains(status) {
            return answer;
        }
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "{path} stays {:?}",
            answer.head
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn no_call_is_admitted_without_a_lease_whatever_is_on_disk() {
    let mut fixture = Fixture::start("lease", false);
    let proxy = fixture.proxy("p", "refuse");
    assert!(
        get(&proxy, "/own").head.contains("503"),
        "its own file does not replace a policy"
    );
    assert!(get(&proxy, "/_health").head.contains("503"));
    assert_eq!(fixture.publish("caja", "/one").outcome, Outcome::InForce);
    get_until_status(&proxy, "/one", "200");
    get_until_status(&proxy, "/own", "404");
    let health = get_until_status(&proxy, "/_health", "200");
    assert!(String::from_utf8_lossy(&health.body).contains("generation 1"));
    fixture.replica.shut_down();
    let rejected = get_until_status(&proxy, "/one", "503");
    assert!(rejected.header("retry-after").is_some());
    drop(proxy);
    // The copy is there, but no control plane.
    assert!(fixture.folder.path().join("state-p/caja.policy").exists());
    let restarted = fixture.proxy("p", "refuse");
    restarted.wait_for_log("lease request failed");
    assert!(get(&restarted, "/one").head.contains("503"));
    fixture.replica = Replica::start(&fixture.folder, fixture.replica.address);
    get_until_status(&restarted, "/one", "200");
    fixture.replica.shut_down();
}

#[test]
fn a_policy_that_one_proxy_rejects_is_not_in_force_and_the_reason_names_the_proxy() {
    let mut fixture = Fixture::start("unread", false);
    let proxy = fixture.proxy("p-7", "refuse");
    assert_eq!(fixture.publish("caja", "/one").outcome, Outcome::InForce);
    get_until_status(&proxy, "/one", "200");
    let published = fixture.publish("otra", "/two");
    assert_eq!(published.outcome, Outcome::NotInForce);
    assert!(
        published.reason.contains("p-7") && published.reason.contains("\"caja\""),
        "{}",
        published.reason
    );
    get_until_status(&proxy, "/one", "200");
    // The next change gets another generation number and comes into force.
    let published = fixture.publish("caja", "/three");
    assert_eq!(
        (published.outcome, published.generation),
        (Outcome::InForce, Some(3))
    );
    get_until_status(&proxy, "/three", "200");
    fixture.replica.shut_down();
}

#[test]
fn a_proxy_that_loses_its_lease_follows_its_cut_off_setting() {
    let mut fixture = Fixture::start("cut", true);
    // A file is in the place of the state directory: the proxy can't save its copy, but goes on serving.
    fixture
        .folder
        .write("state-keep", "", false)
        .expect("a file");
    let (narrow, keep) = (
        fixture.proxy("narrow", "narrow"),
        fixture.proxy("keep", "keep"),
    );
    assert_eq!(fixture.publish("caja", "/one").outcome, Outcome::InForce);
    get_until_status(&narrow, "/one", "200");
    get_until_status(&keep, "/one", "200");
    keep.wait_for_log("failed to save the policy copy");
    // The route of a fallback class may not change while a proxy may serve under the fallback policy.
    let published = fixture.publish("caja", "/two");
    assert_eq!(published.outcome, Outcome::NotInForce);
    assert!(
        published.reason.contains("\"entry\" of the floor")
            && published.reason.contains("two steps"),
        "{}",
        published.reason
    );
    fixture.replica.shut_down();
    let started = Instant::now();
    let cut_off = |proxy: &Proxy| {
        String::from_utf8_lossy(&get(proxy, "/_health").body).contains("the floor of")
    };
    while !cut_off(&narrow) {
        assert!(started.elapsed() < EVENT_TIMEOUT);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(get(&narrow, "/one").head.contains("200"));
    assert!(get(&keep, "/one").head.contains("200"));
}

#[test]
fn two_processes_with_the_same_name_are_two_proxies() {
    let mut fixture = Fixture::start("name", false);
    let (first, second) = (fixture.proxy("p", "refuse"), fixture.proxy("p", "keep"));
    assert_eq!(fixture.publish("caja", "/one").outcome, Outcome::InForce);
    get_until_status(&first, "/one", "200");
    get_until_status(&second, "/one", "200");
    let status = with_control(&fixture.control_address(), async |control| {
        control.status().await.expect("a status")
    });
    assert_eq!(status.proxies.iter().filter(|p| p.name == "p").count(), 2);
    // The name alone does not identify one of them.
    let reason = with_control(&fixture.control_address(), async |control| {
        control.evict("p", None).await
    })
    .expect_err("two");
    assert!(
        reason.contains("there are several proxies \"p\""),
        "{reason}"
    );
    let keep_proxy = status
        .proxies
        .iter()
        .find(|p| p.on_lease_loss == "keep")
        .expect("the status lists the proxy");
    let incarnation = u64::from_str_radix(&keep_proxy.incarnation, 16).expect("a number");
    with_control(&fixture.control_address(), async |control| {
        control.evict("p", Some(incarnation)).await
    })
    .expect("evicted");
    assert!(
        String::from_utf8_lossy(&get_until_status(&second, "/_health", "503").body)
            .contains("evicted")
    );
    get_until_status(&first, "/one", "200");
    assert_eq!(fixture.publish("caja", "/two").outcome, Outcome::InForce);
    get_until_status(&first, "/two", "200");
    assert!(get(&second, "/one").head.contains("503"));
    fixture.replica.shut_down();
}

/// A proof of an unsafe class that proves nothing, as earlier releases let it through.
const WEAK_PROOF: &str = "never_ran = [{ status = 500, header = \"Content-Type\" }]\n";

/// Writes the store of a replica in which a policy has been published as the first one, so that it is in force. No check
/// of this release has seen it.
async fn write_store_with_policy(path: &Path, address: SocketAddr, application: &str, text: &str) {
    Store::create(path, 1).expect("a store");
    let mut store = Store::open(path, 1).expect("the store");
    let nodes = BTreeMap::from([(1, BasicNode::new(address.to_string()))]);
    let files = HashMap::from([(application, text)]);
    let publish = Command::Publish {
        revision: 0,
        text: serde_json::to_string(&files).expect("JSON"),
        fallback_generations: BTreeSet::new(),
        all_regions: None,
    };
    let payloads = [
        EntryPayload::Membership(Membership::new(vec![BTreeSet::from([1])], nodes)),
        EntryPayload::Blank,
        EntryPayload::Normal(publish),
    ];
    let log_id = |index| LogId::new(CommittedLeaderId::new(1, 1), index);
    let entries = (0..).zip(payloads).map(|(index, payload)| Entry {
        log_id: log_id(index),
        payload,
    });
    let entries: Vec<Entry<RaftTypes>> = entries.collect();
    store
        .save_vote(&Vote::new_committed(1, 1))
        .await
        .expect("the vote");
    store.blocking_append(entries).await.expect("the log");
    store
        .save_committed(Some(log_id(2)))
        .await
        .expect("committed");
}

/// A policy in force that an earlier release had let through could not be read any more after an upgrade: its proxies
/// refused all calls, and no corrected policy could be published.
#[test]
fn a_stored_policy_with_a_weak_proof_is_served_without_it_and_can_be_replaced() {
    for floor in [false, true] {
        let mut fixture = Fixture::start(&format!("stored-{floor}"), floor);
        fixture.replica.shut_down();
        fixture.host = Host::start(|_| {
            Reply::Write(answer(
                "500 Internal Server Error",
                "Content-Type: text/plain\r\n",
                "",
            ))
        });
        let with_proofs = |proofs: &str| {
            let effect = "effect = \"unsafe\"\n";
            fixture
                .file("any", "/one", "refuse")
                .replace(effect, &format!("{effect}{proofs}"))
        };
        let store = fixture.folder.path().join("store");
        std::fs::remove_file(&store).expect("the store of a fresh replica");
        let address = fixture.replica.address;
        let (weak, corrected) = (with_proofs(WEAK_PROOF), with_proofs("never_ran = []\n"));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let write = write_store_with_policy(&store, address, "caja", &weak);
        runtime.expect("a runtime").block_on(write);
        fixture.replica = Replica::start(&fixture.folder, address);
        let proxy = fixture.proxy("p", if floor { "narrow" } else { "refuse" });
        get_until_status(&proxy, "/_health", "200");
        assert!(
            get(&proxy, "/one").head.contains("500"),
            "the charge may have run"
        );
        assert_eq!(fixture.host.further_requests(), 1, "it is not sent again");
        // The same policy is not accepted once more, in any form.
        let again = fixture.publish_text("caja", &weak);
        assert_eq!(again.outcome, Outcome::NotInForce);
        assert!(again.reason.contains("never_ran"), "{}", again.reason);
        let published = fixture.publish_text("caja", &corrected);
        assert_eq!(published.outcome, Outcome::InForce, "{}", published.reason);
        // The copy on disk has either policy.
        drop(proxy);
        let restarted = fixture.proxy("p", "refuse");
        get_until_status(&restarted, "/_health", "200");
        fixture.replica.shut_down();
    }
}

/// A policy's keyed class names a group, and its own endpoints have one. The endpoints of a proxy are those of its own
/// file: if they had no group, all of them counted as one, and calls were sent again to endpoints that had not seen them.
#[test]
fn a_policy_whose_dedup_scope_the_proxys_endpoints_lack_is_not_applied() {
    for (scope, key) in [("group", "group = 1"), ("zone", "zone = \"a\"")] {
        let mut fixture = Fixture::start(&format!("scope-{scope}"), false);
        let own = fixture.file("p", "/own", "refuse");
        let endpoint = format!("{{ address = \"{}\"", fixture.host.address);
        let with_scope = own.replace(&endpoint, &format!("{endpoint}, {key}"));
        let keyed = format!("effect = \"keyed\"\ngroup = \"{scope}\"\nwindow = \"1s\"");
        let policy = with_scope.replace("effect = \"unsafe\"", &keyed);
        let proxy = Proxy::sidecar(PROXY, &[], &own);
        assert_eq!(fixture.publish("caja", "/one").outcome, Outcome::InForce);
        get_until_status(&proxy, "/one", "200");
        let published = fixture.publish_text("caja", &policy);
        assert_eq!(published.outcome, Outcome::NotInForce);
        let names_all = ["p", "class.entry.group", scope]
            .iter()
            .all(|part| published.reason.contains(part));
        assert!(names_all, "{}", published.reason);
        // With endpoints that tell it the policy is applied, and they can't be replaced by others while it is.
        drop(proxy);
        let proxy = Proxy::sidecar(PROXY, &[], &with_scope);
        let published = fixture.publish_text("caja", &policy);
        assert_eq!(published.outcome, Outcome::InForce, "{}", published.reason);
        get_until_status(&proxy, "/_health", "200");
        proxy.reload(&own);
        let line = proxy.wait_for_log("reload failed, keeping the old configuration");
        assert!(line.contains("class.entry.group"), "{line}");
        fixture.replica.shut_down();
    }
}

#[test]
fn of_two_concurrent_publishes_one_starts() {
    let mut fixture = Fixture::start("two", false);
    assert_eq!(fixture.publish("caja", "/zero").outcome, Outcome::InForce);
    let (sender, receiver) = mpsc::channel();
    for path in ["/one", "/two"] {
        let (sender, control_address) = (sender.clone(), fixture.control_address());
        let files = HashMap::from([("caja".to_owned(), fixture.file("any", path, "refuse"))]);
        thread::spawn(move || {
            let published = with_control(&control_address, async |control| {
                control.publish(&files, 1, |_| {}).await
            });
            sender.send(published).expect("heard");
        });
    }
    drop(sender);
    let results: Vec<PublishResult> = receiver.iter().collect();
    let generations: Vec<_> = results.iter().filter_map(|d| d.generation).collect();
    assert_eq!(generations, [2]);
    assert!(results
        .iter()
        .any(|d| d.outcome == Outcome::NotInForce && !d.reason.is_empty()));
    fixture.replica.shut_down();
}
