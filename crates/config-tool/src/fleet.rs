//! The policy of a fleet, by its control: published, looked at, taken back. What is in force is control's word alone.

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

/// How often a change that is under way is looked at.
const LOOK: Duration = Duration::from_millis(30);
/// One question is given up after this.
const QUESTION: Duration = Duration::from_secs(2);

/// How a change stands that has not ended.
const UNDER_WAY: &str = "under way";

/// Where control is.
#[derive(Debug, clap::Args)]
pub struct At {
    /// A replica of control; once for each, or with commas between.
    #[arg(long, required = true, value_delimiter = ',', value_name = "ADDR")]
    pub control: Vec<SocketAddr>,
    /// The file with the secret that the fleet shares.
    #[arg(long, value_name = "FILE")]
    pub secret: PathBuf,
    /// For how many seconds control is waited for, and a change followed.
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub timeout: u64,
}

/// Which regions a change is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Scope {
    /// The region of the control that is asked; all proxies, where control has no regions.
    #[default]
    Region,
    /// All regions: in force in each of them, or in none.
    All,
}

/// How a change ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every proxy that takes calls takes them under it.
    InForce,
    /// No call ever began under it, and none will.
    NotInForce,
    /// Control could not be asked, or has not ended it yet. It becomes one of the two by itself.
    NotKnown,
}

/// One that holds a change up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Held {
    /// Which proxy; `None`: any, or a region.
    pub proxy: Option<String>,
    /// Which region, if it is no proxy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Why.
    pub why: String,
    /// For how long at the most, in milliseconds; `None`: until it is heard of, evicted, or the change given up.
    pub left_ms: Option<u64>,
}

/// What a change came to.
#[derive(Clone, Debug, Serialize)]
pub struct Done {
    /// How it ended.
    pub outcome: Outcome,
    /// Its number, once it has one.
    pub generation: Option<u64>,
    /// Why it is not in force, or not known.
    pub why: String,
    /// Who held it up when it was last looked at.
    pub held_up: Vec<Held>,
    /// From the first question to its end, in milliseconds.
    pub took_ms: u64,
}

/// A proxy that control knows.
#[derive(Clone, Debug, Serialize)]
pub struct Proxy {
    /// Its name.
    pub name: String,
    /// This start of it.
    pub incarnation: String,
    /// The revision that it acts under; 0: not told yet.
    pub acting: u64,
    /// What it does when cut off.
    pub cut_off: &'static str,
}

/// A change that is remembered.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// Its generation.
    pub generation: u64,
    /// The generation in force before.
    pub from: u64,
    /// How it ended.
    pub outcome: &'static str,
    /// Why not.
    pub why: String,
    /// Identifies it, if it is a change of all regions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub all_regions: Option<String>,
}

/// The region of the control that was asked.
#[derive(Clone, Debug, Serialize)]
pub struct RegionStanding {
    /// Its name.
    pub name: String,
    /// The region that coordinates changes of all regions.
    pub coordinator: String,
    /// The change of all regions under way, or in force and not acknowledged by all regions.
    pub change: Option<AllRegionsChange>,
}

/// A change of all regions, as one of them knows it.
#[derive(Clone, Debug, Serialize)]
pub struct AllRegionsChange {
    /// Identifies it; the same in all regions.
    pub id: String,
    /// Its generation in the region that was asked.
    pub generation: u64,
    /// The region that coordinates it.
    pub coordinator: String,
    /// The region that was asked has voted, and only the coordinator can end it.
    pub voted: bool,
    /// The other regions, where the region that was asked coordinates.
    pub participants: Vec<Participant>,
}

/// Another region in a change of all regions.
#[derive(Clone, Debug, Serialize)]
pub struct Participant {
    /// Its name.
    pub region: String,
    /// It has voted that it is prepared.
    pub prepared: bool,
    /// It has taken the commit into its log.
    pub acknowledged: bool,
}

