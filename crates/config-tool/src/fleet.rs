//! Publishes, inspects and rolls back the policy of a fleet through its control plane. Only the control plane decides
//! which policy is in force.

use crate::commands;
use crate::finding::Report;
use badgerramp_control_protocol::wire::{
    self, change::Status as ChangeStatus, rejection, reply, request,
};
use badgerramp_control_protocol::{Client, ClientError, SharedSecret, UnexpectedReply};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often the status of a change under way is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Timeout of one request to the control plane.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a change that has not ended.
const UNDER_WAY: &str = "under way";

/// How to reach the control plane.
#[derive(Debug, clap::Args)]
pub struct ControlArgs {
    /// A replica of the control plane; repeat the option or separate several with commas.
    #[arg(long, required = true, value_delimiter = ',', value_name = "ADDR")]
    pub control: Vec<SocketAddr>,
    /// The file that contains the fleet's shared secret.
    #[arg(long, value_name = "FILE")]
    pub secret: PathBuf,
    /// How many seconds to wait for the control plane, or for the outcome of a change.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub timeout: u64,
}

/// The regions that a change applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Scope {
    /// The region of the given replicas; all proxies if the control plane has no regions.
    #[default]
    Region,
    /// All regions: the change is in force in each of them or in none.
    All,
}

/// The outcome of a change, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every proxy that admits calls admits them under the change.
    InForce,
    /// No call was ever admitted under the change, and none will be.
    NotInForce,
    /// The control plane was unreachable or has not ended the change yet. The change will become one of the other two
    /// without further requests.
    NotKnown,
}

/// A proxy or region that holds up a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Blocker {
    /// The proxy; `None` if any proxy or a region holds up the change.
    pub proxy: Option<String>,
    /// The region, if it is not a proxy that holds up the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Why the change has to wait.
    #[serde(rename = "why")]
    pub reason: String,
    /// The longest remaining wait in milliseconds; `None` if it only ends when the blocker responds, is evicted, or the
    /// change is aborted.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// The result of publishing a policy.
#[derive(Clone, Debug, Serialize)]
pub struct PublishResult {
    /// The outcome of the change.
    pub outcome: Outcome,
    /// The generation of the change, if one was assigned.
    pub generation: Option<u64>,
    /// Why the change is not in force, or its outcome is not known.
    #[serde(rename = "why")]
    pub reason: String,
    /// The blockers of the change when its status was last polled.
    #[serde(rename = "held_up")]
    pub blockers: Vec<Blocker>,
    /// Time from the first request to the end of the change, in milliseconds.
    #[serde(rename = "took_ms")]
    pub elapsed_ms: u64,
}

/// A proxy that the control plane knows.
#[derive(Clone, Debug, Serialize)]
pub struct Proxy {
    /// The name of the proxy.
    pub name: String,
    /// The incarnation of the proxy, in hexadecimal.
    pub incarnation: String,
    /// The revision that it last reported as active; 0 if it has not reported any.
    #[serde(rename = "acting")]
    pub active_revision: u64,
    /// What it does when it loses its lease.
    #[serde(rename = "cut_off")]
    pub on_lease_loss: &'static str,
}

/// A change in the control plane's history.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The generation of the change.
    pub generation: u64,
    /// The generation that was in force before.
    #[serde(rename = "from")]
    pub previous_generation: u64,
    /// The outcome of the change.
    pub outcome: &'static str,
    /// Why it is not in force.
    #[serde(rename = "why")]
    pub reason: String,
    /// The identifier of the change of all regions that it belongs to, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub all_regions: Option<String>,
}

/// The region of the queried control plane.
#[derive(Clone, Debug, Serialize)]
pub struct RegionStatus {
    /// The name of the region.
    pub name: String,
    /// The region that coordinates changes of all regions.
    pub coordinator: String,
    /// The change of all regions that is under way, or in force but not acknowledged by all regions.
    pub change: Option<AllRegionsChange>,
}

/// The state of a change of all regions in the queried region.
#[derive(Clone, Debug, Serialize)]
pub struct AllRegionsChange {
    /// The identifier of the change, which is the same in all regions.
    pub id: String,
    /// The generation of the change in the queried region.
    pub generation: u64,
    /// The region that coordinates it.
    pub coordinator: String,
    /// Whether the queried region has voted, so that only the coordinator can end the change.
    pub voted: bool,
    /// The other regions, if the queried region is the coordinator.
    pub participants: Vec<Participant>,
}

