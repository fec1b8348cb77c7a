//! The policy of a fleet, by its control: published, looked at, taken back. What is in force is control's word alone.

use badgerramp_channel::wire::{self, change::Ended, refusal, reply, request};
use badgerramp_channel::{Client, Fault, Secret};
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
    /// Which proxy; `None`: any.
    pub proxy: Option<String>,
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
}

fn held(blockers: &[wire::Blocker]) -> Vec<Held> {
    let one = |b: &wire::Blocker| Held {
        proxy: b.identity.as_ref().map(|i| format!("{} ({:016x})", i.name, i.incarnation)),
        why: b.why.clone(),
        left_ms: (b.left > 0).then_some(b.left / 1_000),
    };
    blockers.iter().map(one).collect()
}

impl Standing {
    fn of(status: &wire::Status) -> Self {
        let cut_off = |p: &wire::Proxy| match p.cut_off() {
            wire::CutOff::Narrow => "narrow",
            wire::CutOff::Keep => "keep",
            wire::CutOff::Refuse | wire::CutOff::Unspecified => "refuse",
        };
        let proxy = |p: &wire::Proxy| {
            let identity = p.identity.clone().unwrap_or_default();
            let incarnation = format!("{:016x}", identity.incarnation);
            Proxy { name: identity.name, incarnation, acting: p.acting, cut_off: cut_off(p) }
        };
        let change = |c: &wire::Change| {
            let outcome = match c.ended() {
                Ended::InForce => "in force",
                Ended::NotInForce => "not in force",
                Ended::Open | Ended::Unspecified => "under way",
            };
            Change { generation: c.generation, from: c.from, outcome, why: c.why.clone() }
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
        for held in &self.held_up {
            let _ = writeln!(text, "held up by {}", held.human());
        }
        let behind = self.proxies.iter().filter(|p| p.acting < self.revision).count();
        let _ = writeln!(
            text,
            "{} proxies, {behind} that have not told of this revision yet",
            self.proxies.len()
        );
        for proxy in &self.proxies {
            let (name, incarnation) = (&proxy.name, &proxy.incarnation);
            let _ =
                writeln!(text, "  {name} ({incarnation}) at {}, cut off: {}", proxy.acting, proxy.cut_off);
        }
        text
    }

    /// Its changes as text.
    pub fn history(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            let _ =
                write!(text, "generation {}, after {}: {}", change.generation, change.from, change.outcome);
            let _ = match change.why.is_empty() {
                true => writeln!(text),
                false => writeln!(text, ": {}", change.why),
            };
        }
        text
    }
}

impl Held {
    /// As text.
    pub fn human(&self) -> String {
        let who = self.proxy.as_deref().unwrap_or("any proxy");
        match self.left_ms {
            Some(left) => format!("{who}: {} (at most {left} ms more)", self.why),
            None => format!("{who}: {}", self.why),
        }
    }
}

/// The way to control.
pub struct Control {
    client: Client,
    time: Duration,
}

type Files = HashMap<String, String>;

impl Control {
    /// The way there.
    ///
    /// # Errors
    /// If the secret is none.
    pub fn new(at: &At) -> Result<Self, String> {
        let secret = Secret::read(&at.secret).map_err(|e| format!("{}: {e}", at.secret.display()))?;
        let client = Client::new(at.control.clone(), secret, QUESTION);
        Ok(Control { client, time: Duration::from_secs(at.timeout) })
    }

    async fn asked(&mut self, what: request::What) -> Result<reply::What, Fault> {
        self.client.ask_until(&what, self.time).await
    }

    async fn raw_status(&mut self) -> Result<wire::Status, Fault> {
        match self.asked(request::What::Status(wire::StatusAsked {})).await? {
            reply::What::Status(status) => Ok(status),
            _ => Err(Fault::Odd("no status".to_owned())),
        }
    }

    /// How the fleet stands.
    ///
    /// # Errors
    /// If control can't be asked.
    pub async fn standing(&mut self) -> Result<Standing, Fault> {
        Ok(Standing::of(&self.raw_status().await?))
    }