/// How the fleet stands.
#[derive(Clone, Debug, Serialize)]
pub struct Standing {
    /// Where the leader is.
    pub leader: String,
    /// The generation in force; `None`: there is no policy yet.
    pub in_force: Option<u64>,
    /// The one that is to come.
    pub to_come: Option<u64>,
    /// The revision.
    pub revision: u64,
    /// Who holds the change under way up.
    pub held_up: Vec<Held>,
    /// Proxies with a lease, or that may act without one.
    pub proxies: Vec<Proxy>,
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
    /// The region; `None`: control has no regions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionStanding>,
}

/// An identifier of a change of all regions, as operators see it.
fn change_id(id: u64) -> String {
    format!("{id:016x}")
}

impl From<&wire::RegionStatus> for RegionStanding {
    fn from(told: &wire::RegionStatus) -> Self {
        let (name, coordinator) = (told.name.clone(), told.coordinator.clone());
        RegionStanding {
            name,
            coordinator,
            change: told.change.as_ref().map(AllRegionsChange::from),
        }
    }
}

impl From<&wire::CrossRegion> for AllRegionsChange {
    fn from(told: &wire::CrossRegion) -> Self {
        let participant = |p: &wire::ParticipantStatus| Participant {
            region: p.region.clone(),
            prepared: p.prepared,
            acknowledged: p.acknowledged,
        };
        AllRegionsChange {
            id: change_id(told.id),
            generation: told.generation,
            coordinator: told.coordinator.clone(),
            voted: told.voted,
            participants: told.participants.iter().map(participant).collect(),
        }
    }
}

impl RegionStanding {
    /// As text.
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
                let _ = writeln!(text, "  region {}: {}", p.region, p.step());
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
    /// How far it is.
    fn step(&self) -> &'static str {
        match (self.prepared, self.acknowledged) {
            (false, _) => "not prepared yet",
            (true, false) => "prepared",
            (true, true) => "has acknowledged",
        }
    }
}

fn held(blockers: &[wire::Blocker]) -> Vec<Held> {
    let one = |b: &wire::Blocker| Held {
        proxy: b
            .identity
            .as_ref()
            .map(|i| format!("{} ({:016x})", i.name, i.incarnation)),
        region: Some(b.region.clone()).filter(|region| !region.is_empty()),
        why: b.reason.clone(),
        left_ms: (b.remaining > 0).then_some(b.remaining / 1_000),
    };
    blockers.iter().map(one).collect()
}

impl Standing {
    fn of(status: &wire::Status) -> Self {
        let cut_off = |p: &wire::Proxy| match p.on_lease_loss() {
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
                acting: p.active_revision,
                cut_off: cut_off(p),
            }
        };
        let change = |c: &wire::Change| {
            let outcome = match c.status() {
                ChangeStatus::Committed => "in force",
                ChangeStatus::Aborted => "not in force",
                ChangeStatus::Pending | ChangeStatus::Unspecified => UNDER_WAY,
            };
            let all_regions = (c.cross_region_id != 0).then(|| change_id(c.cross_region_id));
            Change {
                generation: c.generation,
                from: c.previous_generation,
                outcome,
                why: c.reason.clone(),
                all_regions,
            }
        };
        let mode = status.mode;
        Standing {
            leader: status.leader.clone(),
            in_force: mode.map(|m| m.old),
            to_come: mode.filter(|m| m.old != m.new).map(|m| m.new),
            revision: status.revision,
            held_up: held(&status.blockers),
            proxies: status.proxies.iter().map(proxy).collect(),
            changes: status.changes.iter().map(change).collect(),
            region: status.region.as_ref().map(RegionStanding::from),
        }
    }

    /// As text.
    pub fn human(&self) -> String {
        let mut text = match (self.in_force, self.to_come) {
            (None, _) => "no policy yet\n".to_owned(),
            (Some(old), None) => format!("generation {old} is in force\n"),
            (Some(old), Some(new)) => {
                format!("between generation {old}, in force, and {new}, which is to come\n")
            }
        };
        let _ = writeln!(text, "leader {}, revision {}", self.leader, self.revision);
        text.extend(self.region.as_ref().map(RegionStanding::human));
        for held in &self.held_up {
            let _ = writeln!(text, "held up by {}", held.human());
        }
        let behind = self
            .proxies
            .iter()
            .filter(|p| p.acting < self.revision)
            .count();
        let _ = writeln!(
            text,
            "{} proxies, {behind} that have not told of this revision yet",
            self.proxies.len()
        );
        for proxy in &self.proxies {
            let (name, incarnation) = (&proxy.name, &proxy.incarnation);
            let _ = writeln!(
                text,
                "  {name} ({incarnation}) at {}, cut off: {}",
                proxy.acting, proxy.cut_off
            );
        }
        text
    }

    /// Its changes as text.
    pub fn history(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            let _ = write!(
                text,
                "generation {}, after {}: {}",
                change.generation, change.from, change.outcome
            );
            if let Some(id) = &change.all_regions {
                let _ = write!(text, " (all regions, {id})");
            }
            let _ = if change.why.is_empty() {
                writeln!(text)
            } else {
                writeln!(text, ": {}", change.why)
            };
        }
        text
    }
}

