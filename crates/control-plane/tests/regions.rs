//! Two regions, each with replicas as processes: a change of all regions is in force in both or in none, also when the
//! links between them are cut at any of its steps.

use badgerramp_config_tool::fleet::{At, Control, Done, Outcome, Scope, Standing};
use badgerramp_control_protocol::wire::{self, rejection, reply, request};
use badgerramp_control_protocol::{Client, ClientError, SharedSecret};
use badgerramp_fault_injection::link::{Forwarding, Link};
use badgerramp_fault_injection::process::{Folder, Process, ProcessSpec};
use badgerramp_policy::regions::Region;
use badgerramp_policy::{Identity, LeaseRequest, OnLeaseLoss};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const CONTROL: &str = env!("CARGO_BIN_EXE_badgerramp-control");
const POLICY: &str = include_str!("../../../deploy/sidecar.example.toml");
const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks of what a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const NORTE: usize = 0;
const SUR: usize = 1;
const NAMES: [&str; 2] = ["norte", "sur"];

/// A replica of a region.
struct Replica {
    process: Process,
    at: watch::Sender<Option<SocketAddr>>,
    /// Where proxies, publishers and the other replicas of its region reach it.
    front: Link,
    /// Where the other region reaches it.
    between: Link,
}

/// The links to a replica that has not started yet.
struct ReplicaLinks {
    at: watch::Sender<Option<SocketAddr>>,
    front: Link,
    between: Link,
}

impl ReplicaLinks {
    async fn new() -> ReplicaLinks {
        let (at, known) = watch::channel(None);
        let front = Link::to(known.clone()).await.expect("a link");
        let between = Link::to(known).await.expect("a link");
        ReplicaLinks { at, front, between }
    }
}

struct Cluster {
    folder: Folder,
    /// By place: the replicas of a region.
    regions: Vec<Vec<Replica>>,
}

/// A replica's file.
fn settings(
    place: usize,
    number: usize,
    (own, other): (&[SocketAddr], &[SocketAddr]),
    wait_ms: u64,
) -> String {
    let (name, other_name) = (NAMES[place], NAMES[1 - place]);
    let own: Vec<String> = own
        .iter()
        .enumerate()
        .map(|(n, a)| format!("{} = \"{a}\"", n + 1))
        .collect();
    let other: Vec<String> = other.iter().map(|a| format!("\"{a}\"")).collect();
    format!(
        "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{name}-{number}\"\n\
         secret = \"secret\"\nlease_ms = 300\nwait_ms = 20000\nelection_ms = 300\nregion = \"{name}\"\n\
         regions_wait_ms = {wait_ms}\n[regions.{other_name}]\nreplicas = [{}]\n",
        own.join(", "),
        other.join(", ")
    )
}

fn file_name(place: usize, number: usize) -> String {
    format!("{}-{number}", NAMES[place])
}

/// Writes a replica's file, and its store if it has none. What starts it.
fn plan(folder: &Folder, name: &str, text: &str) -> ProcessSpec {
    let file = folder
        .write(&format!("{name}.toml"), text, false)
        .expect("a file");
    if !folder.path().join(format!("store-{name}")).exists() {
        let made = std::process::Command::new(CONTROL)
            .arg("create")
            .arg(&file)
            .output();
        assert!(made.expect("it runs").status.success());
    }
    let arguments = vec!["serve".to_owned(), file.display().to_string()];
    ProcessSpec {
        program: CONTROL.into(),
        arguments,
        debug_filter: Vec::new(),
        environment: Vec::new(),
    }
}