    /// The files of a generation by application.
    ///
    /// # Errors
    /// If control can't be asked, or has them no more.
    pub async fn files(&mut self, generation: u64) -> Result<Files, Fault> {
        let text = wire::Text { generation, files: HashMap::new() };
        match self.asked(request::What::Text(text)).await? {
            reply::What::Text(text) => Ok(text.files),
            _ => Err(Fault::Odd("no files".to_owned())),
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
        let known: Vec<&Proxy> =
            known.filter(|p| word.as_ref().is_none_or(|w| *w == p.incarnation)).collect();
        let [one] = known.as_slice() else {
            let found: Vec<&str> = known.iter().map(|p| p.incarnation.as_str()).collect();
            let all: Vec<String> =
                standing.proxies.iter().map(|p| format!("{} {}", p.name, p.incarnation)).collect();
            return Err(match found.is_empty() {
                true => format!("no proxy {name:?}; control knows: {}", all.join(", ")),
                false => format!("{name:?} runs more than once: name its start too: {}", found.join(", ")),
            });
        };
        let incarnation = u64::from_str_radix(&one.incarnation, 16).map_err(|e| e.to_string())?;
        let identity = wire::Identity { name: name.to_owned(), incarnation };
        self.asked(request::What::Evict(identity)).await.map(|_| ()).map_err(|e| e.to_string())
    }

    /// Gives the change under way up.
    ///
    /// # Errors
    /// If control can't be asked, or there is none.
    pub async fn abort(&mut self, why: &str) -> Result<u64, String> {
        let standing = self.standing().await.map_err(|e| e.to_string())?;
        let generation = standing.to_come.ok_or("no change is under way")?;
        let abort = wire::Abort { generation, why: why.to_owned() };
        self.asked(request::What::Abort(abort)).await.map_err(|e| e.to_string())?;
        Ok(generation)
    }

    /// Publishes files, beside what stands at `revision`, and follows the change to its end. `told` hears of each who
    /// holds it up.
    pub async fn publish(&mut self, files: &Files, revision: u64, mut told: impl FnMut(&[Held])) -> Done {
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
        let what = request::What::Publish(wire::Publish { files: files.clone(), revision });
        // Asked again it changes nothing more: it names the revision that it stands beside.
        let mut lost = false;
        loop {
            let fault = match self.client.ask(&what).await {
                Ok(reply::What::Begun(number)) => {
                    done.generation = Some(number.generation);
                    break;
                }
                Ok(_) => Fault::Odd("no number of a generation".to_owned()),
                Err(fault) => fault,
            };
            done.why = fault.to_string();
            match fault {
                Fault::Refused(refusal) if refusal.code() == refusal::Code::NotLeader => {}
                Fault::Refused(refusal)
                    if lost && [refusal::Code::UnderWay, refusal::Code::Moved].contains(&refusal.code()) =>
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
                Fault::Refused(_) => {
                    done.took_ms = took();
                    return done;
                }
                // It may have got there.
                Fault::Away(_) | Fault::Odd(_) => lost = true,
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
            if let Ok(status) = self.client.ask(&request::What::Status(wire::StatusAsked {})).await {
                let reply::What::Status(status) = status else { continue };
                let change = status.changes.iter().find(|c| Some(c.generation) == done.generation);
                let ended = change.map(|c| (c.ended(), c.why.clone()));
                match ended {
                    Some((Ended::InForce, _)) => (done.outcome, done.why) = (Outcome::InForce, String::new()),
                    Some((Ended::NotInForce, why)) => (done.outcome, done.why) = (Outcome::NotInForce, why),
                    Some(_) => {}
                    None => done.why = "control does not know this change: it has lost its store".to_owned(),
                }
                if done.outcome != Outcome::NotKnown {
                    break;
                }
                done.held_up = held(&status.blockers);
                let names: Vec<_> = done.held_up.iter().map(|h| (h.proxy.clone(), h.why.clone())).collect();
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
    async fn own(&mut self, files: &Files, revision: u64) -> Result<Option<u64>, Fault> {
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
    let mut files: Vec<PathBuf> =
        folder(path)?.into_keys().map(|name| path.join(format!("{name}.toml"))).collect();
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
            let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            files.insert(name.to_owned(), text);
        }
    }
    match files.is_empty() {
        true => Err(format!("{shown}: no file that ends in .toml")),
        false => Ok(files),
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
            let shown = diff.unified_diff().header(&format!("{name} (in force)"), name).to_string();
            text.push_str(&shown);
        }
    }
    text
}
