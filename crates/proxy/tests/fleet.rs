//! The program with `[policy]`, beside a replica of control: what begins, when, and what its copy on disk is worth.

use badgerramp_config_tool::fleet::{At, Control, Done, Outcome};
use badgerramp_control_plane::settings::Settings;
use badgerramp_control_plane::store::Store;
use badgerramp_control_protocol::SharedSecret;
use badgerramp_fault_injection::process::Folder;
use badgerramp_testkit::{Host, Message, Proxy, EVENT_TIMEOUT};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const PROXY: &str = env!("CARGO_BIN_EXE_badgerramp");

/// A replica in a thread of this process.
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

    fn end(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ends");
        }
    }
}

struct World {
    folder: Folder,
    host: Host,
    replica: Replica,
    /// The policy declares its class for the floor.
    floor: bool,
}

impl World {
    fn start(name: &str, floor: bool) -> World {
        let folder = Folder::new(&format!("fleet-{name}")).expect("a folder");
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        let free = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        let replica = Replica::start(&folder, free);
        World {
            folder,
            host: Host::serving("ok"),
            replica,
            floor,
        }
    }

    /// The file of a proxy with this name; the policy is such a file too.
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

    fn at(&self) -> At {
        let secret = self.folder.path().join("secret");
        At {
            control: vec![self.replica.address],
            secret,
            timeout: 20,
        }
    }

    fn publish(&self, application: &str, path: &str) -> Done {
        let files = HashMap::from([(application.to_owned(), self.file("any", path, "refuse"))]);
        ask(&self.at(), async |control| {
            let revision = control.standing().await.expect("a status").revision;
            control.publish(&files, revision, |_| {}).await
        })
    }
}

fn ask<T>(at: &At, ask: impl AsyncFnOnce(&mut Control) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let mut control = Control::new(at).expect("a secret");
    runtime.expect("a runtime").block_on(ask(&mut control))
}