impl Cluster {
    /// Starts both regions, with so many replicas each and the stores that are in this folder. A change of all regions
    /// that lacks a vote comes to nothing after `wait_ms`.
    async fn start(folder: Folder, count: usize, wait_ms: u64) -> Cluster {
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        let mut links = Vec::new();
        for _ in NAMES {
            let mut region = Vec::new();
            for _ in 0..count {
                region.push(ReplicaLinks::new().await);
            }
            links.push(region);
        }
        let front =
            |region: &Vec<ReplicaLinks>| region.iter().map(|w| w.front.address).collect::<Vec<_>>();
        let between = |region: &Vec<ReplicaLinks>| {
            region.iter().map(|w| w.between.address).collect::<Vec<_>>()
        };
        let fronts: Vec<_> = links.iter().map(front).collect();
        let betweens: Vec<_> = links.iter().map(between).collect();
        let mut regions = Vec::new();
        for (place, region) in links.into_iter().enumerate() {
            let mut replicas = Vec::new();
            for (number, ReplicaLinks { at, front, between }) in (1..).zip(region) {
                let text = settings(
                    place,
                    number,
                    (&fronts[place], &betweens[1 - place]),
                    wait_ms,
                );
                let plan = plan(&folder, &file_name(place, number), &text);
                let mut process = Process::start(plan).await.expect("it starts");
                at.send_replace(Some(process.listen_address().await.expect("it listens")));
                replicas.push(Replica {
                    process,
                    at,
                    front,
                    between,
                });
            }
            regions.push(replicas);
        }
        Cluster { folder, regions }
    }

    /// Starts both regions, of one replica each, with a first policy in force in each.
    async fn with_policy(name: &str, wait_ms: u64) -> Cluster {
        Cluster::of_replicas(name, 1, wait_ms).await
    }