/// Another region in a change of all regions.
#[derive(Clone, Debug, Serialize)]
pub struct Participant {
    /// The name of the region.
    pub region: String,
    /// Whether it has voted that it is prepared.
    pub prepared: bool,
    /// Whether it has logged the commit.
    pub acknowledged: bool,
}

/// The status of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// The address of the leader.
    pub leader: String,
    /// The generation in force; `None` before the first policy.
    pub in_force: Option<u64>,
    /// The generation of the change under way.
    #[serde(rename = "to_come")]
    pub pending_generation: Option<u64>,
    /// The revision of the policy state.
    pub revision: u64,
    /// The blockers of the change under way.
    #[serde(rename = "held_up")]
    pub blockers: Vec<Blocker>,
    /// Proxies that have a lease or may admit calls without one.
    pub proxies: Vec<Proxy>,
    /// The recent changes, oldest first.
    pub changes: Vec<Change>,
    /// The queried region; `None` if the control plane has no regions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionStatus>,
}

/// Formats the identifier of a change of all regions.
fn format_change_id(id: u64) -> String {
    format!("{id:016x}")
}

impl From<&wire::RegionStatus> for RegionStatus {
    fn from(status: &wire::RegionStatus) -> Self {
        let (name, coordinator) = (status.name.clone(), status.coordinator.clone());
        RegionStatus {
            name,
            coordinator,
            change: status.change.as_ref().map(AllRegionsChange::from),
        }
    }
}

impl From<&wire::CrossRegion> for AllRegionsChange {
    fn from(status: &wire::CrossRegion) -> Self {
        let participant = |p: &wire::ParticipantStatus| Participant {
            region: p.region.clone(),
            prepared: p.prepared,
            acknowledged: p.acknowledged,
        };
        AllRegionsChange {
            id: format_change_id(status.id),
            generation: status.generation,
            coordinator: status.coordinator.clone(),
            voted: status.voted,
            participants: status.participants.iter().map(participant).collect(),
        }
    }
}

impl RegionStatus {
    /// Formats it for people.
    fn human(&self) -> String {
        let mut text = format!("region {}, coordinator {}\n", self.name, self.coordinator);
        let Some(change) = &self.change else {
            return text;
        };
        let AllRegionsChange {
            id,
            generation,
            coordinator,
            ..
        } = change;
        let _ = writeln!(
            text,
            "change of all regions {id}: generation {generation} here"
        );
        match (coordinator == &self.name, change.voted) {
            (true, _) => change.participants.iter().for_each(|p| {
                let _ = writeln!(text, "  region {}: {}", p.region, p.progress());
            }),
            (false, true) => {
                let _ = writeln!(
                    text,
                    "  this region has voted; region {coordinator} decides"
                );
            }
            (false, false) => {
                let _ = writeln!(
                    text,
                    "  this region is not prepared yet; region {coordinator} coordinates"
                );
            }
        }
        text
    }
}

impl Participant {
    /// Its progress in the change.
    fn progress(&self) -> &'static str {
        match (self.prepared, self.acknowledged) {
            (false, _) => "not prepared yet",
            (true, false) => "prepared",
            (true, true) => "acknowledged",
        }
    }
}

fn blockers_from_wire(blockers: &[wire::Blocker]) -> Vec<Blocker> {
    let blocker = |b: &wire::Blocker| Blocker {
        proxy: b
            .identity
            .as_ref()
            .map(|i| format!("{} ({:016x})", i.name, i.incarnation)),
        region: Some(b.region.clone()).filter(|region| !region.is_empty()),
        reason: b.reason.clone(),
        remaining_ms: (b.remaining > 0).then_some(b.remaining / 1_000),
    };
    blockers.iter().map(blocker).collect()
}

