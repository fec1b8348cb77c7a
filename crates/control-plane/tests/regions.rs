//! Two regions whose replicas run as processes: a cross-region change comes into force in both regions or in none, even if
//! the links between them are cut at any of its steps.

use badgerramp_config_tool::fleet::{
    ControlArgs, ControlClient, FleetStatus, Outcome, PublishResult, Scope,
};
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
/// Longest time that a test waits for a state or for the reply to a request.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a state that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Index of the coordinating region.
const NORTE: usize = 0;
/// Index of the participant.
const SUR: usize = 1;
const REGION_NAMES: [&str; 2] = ["norte", "sur"];

/// A replica of a region.
struct Replica {
    process: Process,
    /// Announces the address of the process to its links.
    address: watch::Sender<Option<SocketAddr>>,
    /// Link for proxies, publishers and the other replicas of its region.
    local_link: Link,
    /// Link for the other region.
    region_link: Link,
}

/// Links to a replica that has not started yet.
struct ReplicaLinks {
    address: watch::Sender<Option<SocketAddr>>,
    local_link: Link,
    region_link: Link,
}

impl ReplicaLinks {
    async fn new() -> ReplicaLinks {
        let (address, target) = watch::channel(None);
        let local_link = Link::to(target.clone()).await.expect("a link");
        let region_link = Link::to(target).await.expect("a link");
        ReplicaLinks {
            address,
            local_link,
            region_link,
        }
    }
}

/// Two regions with their replicas.
struct Cluster {
    folder: Folder,
    /// The replicas of each region, by index of the region.
    regions: Vec<Vec<Replica>>,
}

/// Returns the settings file of a replica, given the addresses of the replicas of its own and of the other region.
fn settings(
    region_index: usize,
    number: usize,
    (own, other): (&[SocketAddr], &[SocketAddr]),
    wait_ms: u64,
) -> String {
    let (name, other_name) = (REGION_NAMES[region_index], REGION_NAMES[1 - region_index]);
    let own: Vec<String> = own
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{} = \"{address}\"", index + 1))
        .collect();
    let other: Vec<String> = other
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    format!(
        "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{name}-{number}\"\n\
         secret = \"secret\"\nlease_ms = 300\nwait_ms = 20000\nelection_ms = 300\nregion = \"{name}\"\n\
         regions_wait_ms = {wait_ms}\n[regions.{other_name}]\nreplicas = [{}]\n",
        own.join(", "),
        other.join(", ")
    )
}

fn file_name(region_index: usize, number: usize) -> String {
    format!("{}-{number}", REGION_NAMES[region_index])
}