    /// As [`Cluster::with_policy`], with so many replicas in each region.
    async fn of_replicas(name: &str, count: usize, wait_ms: u64) -> Cluster {
        let folder = Folder::new(&format!("regions-{name}")).expect("a folder");
        let cluster = Cluster::start(folder, count, wait_ms).await;
        let done = cluster.publish(NORTE, Scope::All, 1).await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.why);
        for place in [NORTE, SUR] {
            cluster
                .until(place, "the first policy", |s| {
                    s.in_force == Some(1) && s.to_come.is_none()
                })
                .await;
        }
        cluster
            .until(NORTE, "no commit that is not acknowledged", |s| {
                change(s).is_none()
            })
            .await;
        cluster
    }

    fn addresses(&self, place: usize) -> Vec<SocketAddr> {
        self.regions[place]
            .iter()
            .map(|replica| replica.front.address)
            .collect()
    }

    /// What the logs of a region say.
    fn log(&self, place: usize) -> Vec<String> {
        self.regions[place]
            .iter()
            .flat_map(|r| r.process.log())
            .map(|(_, line)| line)
            .collect()
    }

    fn control(&self, place: usize) -> Control {
        let secret = self.folder.path().join("secret");
        let control = self.addresses(place);
        Control::new(&At {
            control,
            secret,
            timeout: TIMEOUT.as_secs(),
        })
        .expect("a secret")
    }

    fn client(&self, place: usize) -> Client {
        let secret = SharedSecret::read(&self.folder.path().join("secret")).expect("a secret");
        Client::new(self.addresses(place), secret, Duration::from_secs(5))
    }

    async fn standing(&self, place: usize) -> Standing {
        self.control(place).standing().await.expect("a status")
    }

    /// Waits until a region stands so.
    async fn until(&self, place: usize, what: &str, is_so: impl Fn(&Standing) -> bool) -> Standing {
        let end = Instant::now() + TIMEOUT;
        loop {
            let standing = self.standing(place).await;
            if is_so(&standing) {
                return standing;
            }
            assert!(
                Instant::now() < end,
                "no {what}: {standing:?} {:?}",
                self.log(place)
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Publishes as the tool does, by way of this region's control.
    async fn publish(&self, place: usize, scope: Scope, number: u64) -> Done {
        publish(self.control(place), scope, number).await
    }

    fn publishing(&self, place: usize, scope: Scope, number: u64) -> JoinHandle<Done> {
        tokio::spawn(publish(self.control(place), scope, number))
    }

    /// Cuts or restores the link to this region from the other one, in both directions.
    fn pass_to(&self, place: usize, forth: Forwarding, back: Forwarding) {
        for replica in &self.regions[place] {
            replica
                .between
                .set(|state| (state.forward, state.backward) = (forth, back));
        }
    }

    fn cut(&self) {
        [NORTE, SUR]
            .into_iter()
            .for_each(|place| self.pass_to(place, Forwarding::Cut, Forwarding::Cut));
    }

    fn mend(&self) {
        [NORTE, SUR]
            .into_iter()
            .for_each(|place| self.pass_to(place, Forwarding::Normal, Forwarding::Normal));
    }

    /// Takes the other region out of the file of this one's only replica. It holds from the next restart on.
    fn remove_other(&self, place: usize) {
        let own = self.addresses(place);
        let text = settings(place, 1, (&own, &own), 1_000);
        let (own, _) = text
            .split_once("region = ")
            .expect("the keys of regions come last");
        self.folder
            .write(&format!("{}.toml", file_name(place, 1)), own, false)
            .expect("a file");
    }

    /// Kills the only replica of a region.
    async fn kill(&mut self, place: usize) {
        self.regions[place][0].process.kill().await;
    }

    /// Kills the only replica of a region, and starts it again from its disk.
    async fn restart(&mut self, place: usize) {
        self.kill(place).await;
        let replica = &mut self.regions[place][0];
        replica.process.spawn().expect("it starts");
        let address = replica.process.listen_address().await.expect("it listens");
        replica.at.send_replace(Some(address));
    }

    /// Kills the replica that leads a region.
    async fn kill_leader(&mut self, place: usize) {
        let leader = self.standing(place).await.leader;
        let replicas = &mut self.regions[place];
        let leads = |replica: &&mut Replica| replica.front.address.to_string() == leader;
        replicas
            .iter_mut()
            .find(leads)
            .expect("one of them")
            .process
            .kill()
            .await;
    }

    /// Asks for a lease, for a proxy that goes on without one.
    async fn lease(&self, place: usize, number: u64, acting: u64) -> wire::LeaseGrant {
        let what = request::Kind::Lease(ask(number, acting, OnLeaseLoss::Keep));
        match self.client(place).call_with_retry(&what, TIMEOUT).await {
            Ok(reply::Kind::Lease(grant)) => grant,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a message to a region, and takes its rejection.
    async fn refused(&self, place: usize, what: request::Kind) -> wire::Rejection {
        match self.client(place).call_with_retry(&what, TIMEOUT).await {
            Err(ClientError::Rejected(rejection)) => rejection,
            other => panic!("{other:?}"),
        }
    }
}

async fn publish(mut control: Control, scope: Scope, number: u64) -> Done {
    if scope == Scope::All {
        assert_eq!(
            control.go_to_coordinator().await.expect("a coordinator"),
            "norte"
        );
    }
    let revision = control.standing().await.expect("a status").revision;
    control
        .publish_for(scope, &files(number), revision, |_| {})
        .await
}

fn files(number: u64) -> HashMap<String, String> {
    HashMap::from([("caja".to_owned(), format!("{POLICY}\n# {number}\n"))])
}

fn ask(number: u64, acting: u64, cut_off: OnLeaseLoss) -> wire::LeaseRequest {
    let identity = Identity {
        name: "proxy".to_owned(),
        incarnation: 7,
    };
    let ask = LeaseRequest {
        identity,
        sequence: number,
        active_revision: acting,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss: cut_off,
    };
    wire::LeaseRequest::new(ask, "caja")
}

/// The change of all regions that a region tells of.
fn change(standing: &Standing) -> Option<&badgerramp_config_tool::fleet::AllRegionsChange> {
    standing.region.as_ref()?.change.as_ref()
}

fn has_voted(standing: &Standing) -> bool {
    change(standing).is_some_and(|change| change.voted)
}

#[tokio::test(flavor = "multi_thread")]
async fn change_of_all_regions_commits_in_both_and_change_of_one_region_only_there() {
    let cluster = Cluster::with_policy("both", 10_000).await;
    // By way of the region that does not coordinate.
    let done = cluster.publish(SUR, Scope::All, 2).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(2)),
        "{}",
        done.why
    );
    cluster
        .until(SUR, "second policy", |s| s.in_force == Some(2))
        .await;
    cluster
        .until(NORTE, "acknowledgement", |s| change(s).is_none())
        .await;
    for place in [NORTE, SUR] {
        assert_eq!(
            cluster.control(place).files(2).await.expect("kept"),
            files(2)
        );
    }
    let done = cluster.publish(SUR, Scope::Region, 3).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.why
    );
    assert_eq!(cluster.standing(SUR).await.in_force, Some(3));
    assert_eq!(cluster.standing(NORTE).await.in_force, Some(2));
    let done = cluster.publish(NORTE, Scope::Region, 4).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.why
    );
    // Each has numbers of its own; a change of all is told apart by its identifier.
    let (norte, sur) = (cluster.standing(NORTE).await, cluster.standing(SUR).await);
    let ids = |s: &Standing| {
        s.changes
            .iter()
            .map(|c| c.all_regions.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(&norte), ids(&sur));
    assert!(matches!(&ids(&norte)[..], [Some(first), Some(second), None] if first != second));
    let done = cluster.publish(NORTE, Scope::All, 5).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(4)),
        "{}",
        done.why
    );
    cluster
        .until(SUR, "fourth policy", |s| s.in_force == Some(4))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_before_the_vote_aborts_the_change_and_changes_of_one_region_go_on() {
    let cluster = Cluster::with_policy("cut", 1_000).await;
    cluster.cut();
    let done = cluster.publish(NORTE, Scope::All, 2).await;
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(done.why, "not in force in time; no vote of region sur");
    for place in [NORTE, SUR] {
        let standing = cluster.standing(place).await;
        assert_eq!(
            (standing.in_force, standing.to_come),
            (Some(1), None),
            "{}",
            NAMES[place]
        );
        assert!(change(&standing).is_none());
    }
    for (place, generation) in [(NORTE, 3), (SUR, 2)] {
        let done = cluster.publish(place, Scope::Region, 3).await;
        assert_eq!(
            (done.outcome, done.generation),
            (Outcome::InForce, Some(generation)),
            "{}",
            done.why
        );
    }
    cluster.mend();
    // A connection may have to be found dead first.
    let end = Instant::now() + TIMEOUT;
    while cluster.publish(NORTE, Scope::All, 4).await.outcome != Outcome::InForce {
        assert!(Instant::now() < end, "{:?}", cluster.log(NORTE));
    }
    cluster
        .until(SUR, "the policy of all", |s| {
            s.changes
                .iter()
                .any(|c| c.outcome == "in force" && c.all_regions.is_some() && c.generation > 2)
        })
        .await;
    assert_eq!(
        cluster
            .control(SUR)
            .files(cluster.standing(SUR).await.in_force.expect("one"))
            .await
            .expect("kept"),
        files(4)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn region_that_voted_waits_for_the_decision_and_applies_it_without_an_operator() {
    let mut cluster = Cluster::with_policy("voted", 1_500).await;
    // The prepare comes through; neither its answer nor any question for the outcome does.
    cluster.pass_to(SUR, Forwarding::Normal, Forwarding::Cut);
    cluster.pass_to(NORTE, Forwarding::Cut, Forwarding::Cut);
    let publishing = cluster.publishing(NORTE, Scope::All, 2);
    cluster.until(SUR, "vote", has_voted).await;
    let done = publishing.await.expect("it ends");
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(done.why, "not in force in time; no vote of region sur");
    let stays = |s: &Standing| s.in_force == Some(1) && s.to_come == Some(2) && has_voted(s);
    assert!(stays(&cluster.standing(SUR).await));
    // It can neither be left nor be followed by another change here.
    let rejection = cluster
        .refused(
            SUR,
            publish_request(files(3), cluster.standing(SUR).await.revision),
        )
        .await;
    assert_eq!(rejection.code(), rejection::Code::ChangePending);
    assert!(
        rejection.message.contains("waits for region norte"),
        "{}",
        rejection.message
    );
    let error = cluster
        .control(SUR)
        .abort("by hand")
        .await
        .expect_err("not its to end");
    assert!(
        error.contains("region norte decides how it ends"),
        "{error}"
    );
    // The other region goes on.
    let done = cluster.publish(NORTE, Scope::Region, 4).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.why
    );
    cluster.restart(SUR).await;
    assert!(stays(&cluster.standing(SUR).await), "it is on disk");
    cluster.mend();
    let standing = cluster
        .until(SUR, "decision", |s| s.to_come.is_none())
        .await;
    assert_eq!(standing.in_force, Some(1));
    assert_eq!(
        standing.changes.last().map(|c| c.outcome),
        Some("not in force")
    );
    let done = cluster.publish(SUR, Scope::Region, 5).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.why
    );
}