impl Held {
    /// As text.
    pub fn human(&self) -> String {
        let region = self
            .region
            .as_ref()
            .map(|region| format!("region {region}"));
        let who = region
            .or_else(|| self.proxy.clone())
            .unwrap_or_else(|| "any proxy".to_owned());
        match self.left_ms {
            Some(left) => format!("{who}: {} (at most {left} ms more)", self.why),
            None => format!("{who}: {}", self.why),
        }
    }
}

/// The way to control.
pub struct Control {
    client: Client,
    secret: SharedSecret,
    time: Duration,
}

type Files = HashMap<String, String>;

impl Control {
    /// The way there.
    ///
    /// # Errors
    /// If the secret is none.
    pub fn new(at: &At) -> Result<Self, String> {
        let secret =
            SharedSecret::read(&at.secret).map_err(|e| format!("{}: {e}", at.secret.display()))?;
        let client = Client::new(at.control.clone(), secret.clone(), QUESTION);
        Ok(Control {
            client,
            secret,
            time: Duration::from_secs(at.timeout),
        })
    }

    async fn asked(&mut self, what: request::Kind) -> Result<reply::Kind, ClientError> {
        self.client.call_with_retry(&what, self.time).await
    }

    async fn raw_status(&mut self) -> Result<wire::Status, ClientError> {
        match self
            .asked(request::Kind::Status(wire::StatusRequest {}))
            .await?
        {
            reply::Kind::Status(status) => Ok(status),
            _ => Err(UnexpectedReply::Not("status").into()),
        }
    }

    /// How the fleet stands.
    ///
    /// # Errors
    /// If control can't be asked.
    pub async fn standing(&mut self) -> Result<Standing, ClientError> {
        Ok(Standing::of(&self.raw_status().await?))
    }

    /// From now on asks the region that coordinates changes of all regions. Tells its name.
    ///
    /// # Errors
    /// If control can't be asked, or has no regions.
    pub async fn go_to_coordinator(&mut self) -> Result<String, String> {
        let status = self.raw_status().await.map_err(|e| e.to_string())?;
        let region = status
            .region
            .ok_or("control has no regions: the scope can only be \"region\"")?;
        if !region.coordinator_replicas.is_empty() {
            self.go_to(&region.coordinator_replicas)?;
        }
        Ok(region.coordinator)
    }

    /// From now on asks these replicas.
    fn go_to(&mut self, replicas: &[String]) -> Result<(), String> {
        let address = |text: &String| {
            text.parse()
                .map_err(|_| format!("{text:?} is no address of a replica"))
        };
        let replicas: Vec<SocketAddr> = replicas
            .iter()
            .map(address)
            .collect::<Result<_, String>>()?;
        self.client = Client::new(replicas, self.secret.clone(), QUESTION);
        Ok(())
    }

    /// The files of a generation by application.
    ///
    /// # Errors
    /// If control can't be asked, or has them no more.
    pub async fn files(&mut self, generation: u64) -> Result<Files, ClientError> {
        let text = wire::PolicyFiles {
            generation,
            files: HashMap::new(),
        };
        match self.asked(request::Kind::PolicyFiles(text)).await? {
            reply::Kind::PolicyFiles(text) => Ok(text.files),
            _ => Err(UnexpectedReply::Not("files").into()),
        }
    }