impl FleetStatus {
    fn from_wire(status: &wire::Status) -> Self {
        let on_lease_loss = |p: &wire::Proxy| match p.on_lease_loss() {
            wire::OnLeaseLoss::Fallback => "narrow",
            wire::OnLeaseLoss::Keep => "keep",
            wire::OnLeaseLoss::Reject | wire::OnLeaseLoss::Unspecified => "refuse",
        };
        let proxy = |p: &wire::Proxy| {
            let identity = p.identity.clone().unwrap_or_default();
            let incarnation = format!("{:016x}", identity.incarnation);
            Proxy {
                name: identity.name,
                incarnation,
                active_revision: p.active_revision,
                on_lease_loss: on_lease_loss(p),
            }
        };
        let change = |c: &wire::Change| {
            let outcome = match c.status() {
                ChangeStatus::Committed => "in force",
                ChangeStatus::Aborted => "not in force",
                ChangeStatus::Pending | ChangeStatus::Unspecified => UNDER_WAY,
            };
            let all_regions = (c.cross_region_id != 0).then(|| format_change_id(c.cross_region_id));
            Change {
                generation: c.generation,
                previous_generation: c.previous_generation,
                outcome,
                reason: c.reason.clone(),
                all_regions,
            }
        };
        let mode = status.mode;
        FleetStatus {
            leader: status.leader.clone(),
            in_force: mode.map(|m| m.old),
            pending_generation: mode.filter(|m| m.old != m.new).map(|m| m.new),
            revision: status.revision,
            blockers: blockers_from_wire(&status.blockers),
            proxies: status.proxies.iter().map(proxy).collect(),
            changes: status.changes.iter().map(change).collect(),
            region: status.region.as_ref().map(RegionStatus::from),
        }
    }

    /// Formats it for people.
    pub fn human(&self) -> String {
        let mut text = match (self.in_force, self.pending_generation) {
            (None, _) => "no policy yet\n".to_owned(),
            (Some(old), None) => format!("generation {old} is in force\n"),
            (Some(old), Some(new)) => {
                format!(
                    "generation {old} is in force, the change to generation {new} is under way\n"
                )
            }
        };
        let _ = writeln!(text, "leader {}, revision {}", self.leader, self.revision);
        text.extend(self.region.as_ref().map(RegionStatus::human));
        for blocker in &self.blockers {
            let _ = writeln!(text, "held up by {}", blocker.human());
        }
        let behind = self
            .proxies
            .iter()
            .filter(|p| p.active_revision < self.revision)
            .count();
        let _ = writeln!(
            text,
            "{} proxies, {behind} of which have not reported this revision yet",
            self.proxies.len()
        );
        for proxy in &self.proxies {
            let (name, incarnation) = (&proxy.name, &proxy.incarnation);
            let _ = writeln!(
                text,
                "  {name} ({incarnation}) at revision {}, on lease loss: {}",
                proxy.active_revision, proxy.on_lease_loss
            );
        }
        text
    }

    /// Formats the recent changes for people.
    pub fn history(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            let _ = write!(
                text,
                "generation {}, after {}: {}",
                change.generation, change.previous_generation, change.outcome
            );
            if let Some(id) = &change.all_regions {
                let _ = write!(text, " (all regions, {id})");
            }
            let _ = if change.reason.is_empty() {
                writeln!(text)
            } else {
                writeln!(text, ": {}", change.reason)
            };
        }
        text
    }
}

impl Blocker {
    /// Formats it for people.
    pub fn human(&self) -> String {
        let region = self
            .region
            .as_ref()
            .map(|region| format!("region {region}"));
        let blocker = region
            .or_else(|| self.proxy.clone())
            .unwrap_or_else(|| "any proxy".to_owned());
        match self.remaining_ms {
            Some(remaining) => format!("{blocker}: {} (at most {remaining} ms more)", self.reason),
            None => format!("{blocker}: {}", self.reason),
        }
    }
}

/// A client of the control plane.
pub struct ControlClient {
    client: Client,
    secret: SharedSecret,
    /// How long to wait for the control plane, or for the outcome of a change.
    timeout: Duration,
}

/// Contents of the applications' files by application name.
type Files = HashMap<String, String>;

impl ControlClient {
    /// Creates a client.
    ///
    /// # Errors
    /// Returns a message if the file of the shared secret can't be read or is invalid.
    pub fn new(control_args: &ControlArgs) -> Result<Self, String> {
        let secret = SharedSecret::read(&control_args.secret)
            .map_err(|e| format!("{}: {e}", control_args.secret.display()))?;
        let client = Client::new(
            control_args.control.clone(),
            secret.clone(),
            REQUEST_TIMEOUT,
        );
        Ok(ControlClient {
            client,
            secret,
            timeout: Duration::from_secs(control_args.timeout),
        })
    }