fn publish_request(files: HashMap<String, String>, revision: u64) -> request::Kind {
    request::Kind::Publish(wire::Publish { files, revision })
}

#[tokio::test(flavor = "multi_thread")]
async fn decision_made_during_a_partition_is_retried_until_it_is_acknowledged() {
    let mut cluster = cut_after_the_decision("commit").await;
    cluster.restart(SUR).await;
    cluster.restart(NORTE).await;
    let (norte, sur) = (cluster.standing(NORTE).await, cluster.standing(SUR).await);
    assert_eq!((norte.in_force, norte.to_come), (Some(2), None));
    assert_eq!((sur.in_force, sur.to_come), (Some(1), Some(2)));
    // Until the other region has it, no further change of all begins.
    let all = request::Kind::PublishAllRegions(wire::Publish {
        files: files(3),
        revision: norte.revision,
    });
    let rejection = cluster.refused(NORTE, all).await;
    assert_eq!(rejection.code(), rejection::Code::ChangePending);
    assert!(
        rejection.message.contains("waits for region sur"),
        "{}",
        rejection.message
    );
    cluster.mend();
    let sur = cluster
        .until(SUR, "decision", |s| s.to_come.is_none())
        .await;
    assert_eq!(sur.in_force, Some(2));
    assert_eq!(cluster.control(SUR).files(2).await.expect("kept"), files(2));
    cluster
        .until(NORTE, "acknowledgement", |s| change(s).is_none())
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn region_that_rejects_a_change_aborts_it_in_all_regions() {
    let cluster = Cluster::with_policy("refused", 10_000).await;
    // A proxy that has not told holds a change of this region up.
    cluster.lease(SUR, 1, 0).await;
    let publishing = cluster.publishing(SUR, Scope::Region, 2);
    cluster
        .until(SUR, "change of its own", |s| s.to_come == Some(2))
        .await;
    let done = cluster.publish(NORTE, Scope::All, 3).await;
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(
        done.why,
        "region sur refuses it: the change to generation 2 is under way there"
    );
    let revision = cluster.standing(SUR).await.revision;
    cluster.lease(SUR, 2, revision).await;
    assert_eq!(publishing.await.expect("it ends").outcome, Outcome::InForce);
    assert_eq!(cluster.standing(NORTE).await.in_force, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_for_another_region_are_rejected_and_change_nothing() {
    let cluster = Cluster::with_policy("messages", 10_000).await;
    let revision = cluster.standing(SUR).await.revision;
    let all = request::Kind::PublishAllRegions(wire::Publish {
        files: files(2),
        revision,
    });
    let rejection = cluster.refused(SUR, all).await;
    assert_eq!(rejection.code(), rejection::Code::NotCoordinator);
    assert_eq!(
        rejection.replicas,
        [cluster.regions[NORTE][0].between.address.to_string()]
    );
    rejects_lease_requests_for_another_region(&cluster).await;
    rejects_misdirected_or_wrongly_authenticated_messages(&cluster).await;
}

async fn rejects_lease_requests_for_another_region(cluster: &Cluster) {
    let sur: Region = "sur".parse().expect("a name");
    let misdirected = ask(1, 0, OnLeaseLoss::Reject).in_region(Some(&sur));
    let rejection = cluster
        .refused(NORTE, request::Kind::Lease(misdirected.clone()))
        .await;
    assert_eq!(rejection.code(), rejection::Code::OtherRegion);
    assert!(
        rejection.message.contains("\"sur\"") && rejection.message.contains("\"norte\""),
        "{}",
        rejection.message
    );
    let lent = cluster
        .client(SUR)
        .call_with_retry(&request::Kind::Lease(misdirected), TIMEOUT)
        .await;
    assert!(matches!(lent, Ok(reply::Kind::Lease(_))), "{lent:?}");
}

async fn rejects_misdirected_or_wrongly_authenticated_messages(cluster: &Cluster) {
    // A message between regions, authenticated as that of a proxy.
    let named = wire::ChangeRef {
        id: 9,
        coordinator: "norte".to_owned(),
        generation: 9,
    };
    let text = serde_json::to_string(&files(9)).expect("JSON");
    let prepare = wire::Prepare {
        change: Some(named),
        region: "sur".to_owned(),
        policy: text,
    };
    let rejection = cluster
        .refused(SUR, request::Kind::Prepare(prepare.clone()))
        .await;
    assert_eq!(rejection.code(), rejection::Code::Invalid);
    // One for another region than the one that it has come to, authenticated for its purpose.
    let secret = SharedSecret::read(&cluster.folder.path().join("secret")).expect("a secret");
    let norte = cluster.addresses(NORTE);
    let mut leader = Client::between_regions(norte, secret.clone(), Duration::from_secs(5));
    let error = leader
        .call(&request::Kind::Prepare(prepare.clone()))
        .await
        .expect_err("misdirected");
    assert!(
        error.to_string().contains("\"sur\"") && error.to_string().contains("\"norte\""),
        "{error}"
    );
    // And a request of a proxy, authenticated as a message between regions.
    let asked = leader
        .call(&request::Kind::Status(wire::StatusRequest {}))
        .await;
    assert!(
        matches!(asked, Err(ClientError::Rejected(rejection)) if rejection.code() == rejection::Code::Invalid)
    );
    // A change that the coordinator does not know begins, and the coordinator's outcome aborts it.
    let sur = cluster.addresses(SUR);
    let mut leader = Client::between_regions(sur, secret, Duration::from_secs(5));
    assert!(matches!(
        leader.call(&request::Kind::Prepare(prepare)).await,
        Ok(reply::Kind::Vote(_))
    ));
    let standing = cluster
        .until(SUR, "end", |s| s.changes.len() == 2 && s.to_come.is_none())
        .await;
    assert_eq!(
        (standing.in_force, standing.changes[1].outcome),
        (Some(1), "not in force")
    );
}

/// Publishes a change of all that the other region has voted for, and that waits for a proxy of the coordinator's region
/// alone. What comes of it, and the revision of the transition in the coordinator.
async fn waits_for_a_proxy(cluster: &Cluster) -> (JoinHandle<Done>, u64) {
    cluster.lease(NORTE, 1, 0).await;
    let publishing = cluster.publishing(NORTE, Scope::All, 2);
    let prepared =
        |s: &Standing| change(s).is_some_and(|c| c.participants.iter().all(|p| p.prepared));
    let middle = cluster
        .until(NORTE, "vote of the other region", prepared)
        .await;
    (publishing, middle.revision)
}

/// The change is in force in the coordinator, and the participant has voted and does not know it: the links are cut.
async fn cut_after_the_decision(name: &str) -> Cluster {
    let cluster = Cluster::with_policy(name, 10_000).await;
    let (publishing, middle) = waits_for_a_proxy(&cluster).await;
    cluster.cut();
    cluster.lease(NORTE, 2, middle).await;
    let done = publishing.await.expect("it ends");
    assert_eq!(done.outcome, Outcome::InForce, "{}", done.why);
    assert!(has_voted(&cluster.standing(SUR).await));
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn new_leaders_finish_a_change_whose_leaders_died_between_its_steps() {
    let mut cluster = Cluster::of_replicas("leaders", 3, 10_000).await;
    let (publishing, middle) = waits_for_a_proxy(&cluster).await;
    cluster.kill_leader(NORTE).await;
    cluster.kill_leader(SUR).await;
    assert!(
        has_voted(&cluster.standing(SUR).await),
        "the next leader knows of the vote"
    );
    cluster.lease(NORTE, 2, middle).await;
    let done = publishing.await.expect("it ends");
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(2)),
        "{}",
        done.why
    );
    cluster
        .until(SUR, "decision", |s| s.in_force == Some(2))
        .await;
    cluster
        .until(NORTE, "acknowledgement", |s| change(s).is_none())
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_is_acknowledged_for_a_lost_region_once_it_is_decommissioned() {
    let mut cluster = cut_after_the_decision("lost-sur").await;
    cluster.kill(SUR).await;
    cluster.remove_other(NORTE);
    cluster.restart(NORTE).await;
    let acknowledged =
        |line: &String| line.contains("region acknowledged commit") && line.contains("region=sur");
    let end = Instant::now() + TIMEOUT;
    while !cluster.log(NORTE).iter().any(acknowledged) {
        assert!(Instant::now() < end, "{:?}", cluster.log(NORTE));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let standing = cluster.standing(NORTE).await;
    assert_eq!(
        (standing.in_force, standing.region.is_none()),
        (Some(2), true)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn change_of_a_lost_coordinator_is_aborted_by_an_operator() {
    let mut cluster = cut_after_the_decision("lost-norte").await;
    cluster
        .control(SUR)
        .abort("it is down")
        .await
        .expect_err("it may come back");
    cluster.kill(NORTE).await;
    cluster.remove_other(SUR);
    cluster.restart(SUR).await;
    assert_eq!(
        cluster.standing(SUR).await.to_come,
        Some(2),
        "nothing ends by itself"
    );
    assert_eq!(cluster.control(SUR).abort("it is lost").await, Ok(2));
    let standing = cluster.standing(SUR).await;
    assert_eq!((standing.in_force, standing.to_come), (Some(1), None));
    let done = cluster.publish(SUR, Scope::Region, 3).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.why
    );
}

/// A store that the last version without regions has written: three policies, the third in force.
const STORE_WITHOUT_REGIONS: &[u8] = include_bytes!("fixtures/store-without-regions.zst");
const STORE_BYTES_MOST: usize = 1 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn store_of_a_version_without_regions_continues_as_that_of_a_region() {
    let folder = Folder::new("regions-older").expect("a folder");
    let store = zstd::bulk::decompress(STORE_WITHOUT_REGIONS, STORE_BYTES_MOST).expect("a store");
    std::fs::write(folder.path().join("store-norte-1"), store).expect("a file");
    let cluster = Cluster::start(folder, 1, 10_000).await;
    let standing = cluster.standing(NORTE).await;
    assert_eq!((standing.in_force, standing.changes.len()), (Some(3), 3));
    assert!(standing
        .changes
        .iter()
        .all(|change| change.all_regions.is_none()));
    let done = cluster.publish(SUR, Scope::All, 1).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(4)),
        "{}",
        done.why
    );
    cluster
        .until(SUR, "the first policy", |s| s.in_force == Some(1))
        .await;
    assert_eq!(cluster.control(SUR).files(1).await.expect("kept"), files(1));
}