    /// Takes a proxy that runs no more out of what a change waits for. The operator answers for that.
    ///
    /// # Errors
    /// If control can't be asked, or knows none or several of the name.
    pub async fn evict(&mut self, name: &str, incarnation: Option<u64>) -> Result<(), String> {
        let standing = self.standing().await.map_err(|e| e.to_string())?;
        let word = incarnation.map(|i| format!("{i:016x}"));
        let known = standing.proxies.iter().filter(|p| p.name == name);
        let known: Vec<&Proxy> = known
            .filter(|p| word.as_ref().is_none_or(|w| *w == p.incarnation))
            .collect();
        let [one] = known.as_slice() else {
            let found: Vec<&str> = known.iter().map(|p| p.incarnation.as_str()).collect();
            let all: Vec<String> = standing
                .proxies
                .iter()
                .map(|p| format!("{} {}", p.name, p.incarnation))
                .collect();
            return Err(if found.is_empty() {
                format!("no proxy {name:?}; control knows: {}", all.join(", "))
            } else {
                format!(
                    "{name:?} runs more than once: name its start too: {}",
                    found.join(", ")
                )
            });
        };
        let incarnation = u64::from_str_radix(&one.incarnation, 16).map_err(|e| e.to_string())?;
        let identity = wire::Identity {
            name: name.to_owned(),
            incarnation,
        };
        self.asked(request::Kind::Evict(identity))
            .await
            .map(|_| ())
            .map_err(|e| e.to_string())
    }

    /// Gives the change under way up.
    ///
    /// # Errors
    /// If control can't be asked, or there is none.
    pub async fn abort(&mut self, why: &str) -> Result<u64, String> {
        let standing = self.standing().await.map_err(|e| e.to_string())?;
        // Before the first policy is in force, a change of all regions shows among the changes alone.
        let open = || {
            standing
                .changes
                .iter()
                .find(|c| c.outcome == UNDER_WAY)
                .map(|c| c.generation)
        };
        let generation = standing
            .to_come
            .or_else(open)
            .ok_or("no change is under way")?;
        let abort = wire::Abort {
            generation,
            reason: why.to_owned(),
        };
        self.asked(request::Kind::Abort(abort))
            .await
            .map_err(|e| e.to_string())?;
        Ok(generation)
    }

    /// Publishes files for the region that is asked, beside what stands at `revision`, and follows the change to its end.
    /// `told` hears of each who holds it up.
    pub async fn publish(
        &mut self,
        files: &Files,
        revision: u64,
        told: impl FnMut(&[Held]),
    ) -> Done {
        self.publish_for(Scope::Region, files, revision, told).await
    }