    async fn call(&mut self, request: request::Kind) -> Result<reply::Kind, ClientError> {
        self.client.call_with_retry(&request, self.timeout).await
    }

    async fn wire_status(&mut self) -> Result<wire::Status, ClientError> {
        match self
            .call(request::Kind::Status(wire::StatusRequest {}))
            .await?
        {
            reply::Kind::Status(status) => Ok(status),
            _ => Err(UnexpectedReply::Not("status").into()),
        }
    }

    /// Queries the status of the fleet.
    ///
    /// # Errors
    /// Returns an error if the control plane can't be reached.
    pub async fn status(&mut self) -> Result<FleetStatus, ClientError> {
        Ok(FleetStatus::from_wire(&self.wire_status().await?))
    }

    /// Directs all further requests to the region that coordinates changes of all regions, and returns its name.
    ///
    /// # Errors
    /// Returns a message if the control plane can't be reached or has no regions.
    pub async fn use_coordinator(&mut self) -> Result<String, String> {
        let status = self.wire_status().await.map_err(|e| e.to_string())?;
        let region = status
            .region
            .ok_or("the control plane has no regions: the scope can only be \"region\"")?;
        if !region.coordinator_replicas.is_empty() {
            self.use_replicas(&region.coordinator_replicas)?;
        }
        Ok(region.coordinator)
    }

    /// Directs all further requests to these replicas.
    fn use_replicas(&mut self, replicas: &[String]) -> Result<(), String> {
        let address = |text: &String| {
            text.parse()
                .map_err(|_| format!("{text:?} is not the address of a replica"))
        };
        let replicas: Vec<SocketAddr> = replicas
            .iter()
            .map(address)
            .collect::<Result<_, String>>()?;
        self.client = Client::new(replicas, self.secret.clone(), REQUEST_TIMEOUT);
        Ok(())
    }

    /// Fetches the files of a generation.
    ///
    /// # Errors
    /// Returns an error if the control plane can't be reached or no longer stores the generation.
    pub async fn files(&mut self, generation: u64) -> Result<Files, ClientError> {
        let request = wire::PolicyFiles {
            generation,
            files: HashMap::new(),
        };
        match self.call(request::Kind::PolicyFiles(request)).await? {
            reply::Kind::PolicyFiles(reply) => Ok(reply.files),
            _ => Err(UnexpectedReply::Not("files").into()),
        }
    }

    /// Evicts a proxy that no longer runs, so that changes stop waiting for it. The operator is responsible for the claim
    /// that it no longer runs.
    ///
    /// # Errors
    /// Returns a message if the control plane can't be reached, or knows no proxy or several proxies of this name.
    pub async fn evict(&mut self, name: &str, incarnation: Option<u64>) -> Result<(), String> {
        let status = self.status().await.map_err(|e| e.to_string())?;
        let incarnation_text = incarnation.map(|i| format!("{i:016x}"));
        let known = status.proxies.iter().filter(|p| p.name == name);
        let known: Vec<&Proxy> = known
            .filter(|p| {
                incarnation_text
                    .as_ref()
                    .is_none_or(|i| *i == p.incarnation)
            })
            .collect();
        let [proxy] = known.as_slice() else {
            let incarnations: Vec<&str> = known.iter().map(|p| p.incarnation.as_str()).collect();
            let all_proxies: Vec<String> = status
                .proxies
                .iter()
                .map(|p| format!("{} {}", p.name, p.incarnation))
                .collect();
            return Err(if incarnations.is_empty() {
                format!(
                    "no proxy {name:?}; the control plane knows: {}",
                    all_proxies.join(", ")
                )
            } else {
                format!(
                    "there are several proxies {name:?}: select one by its incarnation: {}",
                    incarnations.join(", ")
                )
            });
        };
        let incarnation = u64::from_str_radix(&proxy.incarnation, 16).map_err(|e| e.to_string())?;
        let identity = wire::Identity {
            name: name.to_owned(),
            incarnation,
        };
        self.call(request::Kind::Evict(identity))
            .await
            .map(|_| ())
            .map_err(|e| e.to_string())
    }