/// Writes the settings file of a replica, creates its store if it has none, and returns the command that starts it.
fn plan(folder: &Folder, name: &str, text: &str) -> ProcessSpec {
    let file = folder
        .write(&format!("{name}.toml"), text, false)
        .expect("a file");
    if !folder.path().join(format!("store-{name}")).exists() {
        let created = std::process::Command::new(CONTROL)
            .arg("create")
            .arg(&file)
            .output();
        assert!(created.expect("the command runs").status.success());
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
    /// Starts both regions with this number of replicas each, on the stores in this folder. A cross-region change that
    /// lacks a vote is aborted after `wait_ms`.
    async fn start(folder: Folder, count: usize, wait_ms: u64) -> Cluster {
        folder
            .write("secret", "a secret of the tests", true)
            .expect("a file");
        let mut links = Vec::new();
        for _ in REGION_NAMES {
            let mut region = Vec::new();
            for _ in 0..count {
                region.push(ReplicaLinks::new().await);
            }
            links.push(region);
        }
        let local = |region: &Vec<ReplicaLinks>| {
            region
                .iter()
                .map(|links| links.local_link.address)
                .collect::<Vec<_>>()
        };
        let remote = |region: &Vec<ReplicaLinks>| {
            region
                .iter()
                .map(|links| links.region_link.address)
                .collect::<Vec<_>>()
        };
        let local_addresses: Vec<_> = links.iter().map(local).collect();
        let region_addresses: Vec<_> = links.iter().map(remote).collect();
        let mut regions = Vec::new();
        for (index, region) in links.into_iter().enumerate() {
            let mut replicas = Vec::new();
            for (
                number,
                ReplicaLinks {
                    address,
                    local_link,
                    region_link,
                },
            ) in (1..).zip(region)
            {
                let text = settings(
                    index,
                    number,
                    (&local_addresses[index], &region_addresses[1 - index]),
                    wait_ms,
                );
                let plan = plan(&folder, &file_name(index, number), &text);
                let mut process = Process::start(plan).await.expect("the replica starts");
                address.send_replace(Some(
                    process.listen_address().await.expect("the replica listens"),
                ));
                replicas.push(Replica {
                    process,
                    address,
                    local_link,
                    region_link,
                });
            }
            regions.push(replicas);
        }
        Cluster { folder, regions }
    }

    /// Starts both regions with one replica each and with a first policy in force.
    async fn with_policy(name: &str, wait_ms: u64) -> Cluster {
        Cluster::with_replicas(name, 1, wait_ms).await
    }

    /// Starts both regions as [`Cluster::with_policy`] does, but with this number of replicas each.
    async fn with_replicas(name: &str, count: usize, wait_ms: u64) -> Cluster {
        let folder = Folder::new(&format!("regions-{name}")).expect("a folder");
        let cluster = Cluster::start(folder, count, wait_ms).await;
        let done = cluster.publish(NORTE, Scope::All, 1).await;
        assert_eq!(done.outcome, Outcome::InForce, "{}", done.reason);
        for region_index in [NORTE, SUR] {
            cluster
                .wait_until(region_index, "the first policy", |status| {
                    status.in_force == Some(1) && status.pending_generation.is_none()
                })
                .await;
        }
        cluster
            .wait_until(NORTE, "acknowledgement of the first policy", |status| {
                change(status).is_none()
            })
            .await;
        cluster
    }

    fn addresses(&self, region_index: usize) -> Vec<SocketAddr> {
        self.regions[region_index]
            .iter()
            .map(|replica| replica.local_link.address)
            .collect()
    }

    /// Returns the log lines of a region's replicas.
    fn log(&self, region_index: usize) -> Vec<String> {
        self.regions[region_index]
            .iter()
            .flat_map(|replica| replica.process.log())
            .map(|(_, line)| line)
            .collect()
    }

    fn control(&self, region_index: usize) -> ControlClient {
        let secret = self.folder.path().join("secret");
        let control = self.addresses(region_index);
        ControlClient::new(&ControlArgs {
            control,
            secret,
            timeout: TIMEOUT.as_secs(),
        })
        .expect("a secret")
    }

    fn client(&self, region_index: usize) -> Client {
        let secret = SharedSecret::read(&self.folder.path().join("secret")).expect("a secret");
        Client::new(self.addresses(region_index), secret, Duration::from_secs(5))
    }

    async fn status(&self, region_index: usize) -> FleetStatus {
        self.control(region_index).status().await.expect("a status")
    }

    /// Waits until the status of a region satisfies a condition, and returns that status.
    async fn wait_until(
        &self,
        region_index: usize,
        awaited: &str,
        condition: impl Fn(&FleetStatus) -> bool,
    ) -> FleetStatus {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let status = self.status(region_index).await;
            if condition(&status) {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "no {awaited}: {status:?} {:?}",
                self.log(region_index)
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Publishes as the tool does, through the control plane of this region.
    async fn publish(&self, region_index: usize, scope: Scope, number: u64) -> PublishResult {
        publish(self.control(region_index), scope, number).await
    }

    /// Publishes in a background task.
    fn spawn_publish(
        &self,
        region_index: usize,
        scope: Scope,
        number: u64,
    ) -> JoinHandle<PublishResult> {
        tokio::spawn(publish(self.control(region_index), scope, number))
    }

    /// Cuts or restores the links from the other region to this one: requests (`forth`) and replies (`back`).
    fn set_links_to(&self, region_index: usize, forth: Forwarding, back: Forwarding) {
        for replica in &self.regions[region_index] {
            replica
                .region_link
                .set(|state| (state.forward, state.backward) = (forth, back));
        }
    }

    /// Cuts all links between the regions.
    fn partition(&self) {
        [NORTE, SUR].into_iter().for_each(|region_index| {
            self.set_links_to(region_index, Forwarding::Cut, Forwarding::Cut);
        });
    }

    /// Restores all links between the regions.
    fn heal(&self) {
        [NORTE, SUR].into_iter().for_each(|region_index| {
            self.set_links_to(region_index, Forwarding::Normal, Forwarding::Normal);
        });
    }

    /// Removes the other region from the settings of this region's only replica, with effect from its next restart.
    fn remove_other_region(&self, region_index: usize) {
        let own = self.addresses(region_index);
        let text = settings(region_index, 1, (&own, &own), 1_000);
        let (without_regions, _) = text
            .split_once("region = ")
            .expect("the keys for regions come last");
        self.folder
            .write(
                &format!("{}.toml", file_name(region_index, 1)),
                without_regions,
                false,
            )
            .expect("a file");
    }

    /// Kills the only replica of a region.
    async fn kill(&mut self, region_index: usize) {
        self.regions[region_index][0].process.kill().await;
    }

    /// Kills the only replica of a region and restarts it from its store.
    async fn restart(&mut self, region_index: usize) {
        self.kill(region_index).await;
        let replica = &mut self.regions[region_index][0];
        replica.process.spawn().expect("the replica starts");
        let address = replica
            .process
            .listen_address()
            .await
            .expect("the replica listens");
        replica.address.send_replace(Some(address));
    }

    /// Kills the replica that leads a region.
    async fn kill_leader(&mut self, region_index: usize) {
        let leader = self.status(region_index).await.leader;
        let replicas = &mut self.regions[region_index];
        let is_leader = |replica: &&mut Replica| replica.local_link.address.to_string() == leader;
        replicas
            .iter_mut()
            .find(is_leader)
            .expect("the leader is one of the replicas")
            .process
            .kill()
            .await;
    }

    /// Requests a lease for a proxy that keeps serving without one.
    async fn lease(
        &self,
        region_index: usize,
        sequence: u64,
        active_revision: u64,
    ) -> wire::LeaseGrant {
        let request =
            request::Kind::Lease(lease_request(sequence, active_revision, OnLeaseLoss::Keep));
        match self
            .client(region_index)
            .call_with_retry(&request, TIMEOUT)
            .await
        {
            Ok(reply::Kind::Lease(grant)) => grant,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a request that the region has to reject, and returns the rejection.
    async fn expect_rejection(
        &self,
        region_index: usize,
        request: request::Kind,
    ) -> wire::Rejection {
        match self
            .client(region_index)
            .call_with_retry(&request, TIMEOUT)
            .await
        {
            Err(ClientError::Rejected(rejection)) => rejection,
            other => panic!("{other:?}"),
        }
    }
}

async fn publish(mut control: ControlClient, scope: Scope, number: u64) -> PublishResult {
    if scope == Scope::All {
        assert_eq!(
            control.use_coordinator().await.expect("a coordinator"),
            "norte"
        );
    }
    let revision = control.status().await.expect("a status").revision;
    control
        .publish_for(scope, &files(number), revision, |_| {})
        .await
}

fn files(number: u64) -> HashMap<String, String> {
    HashMap::from([("caja".to_owned(), format!("{POLICY}\n# {number}\n"))])
}

fn lease_request(
    sequence: u64,
    active_revision: u64,
    on_lease_loss: OnLeaseLoss,
) -> wire::LeaseRequest {
    let identity = Identity {
        name: "proxy".to_owned(),
        incarnation: 7,
    };
    let request = LeaseRequest {
        identity,
        sequence,
        active_revision,
        loaded_generations: BTreeSet::new(),
        rejected_generation: None,
        on_lease_loss,
    };
    wire::LeaseRequest::new(request, "caja")
}

/// Returns the cross-region change in the status of a region.
fn change(status: &FleetStatus) -> Option<&badgerramp_config_tool::fleet::AllRegionsChange> {
    status.region.as_ref()?.change.as_ref()
}

fn has_voted(status: &FleetStatus) -> bool {
    change(status).is_some_and(|change| change.voted)
}

#[tokio::test(flavor = "multi_thread")]
async fn cross_region_change_commits_in_both_regions_and_local_change_in_one() {
    let cluster = Cluster::with_policy("both", 10_000).await;
    // Publishes through the region that does not coordinate.
    let done = cluster.publish(SUR, Scope::All, 2).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(2)),
        "{}",
        done.reason
    );
    cluster
        .wait_until(SUR, "second policy", |status| status.in_force == Some(2))
        .await;
    cluster
        .wait_until(NORTE, "acknowledgement", |status| change(status).is_none())
        .await;
    for region_index in [NORTE, SUR] {
        assert_eq!(
            cluster
                .control(region_index)
                .files(2)
                .await
                .expect("the files are retained"),
            files(2)
        );
    }
    let done = cluster.publish(SUR, Scope::Region, 3).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.reason
    );
    assert_eq!(cluster.status(SUR).await.in_force, Some(3));
    assert_eq!(cluster.status(NORTE).await.in_force, Some(2));
    let done = cluster.publish(NORTE, Scope::Region, 4).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.reason
    );
    // Generations are numbered per region; a cross-region change has the same identifier in both regions.
    let (norte, sur) = (cluster.status(NORTE).await, cluster.status(SUR).await);
    let ids = |status: &FleetStatus| {
        status
            .changes
            .iter()
            .map(|change| change.all_regions.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(&norte), ids(&sur));
    assert!(matches!(&ids(&norte)[..], [Some(first), Some(second), None] if first != second));
    let done = cluster.publish(NORTE, Scope::All, 5).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(4)),
        "{}",
        done.reason
    );
    cluster
        .wait_until(SUR, "fourth policy", |status| status.in_force == Some(4))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_before_the_vote_aborts_the_change_and_allows_local_changes() {
    let cluster = Cluster::with_policy("cut", 1_000).await;
    cluster.partition();
    let done = cluster.publish(NORTE, Scope::All, 2).await;
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(done.reason, "timed out without the vote of region sur");
    for region_index in [NORTE, SUR] {
        let status = cluster.status(region_index).await;
        assert_eq!(
            (status.in_force, status.pending_generation),
            (Some(1), None),
            "{}",
            REGION_NAMES[region_index]
        );
        assert!(change(&status).is_none());
    }
    for (region_index, generation) in [(NORTE, 3), (SUR, 2)] {
        let done = cluster.publish(region_index, Scope::Region, 3).await;
        assert_eq!(
            (done.outcome, done.generation),
            (Outcome::InForce, Some(generation)),
            "{}",
            done.reason
        );
    }
    cluster.heal();
    // A change may fail until broken connections between the regions have been detected.
    let deadline = Instant::now() + TIMEOUT;
    while cluster.publish(NORTE, Scope::All, 4).await.outcome != Outcome::InForce {
        assert!(Instant::now() < deadline, "{:?}", cluster.log(NORTE));
    }
    cluster
        .wait_until(SUR, "the cross-region policy", |status| {
            status.changes.iter().any(|change| {
                change.outcome == "in force"
                    && change.all_regions.is_some()
                    && change.generation > 2
            })
        })
        .await;
    assert_eq!(
        cluster
            .control(SUR)
            .files(cluster.status(SUR).await.in_force.expect("one"))
            .await
            .expect("the files are retained"),
        files(4)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn region_that_voted_waits_for_the_decision_and_applies_it_without_an_operator() {
    let mut cluster = Cluster::with_policy("voted", 1_500).await;
    // The prepare arrives, but neither its reply nor any request for the outcome does.
    cluster.set_links_to(SUR, Forwarding::Normal, Forwarding::Cut);
    cluster.set_links_to(NORTE, Forwarding::Cut, Forwarding::Cut);
    let publish_task = cluster.spawn_publish(NORTE, Scope::All, 2);
    cluster.wait_until(SUR, "vote", has_voted).await;
    let done = publish_task.await.expect("the publish task ends");
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(done.reason, "timed out without the vote of region sur");
    let is_pending = |status: &FleetStatus| {
        status.in_force == Some(1) && status.pending_generation == Some(2) && has_voted(status)
    };
    assert!(is_pending(&cluster.status(SUR).await));
    // The participant can neither abort the change nor start another one.
    let rejection = cluster
        .expect_rejection(
            SUR,
            publish_request(files(3), cluster.status(SUR).await.revision),
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
        .abort("an operator")
        .await
        .expect_err("a participant that has voted cannot abort");
    assert!(
        error.contains("only the coordinating region norte can end it"),
        "{error}"
    );
    // The coordinating region can publish a local change.
    let done = cluster.publish(NORTE, Scope::Region, 4).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.reason
    );
    cluster.restart(SUR).await;
    assert!(is_pending(&cluster.status(SUR).await), "the vote is stored");
    cluster.heal();
    let status = cluster
        .wait_until(SUR, "decision", |status| {
            status.pending_generation.is_none()
        })
        .await;
    assert_eq!(status.in_force, Some(1));
    assert_eq!(
        status.changes.last().map(|change| change.outcome),
        Some("not in force")
    );
    let done = cluster.publish(SUR, Scope::Region, 5).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.reason
    );
}

fn publish_request(files: HashMap<String, String>, revision: u64) -> request::Kind {
    request::Kind::Publish(wire::Publish { files, revision })
}

#[tokio::test(flavor = "multi_thread")]
async fn decision_made_during_a_partition_is_retried_until_it_is_acknowledged() {
    let mut cluster = partitioned_after_the_decision("commit").await;
    cluster.restart(SUR).await;
    cluster.restart(NORTE).await;
    let (norte, sur) = (cluster.status(NORTE).await, cluster.status(SUR).await);
    assert_eq!((norte.in_force, norte.pending_generation), (Some(2), None));
    assert_eq!((sur.in_force, sur.pending_generation), (Some(1), Some(2)));
    // No further cross-region change can start until the other region has acknowledged the commit.
    let publish = request::Kind::PublishAllRegions(wire::Publish {
        files: files(3),
        revision: norte.revision,
    });
    let rejection = cluster.expect_rejection(NORTE, publish).await;
    assert_eq!(rejection.code(), rejection::Code::ChangePending);
    assert!(
        rejection.message.contains("waits for region sur"),
        "{}",
        rejection.message
    );
    cluster.heal();
    let sur = cluster
        .wait_until(SUR, "decision", |status| {
            status.pending_generation.is_none()
        })
        .await;
    assert_eq!(sur.in_force, Some(2));
    assert_eq!(
        cluster
            .control(SUR)
            .files(2)
            .await
            .expect("the files are retained"),
        files(2)
    );
    cluster
        .wait_until(NORTE, "acknowledgement", |status| change(status).is_none())
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn region_that_rejects_a_change_aborts_it_in_all_regions() {
    let cluster = Cluster::with_policy("refused", 10_000).await;
    // A proxy that has not confirmed the transition blocks a local change of this region.
    cluster.lease(SUR, 1, 0).await;
    let publish_task = cluster.spawn_publish(SUR, Scope::Region, 2);
    cluster
        .wait_until(SUR, "local change", |status| {
            status.pending_generation == Some(2)
        })
        .await;
    let done = cluster.publish(NORTE, Scope::All, 3).await;
    assert_eq!(done.outcome, Outcome::NotInForce);
    assert_eq!(
        done.reason,
        "region sur rejected the change: the change to generation 2 is pending there"
    );
    let revision = cluster.status(SUR).await.revision;
    cluster.lease(SUR, 2, revision).await;
    assert_eq!(
        publish_task.await.expect("the publish task ends").outcome,
        Outcome::InForce
    );
    assert_eq!(cluster.status(NORTE).await.in_force, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_for_another_region_are_rejected_and_change_nothing() {
    let cluster = Cluster::with_policy("messages", 10_000).await;
    let revision = cluster.status(SUR).await.revision;
    let publish = request::Kind::PublishAllRegions(wire::Publish {
        files: files(2),
        revision,
    });
    let rejection = cluster.expect_rejection(SUR, publish).await;
    assert_eq!(rejection.code(), rejection::Code::NotCoordinator);
    assert_eq!(
        rejection.replicas,
        [cluster.regions[NORTE][0].region_link.address.to_string()]
    );
    rejects_lease_requests_for_another_region(&cluster).await;
    rejects_misdirected_or_wrongly_authenticated_messages(&cluster).await;
}

async fn rejects_lease_requests_for_another_region(cluster: &Cluster) {
    let sur: Region = "sur".parse().expect("a valid region name");
    let misdirected = lease_request(1, 0, OnLeaseLoss::Reject).in_region(Some(&sur));
    let rejection = cluster
        .expect_rejection(NORTE, request::Kind::Lease(misdirected.clone()))
        .await;
    assert_eq!(rejection.code(), rejection::Code::OtherRegion);
    assert!(
        rejection.message.contains("\"sur\"") && rejection.message.contains("\"norte\""),
        "{}",
        rejection.message
    );
    let granted = cluster
        .client(SUR)
        .call_with_retry(&request::Kind::Lease(misdirected), TIMEOUT)
        .await;
    assert!(matches!(granted, Ok(reply::Kind::Lease(_))), "{granted:?}");
}

async fn rejects_misdirected_or_wrongly_authenticated_messages(cluster: &Cluster) {
    // Sends a cross-region request that is authenticated as a proxy's request.
    let change = wire::ChangeRef {
        id: 9,
        coordinator: "norte".to_owned(),
        generation: 9,
    };
    let text = serde_json::to_string(&files(9)).expect("JSON");
    let prepare = wire::Prepare {
        change: Some(change),
        region: "sur".to_owned(),
        policy: text,
    };
    let rejection = cluster
        .expect_rejection(SUR, request::Kind::Prepare(prepare.clone()))
        .await;
    assert_eq!(rejection.code(), rejection::Code::Invalid);
    // Sends a correctly authenticated cross-region request to the wrong region.
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
    // Sends a proxy's request that is authenticated as a cross-region request.
    let reply = leader
        .call(&request::Kind::Status(wire::StatusRequest {}))
        .await;
    assert!(
        matches!(reply, Err(ClientError::Rejected(rejection)) if rejection.code() == rejection::Code::Invalid)
    );
    // A change that the coordinator does not know starts in the participant, and the coordinator's reply to the outcome
    // request aborts it.
    let sur = cluster.addresses(SUR);
    let mut leader = Client::between_regions(sur, secret, Duration::from_secs(5));
    assert!(matches!(
        leader.call(&request::Kind::Prepare(prepare)).await,
        Ok(reply::Kind::Vote(_))
    ));
    let status = cluster
        .wait_until(SUR, "aborted change", |status| {
            status.changes.len() == 2 && status.pending_generation.is_none()
        })
        .await;
    assert_eq!(
        (status.in_force, status.changes[1].outcome),
        (Some(1), "not in force")
    );
}

/// Publishes a cross-region change that only waits for a proxy of the coordinating region: the other region has voted.
/// Returns the publish task and the revision of the coordinator's transition.
async fn publish_blocked_by_a_proxy(cluster: &Cluster) -> (JoinHandle<PublishResult>, u64) {
    cluster.lease(NORTE, 1, 0).await;
    let publish_task = cluster.spawn_publish(NORTE, Scope::All, 2);
    let has_all_votes = |status: &FleetStatus| {
        change(status).is_some_and(|change| {
            change
                .participants
                .iter()
                .all(|participant| participant.prepared)
        })
    };
    let in_transition = cluster
        .wait_until(NORTE, "vote of the other region", has_all_votes)
        .await;
    (publish_task, in_transition.revision)
}

/// Returns a cluster whose links are cut after the coordinator has committed a change: the participant has voted and does
/// not know the decision.
async fn partitioned_after_the_decision(name: &str) -> Cluster {
    let cluster = Cluster::with_policy(name, 10_000).await;
    let (publish_task, transition_revision) = publish_blocked_by_a_proxy(&cluster).await;
    cluster.partition();
    cluster.lease(NORTE, 2, transition_revision).await;
    let done = publish_task.await.expect("the publish task ends");
    assert_eq!(done.outcome, Outcome::InForce, "{}", done.reason);
    assert!(has_voted(&cluster.status(SUR).await));
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn new_leaders_complete_a_change_whose_leaders_were_killed() {
    let mut cluster = Cluster::with_replicas("leaders", 3, 10_000).await;
    let (publish_task, transition_revision) = publish_blocked_by_a_proxy(&cluster).await;
    cluster.kill_leader(NORTE).await;
    cluster.kill_leader(SUR).await;
    assert!(
        has_voted(&cluster.status(SUR).await),
        "the new leader has the vote in its log"
    );
    cluster.lease(NORTE, 2, transition_revision).await;
    let done = publish_task.await.expect("the publish task ends");
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(2)),
        "{}",
        done.reason
    );
    cluster
        .wait_until(SUR, "decision", |status| status.in_force == Some(2))
        .await;
    cluster
        .wait_until(NORTE, "acknowledgement", |status| change(status).is_none())
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_is_acknowledged_for_a_lost_region_once_it_is_decommissioned() {
    let mut cluster = partitioned_after_the_decision("lost-sur").await;
    cluster.kill(SUR).await;
    cluster.remove_other_region(NORTE);
    cluster.restart(NORTE).await;
    let is_acknowledged =
        |line: &String| line.contains("region acknowledged commit") && line.contains("region=sur");
    let deadline = Instant::now() + TIMEOUT;
    while !cluster.log(NORTE).iter().any(is_acknowledged) {
        assert!(Instant::now() < deadline, "{:?}", cluster.log(NORTE));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let status = cluster.status(NORTE).await;
    assert_eq!((status.in_force, status.region.is_none()), (Some(2), true));
}

#[tokio::test(flavor = "multi_thread")]
async fn change_of_a_lost_coordinator_is_aborted_by_an_operator() {
    let mut cluster = partitioned_after_the_decision("lost-norte").await;
    cluster
        .control(SUR)
        .abort("the coordinator is down")
        .await
        .expect_err("the coordinator may recover");
    cluster.kill(NORTE).await;
    cluster.remove_other_region(SUR);
    cluster.restart(SUR).await;
    assert_eq!(
        cluster.status(SUR).await.pending_generation,
        Some(2),
        "the change stays pending until an operator aborts it"
    );
    assert_eq!(
        cluster.control(SUR).abort("the coordinator is lost").await,
        Ok(2)
    );
    let status = cluster.status(SUR).await;
    assert_eq!(
        (status.in_force, status.pending_generation),
        (Some(1), None)
    );
    let done = cluster.publish(SUR, Scope::Region, 3).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(3)),
        "{}",
        done.reason
    );
}

/// Compressed store written by the last version without regions. It has three policies, of which the third is in force.
const STORE_WITHOUT_REGIONS: &[u8] = include_bytes!("fixtures/store-without-regions.zst");
/// Maximum size of the decompressed store, in bytes.
const MAX_STORE_BYTES: usize = 1 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn store_of_a_version_without_regions_can_be_used_by_a_region() {
    let folder = Folder::new("regions-older").expect("a folder");
    let store = zstd::bulk::decompress(STORE_WITHOUT_REGIONS, MAX_STORE_BYTES).expect("a store");
    std::fs::write(folder.path().join("store-norte-1"), store).expect("a file");
    let cluster = Cluster::start(folder, 1, 10_000).await;
    let status = cluster.status(NORTE).await;
    assert_eq!((status.in_force, status.changes.len()), (Some(3), 3));
    assert!(status
        .changes
        .iter()
        .all(|change| change.all_regions.is_none()));
    let done = cluster.publish(SUR, Scope::All, 1).await;
    assert_eq!(
        (done.outcome, done.generation),
        (Outcome::InForce, Some(4)),
        "{}",
        done.reason
    );
    cluster
        .wait_until(SUR, "the first policy", |status| status.in_force == Some(1))
        .await;
    assert_eq!(
        cluster
            .control(SUR)
            .files(1)
            .await
            .expect("the files are retained"),
        files(1)
    );
}