    /// As [`Control::publish`], for these regions. One of all regions has to go to the coordinator
    /// ([`Control::go_to_coordinator`]); `revision` is the one there.
    pub async fn publish_for(
        &mut self,
        scope: Scope,
        files: &Files,
        revision: u64,
        mut told: impl FnMut(&[Held]),
    ) -> Done {
        let begun = Instant::now();
        let end = begun + self.time;
        let took = || u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut done = Done {
            outcome: Outcome::NotInForce,
            generation: None,
            why: String::new(),
            held_up: Vec::new(),
            took_ms: 0,
        };
        let policy = wire::Publish {
            files: files.clone(),
            revision,
        };
        let what = match scope {
            Scope::Region => request::Kind::Publish(policy),
            Scope::All => request::Kind::PublishAllRegions(policy),
        };
        // Asked again it changes nothing more: it names the revision that it stands beside.
        let mut lost = false;
        loop {
            let fault = match self.client.call(&what).await {
                Ok(reply::Kind::ChangeStarted(number)) => {
                    done.generation = Some(number.generation);
                    break;
                }
                Ok(_) => UnexpectedReply::Not("number of a generation").into(),
                Err(fault) => fault,
            };
            done.why = fault.to_string();
            match fault {
                ClientError::Rejected(rejection)
                    if rejection.code() == rejection::Code::NotLeader => {}
                ClientError::Rejected(rejection)
                    if lost
                        && [rejection::Code::ChangePending, rejection::Code::Conflict]
                            .contains(&rejection.code()) =>
                {
                    match self.own(files, revision).await {
                        Ok(Some(generation)) => {
                            done.generation = Some(generation);
                            break;
                        }
                        Ok(None) => {
                            done.took_ms = took();
                            return done;
                        }
                        Err(fault) => done.why = fault.to_string(),
                    }
                }
                ClientError::Rejected(_) => {
                    done.took_ms = took();
                    return done;
                }
                // It may have got there.
                ClientError::Unavailable(_) | ClientError::UnexpectedReply(_) => lost = true,
            }
            if Instant::now() >= end {
                done.outcome = Outcome::NotKnown;
                done.took_ms = took();
                return done;
            }
            tokio::time::sleep(LOOK).await;
        }
        done.outcome = Outcome::NotKnown;
        let mut last = Vec::new();
        while Instant::now() < end {
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
                    .find(|c| Some(c.generation) == done.generation);
                let ended = change.map(|c| (c.status(), c.reason.clone()));
                match ended {
                    Some((ChangeStatus::Committed, _)) => {
                        (done.outcome, done.why) = (Outcome::InForce, String::new());
                    }
                    Some((ChangeStatus::Aborted, why)) => {
                        (done.outcome, done.why) = (Outcome::NotInForce, why);
                    }
                    Some(_) => {}
                    None => {
                        done.why =
                            "control does not know this change: it has lost its store".to_owned();
                    }
                }
                if done.outcome != Outcome::NotKnown {
                    break;
                }
                done.held_up = held(&status.blockers);
                let name = |h: &Held| (h.proxy.clone(), h.region.clone(), h.why.clone());
                let names: Vec<_> = done.held_up.iter().map(name).collect();
                if names != last {
                    told(&done.held_up);
                    last = names;
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        if done.outcome == Outcome::NotKnown && done.why.is_empty() {
            done.why = "it is under way still".to_owned();
        }
        done.took_ms = took();
        done
    }

    /// The change that came of these files beside this revision, if one did.
    async fn own(&mut self, files: &Files, revision: u64) -> Result<Option<u64>, ClientError> {
        let status = self.raw_status().await?;
        if status.revision == revision {
            return Ok(None);
        }
        // A publish takes the revision on by one, and the number of its change is greater than all before.
        for change in status.changes.iter().rev() {
            if let Ok(theirs) = self.files(change.generation).await {
                if theirs == *files {
                    return Ok(Some(change.generation));
                }
            }
        }
        Ok(None)
    }
}

/// What the tool itself writes into a folder beside the files.
const MANIFEST: &str = "manifest.toml";

/// What of a folder is to be checked: the folder, if the tool wrote it, else each file that would be published.
///
/// # Errors
/// If it can't be read.
pub fn to_check(path: &Path) -> Result<Vec<PathBuf>, String> {
    if path.join(MANIFEST).exists() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files: Vec<PathBuf> = folder(path)?
        .into_keys()
        .map(|name| path.join(format!("{name}.toml")))
        .collect();
    files.sort();
    Ok(files)
}

/// The files of a folder by application: each `NAME.toml`.
///
/// # Errors
/// If it can't be read, or holds none.
pub fn folder(path: &Path) -> Result<Files, String> {
    let shown = path.display();
    let listed = std::fs::read_dir(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut files = Files::new();
    for entry in listed {
        let path = entry.map_err(|e| format!("{shown}: {e}"))?.path();
        let own = path.file_name().is_some_and(|name| name == MANIFEST);
        if !own && path.extension().is_some_and(|e| e == "toml") {
            let name = path.file_stem().and_then(|n| n.to_str());
            let name = name.ok_or_else(|| format!("{}: its name is no text", path.display()))?;
            let text =
                std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            files.insert(name.to_owned(), text);
        }
    }
    if files.is_empty() {
        Err(format!("{shown}: no file that ends in .toml"))
    } else {
        Ok(files)
    }
}

/// What is different between two sets of files, as a unified diff.
pub fn difference(old: &Files, new: &Files) -> String {
    let names: BTreeMap<&String, ()> = old.keys().chain(new.keys()).map(|n| (n, ())).collect();
    let mut text = String::new();
    for name in names.into_keys() {
        let of = |files: &Files| files.get(name).cloned().unwrap_or_default();
        let (a, b) = (of(old), of(new));
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