    /// Aborts the change under way and returns its generation.
    ///
    /// # Errors
    /// Returns a message if the control plane can't be reached or there is no such change.
    pub async fn abort(&mut self, reason: &str) -> Result<u64, String> {
        let status = self.status().await.map_err(|e| e.to_string())?;
        // Before the first policy is in force, a change of all regions is only listed among the changes.
        let change_under_way = || {
            status
                .changes
                .iter()
                .find(|c| c.outcome == UNDER_WAY)
                .map(|c| c.generation)
        };
        let generation = status
            .pending_generation
            .or_else(change_under_way)
            .ok_or("no change is under way")?;
        let abort = wire::Abort {
            generation,
            reason: reason.to_owned(),
        };
        self.call(request::Kind::Abort(abort))
            .await
            .map_err(|e| e.to_string())?;
        Ok(generation)
    }

    /// Publishes files in the queried region, on the condition that its revision is `revision`, and waits for the outcome
    /// of the change. Calls `on_blockers` whenever the blockers of the change differ from the previous ones.
    pub async fn publish(
        &mut self,
        files: &Files,
        revision: u64,
        on_blockers: impl FnMut(&[Blocker]),
    ) -> PublishResult {
        self.publish_for(Scope::Region, files, revision, on_blockers)
            .await
    }