fn get(proxy: &Proxy, path: &str) -> Message {
    proxy
        .client()
        .ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// Asks until the answer has this status: what comes is an event of another process.
fn becomes(proxy: &Proxy, path: &str, status: &str) -> Message {
    let began = Instant::now();
    loop {
        let answer = get(proxy, path);
        if answer.head.contains(status) {
            return answer;
        }
        assert!(
            began.elapsed() < EVENT_TIMEOUT,
            "{path} stays {:?}",
            answer.head
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn nothing_begins_without_a_lease_whatever_lies_on_the_disk() {
    let mut world = World::start("lease", false);
    let proxy = world.proxy("p", "refuse");
    assert!(
        get(&proxy, "/own").head.contains("503"),
        "its own file is no policy"
    );
    assert!(get(&proxy, "/_health").head.contains("503"));
    assert_eq!(world.publish("caja", "/one").outcome, Outcome::InForce);
    becomes(&proxy, "/one", "200");
    becomes(&proxy, "/own", "404");
    let health = becomes(&proxy, "/_health", "200");
    assert!(String::from_utf8_lossy(&health.body).contains("generation 1"));
    world.replica.end();
    let refused = becomes(&proxy, "/one", "503");
    assert!(refused.header("retry-after").is_some());
    drop(proxy);
    // Its copy is there, and no control.
    assert!(world.folder.path().join("state-p/caja.policy").exists());
    let anew = world.proxy("p", "refuse");
    anew.wait_for_log("no lease");
    assert!(get(&anew, "/one").head.contains("503"));
    world.replica = Replica::start(&world.folder, world.replica.address);
    becomes(&anew, "/one", "200");
    world.replica.end();
}

#[test]
fn a_policy_that_one_proxy_can_not_read_is_nowhere_with_its_name() {
    let mut world = World::start("unread", false);
    let proxy = world.proxy("p-7", "refuse");
    assert_eq!(world.publish("caja", "/one").outcome, Outcome::InForce);
    becomes(&proxy, "/one", "200");
    let done = world.publish("otra", "/two");
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert!(
        done.why.contains("p-7") && done.why.contains("\"caja\""),
        "{}",
        done.why
    );
    becomes(&proxy, "/one", "200");
    // The next takes another number, and comes into force.
    let done = world.publish("caja", "/three");
    assert_eq!((done.outcome, done.generation), (Outcome::InForce, Some(3)));
    becomes(&proxy, "/three", "200");
    world.replica.end();
}

#[test]
fn cut_off_a_proxy_does_what_its_file_says() {
    let mut world = World::start("cut", true);
    // A file stands where its folder would be: that costs it its copy, and no call.
    world.folder.write("state-keep", "", false).expect("a file");
    let (narrow, keep) = (world.proxy("narrow", "narrow"), world.proxy("keep", "keep"));
    assert_eq!(world.publish("caja", "/one").outcome, Outcome::InForce);
    becomes(&narrow, "/one", "200");
    becomes(&keep, "/one", "200");
    keep.wait_for_log("the policy could not be kept");
    // The floor's route may not change while a proxy may act under it.
    let done = world.publish("caja", "/two");
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert!(
        done.why.contains("\"entry\" of the floor") && done.why.contains("two steps"),
        "{}",
        done.why
    );
    world.replica.end();
    let began = Instant::now();
    let cut_off = |proxy: &Proxy| {
        String::from_utf8_lossy(&get(proxy, "/_health").body).contains("the floor of")
    };
    while !cut_off(&narrow) {
        assert!(began.elapsed() < EVENT_TIMEOUT);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(get(&narrow, "/one").head.contains("200"));
    assert!(get(&keep, "/one").head.contains("200"));
}

#[test]
fn two_starts_of_one_name_are_two_proxies() {
    let mut world = World::start("name", false);
    let (first, second) = (world.proxy("p", "refuse"), world.proxy("p", "keep"));
    assert_eq!(world.publish("caja", "/one").outcome, Outcome::InForce);
    becomes(&first, "/one", "200");
    becomes(&second, "/one", "200");
    let standing = ask(&world.at(), async |control| {
        control.standing().await.expect("a status")
    });
    assert_eq!(standing.proxies.iter().filter(|p| p.name == "p").count(), 2);
    // One word does not do for both.
    let why = ask(&world.at(), async |control| control.evict("p", None).await).expect_err("two");
    assert!(why.contains("more than once"), "{why}");
    let keeps = standing
        .proxies
        .iter()
        .find(|p| p.cut_off == "keep")
        .expect("it is written down");
    let start = u64::from_str_radix(&keeps.incarnation, 16).expect("a number");
    ask(&world.at(), async |control| {
        control.evict("p", Some(start)).await
    })
    .expect("evicted");
    assert!(String::from_utf8_lossy(&becomes(&second, "/_health", "503").body).contains("evicted"));
    becomes(&first, "/one", "200");
    assert_eq!(world.publish("caja", "/two").outcome, Outcome::InForce);
    becomes(&first, "/two", "200");
    assert!(get(&second, "/one").head.contains("503"));
    world.replica.end();
}

#[test]
fn of_two_publishes_at_once_one_begins() {
    let mut world = World::start("two", false);
    assert_eq!(world.publish("caja", "/zero").outcome, Outcome::InForce);
    let (sender, done) = mpsc::channel();
    for path in ["/one", "/two"] {
        let (sender, at) = (sender.clone(), world.at());
        let files = HashMap::from([("caja".to_owned(), world.file("any", path, "refuse"))]);
        thread::spawn(move || {
            let published = ask(&at, async |control| {
                control.publish(&files, 1, |_| {}).await
            });
            sender.send(published).expect("heard");
        });
    }
    drop(sender);
    let ended: Vec<Done> = done.iter().collect();
    let begun: Vec<_> = ended.iter().filter_map(|d| d.generation).collect();
    assert_eq!(begun, [2]);
    assert!(ended
        .iter()
        .any(|d| d.outcome == Outcome::NotInForce && !d.why.is_empty()));
    world.replica.end();
}