    /// Like [`ControlClient::publish`], for the regions of `scope`. A change of all regions has to be sent to the
    /// coordinator ([`ControlClient::use_coordinator`]), and `revision` is the coordinator's.
    pub async fn publish_for(
        &mut self,
        scope: Scope,
        files: &Files,
        revision: u64,
        mut on_blockers: impl FnMut(&[Blocker]),
    ) -> PublishResult {
        let started = Instant::now();
        let deadline = started + self.timeout;
        let elapsed_ms = || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut result = PublishResult {
            outcome: Outcome::NotInForce,
            generation: None,
            reason: String::new(),
            blockers: Vec::new(),
            elapsed_ms: 0,
        };
        let policy = wire::Publish {
            files: files.clone(),
            revision,
        };
        let request = match scope {
            Scope::Region => request::Kind::Publish(policy),
            Scope::All => request::Kind::PublishAllRegions(policy),
        };
        // Retrying is safe: the request names the expected revision, so that at most one of its attempts succeeds.
        let mut reply_lost = false;
        loop {
            let error = match self.client.call(&request).await {
                Ok(reply::Kind::ChangeStarted(started)) => {
                    result.generation = Some(started.generation);
                    break;
                }
                Ok(_) => UnexpectedReply::Not("number of a generation").into(),
                Err(error) => error,
            };
            result.reason = error.to_string();
            match error {
                ClientError::Rejected(rejection)
                    if rejection.code() == rejection::Code::NotLeader => {}
                ClientError::Rejected(rejection)
                    if reply_lost
                        && [rejection::Code::ChangePending, rejection::Code::Conflict]
                            .contains(&rejection.code()) =>
                {
                    match self.find_started_change(files, revision).await {
                        Ok(Some(generation)) => {
                            result.generation = Some(generation);
                            break;
                        }
                        Ok(None) => {
                            result.elapsed_ms = elapsed_ms();
                            return result;
                        }
                        Err(error) => result.reason = error.to_string(),
                    }
                }
                ClientError::Rejected(_) => {
                    result.elapsed_ms = elapsed_ms();
                    return result;
                }
                // The request may have been executed.
                ClientError::Unavailable(_) | ClientError::UnexpectedReply(_) => reply_lost = true,
            }
            if Instant::now() >= deadline {
                result.outcome = Outcome::NotKnown;
                result.elapsed_ms = elapsed_ms();
                return result;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        result.outcome = Outcome::NotKnown;
        let mut last_blocker_ids = Vec::new();
        while Instant::now() < deadline {
            if let Ok(status) = self
                .client
                .call(&request::Kind::Status(wire::StatusRequest {}))
                .await
            {
                let reply::Kind::Status(status) = status else {
                    continue;
                };
                let change = status
                    .changes
                    .iter()
                    .find(|c| Some(c.generation) == result.generation);
                let status_and_reason = change.map(|c| (c.status(), c.reason.clone()));
                match status_and_reason {
                    Some((ChangeStatus::Committed, _)) => {
                        (result.outcome, result.reason) = (Outcome::InForce, String::new());
                    }
                    Some((ChangeStatus::Aborted, reason)) => {
                        (result.outcome, result.reason) = (Outcome::NotInForce, reason);
                    }
                    Some(_) => {}
                    None => {
                        result.reason =
                            "the control plane does not know this change: its store was lost"
                                .to_owned();
                    }
                }
                if result.outcome != Outcome::NotKnown {
                    break;
                }
                result.blockers = blockers_from_wire(&status.blockers);
                let id = |b: &Blocker| (b.proxy.clone(), b.region.clone(), b.reason.clone());
                let blocker_ids: Vec<_> = result.blockers.iter().map(id).collect();
                if blocker_ids != last_blocker_ids {
                    on_blockers(&result.blockers);
                    last_blocker_ids = blocker_ids;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if result.outcome == Outcome::NotKnown && result.reason.is_empty() {
            result.reason = "the change is still under way".to_owned();
        }
        result.elapsed_ms = elapsed_ms();
        result
    }

    /// Looks for a change that an earlier attempt to publish these files at this revision has started.
    async fn find_started_change(
        &mut self,
        files: &Files,
        revision: u64,
    ) -> Result<Option<u64>, ClientError> {
        let status = self.wire_status().await?;
        if status.revision == revision {
            return Ok(None);
        }
        // Publishing increments the revision, and the generation of its change is greater than all earlier ones: the newest
        // change with the same files is the one.
        for change in status.changes.iter().rev() {
            if let Ok(published) = self.files(change.generation).await {
                if published == *files {
                    return Ok(Some(change.generation));
                }
            }
        }
        Ok(None)
    }
}

/// The manifest, which is in a generated folder but is not published.
const MANIFEST: &str = "manifest.toml";

/// Checks the files of a folder that is to be published.
///
/// # Errors
/// Returns a message if the folder can't be read or contains no file of an application.
pub fn check_folder(path: &Path) -> Result<Report, String> {
    if path.join(MANIFEST).exists() {
        return Ok(commands::check_before_publish(path));
    }
    let names = read_folder(path)?.into_keys();
    let mut files: Vec<PathBuf> = names
        .map(|name| path.join(format!("{name}.toml")))
        .collect();
    files.sort();
    let files: Vec<&Path> = files.iter().map(PathBuf::as_path).collect();
    Ok(commands::check(&files).0)
}

/// Reads the files of a folder: each `NAME.toml` but the manifest.
///
/// # Errors
/// Returns a message if the folder can't be read or contains no such file.
pub fn read_folder(path: &Path) -> Result<Files, String> {
    let shown = path.display();
    let entries = std::fs::read_dir(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut files = Files::new();
    for entry in entries {
        let path = entry.map_err(|e| format!("{shown}: {e}"))?.path();
        let is_manifest = path.file_name().is_some_and(|name| name == MANIFEST);
        if !is_manifest && path.extension().is_some_and(|e| e == "toml") {
            let name = path.file_stem().and_then(|n| n.to_str());
            let name = name.ok_or_else(|| format!("{}: its name is not UTF-8", path.display()))?;
            let text =
                std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            files.insert(name.to_owned(), text);
        }
    }
    if files.is_empty() {
        Err(format!("{shown}: contains no .toml file"))
    } else {
        Ok(files)
    }
}

/// The difference between two sets of files as a unified diff.
pub fn unified_diff(old: &Files, new: &Files) -> String {
    let names: BTreeMap<&String, ()> = old.keys().chain(new.keys()).map(|n| (n, ())).collect();
    let mut text = String::new();
    for name in names.into_keys() {
        let content = |files: &Files| files.get(name).cloned().unwrap_or_default();
        let (a, b) = (content(old), content(new));
        if a != b {
            let diff = similar::TextDiff::from_lines(&a, &b);
            let shown = diff
                .unified_diff()
                .header(&format!("{name} (in force)"), name)
                .to_string();
            text.push_str(&shown);
        }
    }
    text
}
