//! `[policy]`: the way to the fleet's control. Questions, answers and the rules that come of them; what may begin is
//! decided by [`badgerramp_policy::Holder`].

use crate::class_ids::{seed, ClassIds};
use crate::net::admission_gate::AdmissionGate;
use crate::net::driver::Driver;
use crate::net::front::Front;
use crate::net::rules::{FallbackRules, Rules, Sidecar, TransitionRules};
use crate::program::Running;
use badgerramp_channel::wire::{self, refusal, reply, request};
use badgerramp_channel::{clock, digest, Client, Fault, Secret};
use badgerramp_config::{Config, PolicyTerms, Use};
use badgerramp_decisions::ClassId;
use badgerramp_policy::{Answered, CutOff, Generation, Holder, HolderTerms, Identity, Mode};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{debug, info, warn};

/// A question that control does not answer within this is given up. A round of it takes some milliseconds.
const ANSWER: Duration = Duration::from_secs(1);
/// Pause after one that came to nothing: an election takes a second or two, and a lease is thirds of seconds.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a program that ends may take to say so.
const LEAVE: Duration = Duration::from_millis(500);
/// Longest sleep at a time: the timers of the runtime stand still while the machine sleeps, leases don't.
const NAP: Duration = Duration::from_millis(500);

/// A generation that was read and found good.
struct Read {
    text: String,
    /// Taken by the rules once they are made.
    config: Option<Config>,
    rules: Option<Rc<Rules>>,
}

/// What of the policy is kept on disk: so that it need not be sent again, and as no licence to serve.
#[derive(Serialize, Deserialize)]
struct OnDisk {
    version: u32,
    application: String,
    texts: BTreeMap<u64, String>,
}

/// The proxy's part in the fleet's policy.
pub struct Fleet {
    gate: Rc<AdmissionGate>,
    identity: Identity,
    terms: PolicyTerms,
    secret: Secret,
    /// The proxy's own file.
    local: RefCell<Config>,
    places: RefCell<ClassIds>,
    read: RefCell<BTreeMap<Generation, Read>>,
    /// The mode whose rules are set.
    set: Cell<Option<Mode>>,
    news: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Fleet {
    /// The part of a proxy with this file of its own, whose classes have these places.
    ///
    /// # Errors
    /// If there is no `[policy]`, or its secret is none.
    pub fn new(local: Config, places: ClassIds) -> Result<Rc<Self>, String> {
        let terms = local.policy.clone().ok_or("no [policy]")?;
        let secret = Secret::read(&terms.secret)
            .map_err(|e| format!("policy.secret: {}: {e}", terms.secret.display()))?;
        let host = || rustix::system::uname().nodename().to_string_lossy().into_owned();
        let name = terms.name.clone().unwrap_or_else(host);
        let identity = Identity { name, incarnation: seed() };
        let kept = terms.state.as_deref().map(|folder| load(folder, &terms.application));
        let mut read = BTreeMap::new();
        match kept {
            Some(Ok(Some(kept))) => {
                for (generation, text) in kept.texts {
                    if let Ok(config) = parse(&text, &local) {
                        let config = Some(config);
                        read.insert(Generation(generation), Read { text, config, rules: None });
                    }
                }
            }
            Some(Err(fault)) => warn!("the policy on disk is not used: {fault}"),
            Some(Ok(None)) | None => {}
        }
        let holder =
            HolderTerms { cut_off: terms.cut_off, answer_within: micros(ANSWER), pause: micros(PAUSE) };
        let has = read.keys().copied().collect();
        let gate = AdmissionGate::new(Holder::new(identity.clone(), holder, has));
        info!("policy from control, as {identity}");
        Ok(Rc::new(Fleet {
            gate,
            identity,
            terms,
            secret,
            local: RefCell::new(local),
            places: RefCell::new(places),
            read: RefCell::new(read),
            set: Cell::new(None),
            news: Notify::new(),
            tasks: RefCell::default(),
        }))
    }

    /// What may begin.
    pub fn gate(&self) -> Rc<AdmissionGate> {
        Rc::clone(&self.gate)
    }

    fn client(&self) -> Client {
        Client::new(self.terms.control.clone(), self.secret.clone(), ANSWER)
    }

    /// Begins to ask.
    pub fn start(self: &Rc<Self>, running: &Running) {
        let (driver, front) = (running.driver.clone(), Rc::clone(&running.front));
        let (asks, hears) = (Rc::clone(self), Rc::clone(self));
        let tasks = [
            tokio::task::spawn_local(async move { asks.ask(driver, front).await }).abort_handle(),
            tokio::task::spawn_local(async move { hears.hear().await }).abort_handle(),
        ];
        self.tasks.borrow_mut().extend(tasks);
    }

    /// Tells control that this program has ended.
    pub async fn leave(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        if self.set.get().is_some() {
            let leave = request::What::Leave(self.identity.clone().into());
            let _ = tokio::time::timeout(LEAVE, self.client().ask_until(&leave, LEAVE)).await;
        }
    }

    /// Control's news are a hint to ask; without them the next question comes in its time.
    async fn hear(&self) {
        let mut client = self.client();
        loop {
            if let Ok(mut news) = client.news().await {
                while let Ok(revision) = news.next().await {
                    debug!("control is at revision {revision}");
                    self.news.notify_one();
                }
            }
            client.elsewhere();
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn ask(&self, driver: Driver, front: Rc<Front>) {
        let mut client = self.client();
        let mut told = String::new();
        loop {
            let (due, now) = (self.gate.holder().borrow().due(), clock::now());
            let Some(due) = due else { return std::future::pending().await };
            if now < due {
                let nap = Duration::from_micros(due - now).min(NAP);
                tokio::select! {
                    () = self.news.notified() => self.gate.holder().borrow_mut().news(clock::now()),
                    () = tokio::time::sleep(nap) => {}
                }
                continue;
            }
            let ask = self.gate.holder().borrow_mut().ask(clock::now());
            let ask = wire::Ask::of(ask, &self.terms.application).in_region(self.terms.region.as_ref());
            let ask = request::What::Ask(ask);
            let fault = match client.ask(&ask).await {
                Ok(reply::What::Grant(grant)) => self.granted(&grant, &driver, &front).err(),
                Ok(_) => Some("control answers oddly: no grant".to_owned()),
                Err(Fault::Refused(refusal)) if refusal.code() == refusal::Code::Evicted => {
                    self.gate.holder().borrow_mut().evict();
                    warn!("{}", refusal.text);
                    continue;
                }
                Err(fault) => Some(fault.to_string()),
            };
            match fault {
                // One line for as long as it stays so.
                Some(fault) => {
                    self.gate.holder().borrow_mut().came_to_nothing(clock::now());
                    if told != fault {
                        warn!("no lease: {fault}");
                        told = fault;
                    }
                }
                None if !told.is_empty() => {
                    info!("control answers again");
                    told.clear();
                }
                None => {}
            }
        }
    }

    /// Takes what control lends. What fails leaves all as it is.
    fn granted(&self, wire: &wire::Grant, driver: &Driver, front: &Front) -> Result<(), String> {
        let grant = wire.read().ok_or("control answers oddly: a grant without a mode")?;
        let mut holder = self.gate.holder().borrow_mut();
        let mut fresh = false;
        for text in &wire.texts {
            let generation = Generation(text.generation);
            match self.take(generation, text) {
                Ok(()) => {
                    holder.read(generation);
                    fresh = true;
                }
                Err(why) => {
                    warn!("{generation} can't be read: {why}");
                    holder.cannot_read(generation, why);
                }
            }
        }
        // A copy of another fleet's policy, or of one from before control lost its disk, has the same number only.
        let read = self.read.borrow();
        let same = |g: Generation| match (wire.digests.get(&g.0), read.get(&g)) {
            (Some(wanted), Some(read)) => *wanted == digest(&read.text),
            _ => true,
        };
        let Mode { old, new, .. } = grant.mode;
        holder.forget(|g| (g == old || g == new) && same(g));
        drop(read);
        let answered = holder.answered(clock::now(), grant);
        drop(holder);
        match answered {
            Answered::Taken { .. } => {
                if fresh || self.set.get() != Some(grant.mode) {
                    self.set(grant.mode, driver, front);
                    info!("policy: {}", grant.mode);
                }
            }
            Answered::Wants | Answered::Late => {}
        }
        Ok(())
    }

    /// Reads a text.
    fn take(&self, generation: Generation, text: &wire::Text) -> Result<(), String> {
        let application = &self.terms.application;
        let text = text.files.get(application);
        let text = text.ok_or_else(|| format!("it has no file for application {application:?}"))?;
        let config = parse(text, &self.local.borrow())?;
        let read = Read { text: text.clone(), config: Some(config), rules: None };
        self.read.borrow_mut().insert(generation, read);
        Ok(())
    }

    /// Sets the rules of a mode whose generations were read. From here on nothing fails.
    fn set(&self, mode: Mode, driver: &Driver, front: &Front) {
        let mut read = self.read.borrow_mut();
        read.retain(|&g, _| g == mode.old || g == mode.new);
        // A class keeps its number while it stays as it is: in the middle each generation has its own.
        let key = |class: &badgerramp_config::Class| format!("{} {:?}", class.name, class.class);
        let keys = |read: &Read| -> Vec<String> {
            let of = |config: &Config| config.classes.iter().map(key).collect();
            match (&read.config, read.rules.as_deref()) {
                (Some(config), _) => of(config),
                (None, Some(Rules::Sidecar(sidecar))) => of(sidecar.config()),
                _ => Vec::new(),
            }
        };
        let each: Vec<Vec<String>> = read.values().map(keys).collect();
        let all: BTreeSet<&str> = each.iter().flatten().map(String::as_str).collect();
        let all: Vec<&str> = all.into_iter().collect();
        let mut places = self.places.borrow_mut();
        let (numbers, fresh) = places.assign(&all, |class| driver.in_use(class));
        let number = |key: &String| all.iter().position(|k| k == key).and_then(|n| numbers.get(n)).copied();
        let mut settings = None;
        for (read, keys) in read.values_mut().zip(&each) {
            let numbers: Vec<ClassId> = keys.iter().filter_map(number).collect();
            if let Some(config) = read.config.take() {
                let sidecar = Sidecar::new(config, numbers.clone(), seed());
                read.rules = Some(Rc::new(Rules::Sidecar(Box::new(sidecar))));
            }
            if let Some(Rules::Sidecar(sidecar)) = read.rules.as_deref() {
                let (config, own) = (sidecar.config(), sidecar.config().settings());
                let classes = numbers.into_iter().zip(own.classes.iter().copied());
                let (base, most, advice, held) = settings.get_or_insert_with(|| {
                    (own.clone(), config.limits.open_calls, config.limits.retry_after, Vec::new())
                });
                base.limits.second_copies |= own.limits.second_copies;
                base.limits.max_attempts = base.limits.max_attempts.max(own.limits.max_attempts);
                *most = config.limits.open_calls.min(*most);
                // Of both the newer: it concerns only those that are refused.
                *advice = config.limits.retry_after;
                base.limits.max_retry_after = *advice;
                held.extend(classes);
            }
        }
        let rules = |g: Generation| read.get(&g).and_then(|r| r.rules.clone());
        let (Some(old), Some(new), Some((base, most, advice, classes))) =
            (rules(mode.old), rules(mode.new), settings)
        else {
            return;
        };
        driver.reconfigure(places.settings_with(base, &classes), fresh, most);
        front.advice.set(advice);
        let floor = match &*old {
            Rules::Sidecar(sidecar) => {
                let names = sidecar.config().policy.as_ref().map(|p| p.floor.as_slice());
                sidecar.class_ids(names.unwrap_or_default())
            }
            _ => Vec::new(),
        };
        let floor = Rc::new(Rules::Fallback(Box::new(FallbackRules::new(Rc::clone(&old), floor))));
        let rules = match mode.is_middle() {
            false => Some(old),
            true => {
                TransitionRules::between(old, new).map(|rules| Rc::new(Rules::Transition(Box::new(rules))))
            }
        };
        let Some(rules) = rules else { return };
        self.gate.install(mode, rules, floor);
        self.set.set(Some(mode));
        if let Some(folder) = self.terms.state.clone() {
            let texts = read.iter().map(|(g, r)| (g.0, r.text.clone())).collect();
            let kept = OnDisk { version: 1, application: self.terms.application.clone(), texts };
            // A slow disk must not hold calls up.
            tokio::task::spawn_blocking(move || {
                if let Err(fault) = save(&folder, &kept) {
                    warn!("{}: the policy could not be kept: {fault}", folder.display());
                }
            });
        }
    }

    /// The proxy's own file has changed.
    ///
    /// # Errors
    /// If what is held can't be read beside it. Nothing has changed then.
    pub fn localize(&self, local: Config, running: &Running) -> Result<(), String> {
        if local.policy.as_ref() != Some(&self.terms) {
            return Err("a running program can't change policy: start it anew".to_owned());
        }
        let mut anew = BTreeMap::new();
        for (&generation, read) in self.read.borrow().iter() {
            let config = Some(parse(&read.text, &local).map_err(|e| format!("{generation}: {e}"))?);
            anew.insert(generation, Read { text: read.text.clone(), config, rules: None });
        }
        *self.local.borrow_mut() = local;
        *self.read.borrow_mut() = anew;
        if let Some(mode) = self.set.get() {
            self.set(mode, &running.driver, &running.front);
        }
        Ok(())
    }

    /// The proxy's own file, as it holds.
    pub fn local(&self) -> std::cell::Ref<'_, Config> {
        self.local.borrow()
    }
}

/// Reads an application's file of a policy beside the proxy's own.
fn parse(text: &str, local: &Config) -> Result<Config, String> {
    let config = badgerramp_config::parse("policy", text).map_err(|mistakes| mistakes.line())?;
    if config.usage != Use::Alone {
        return Err("`platform = true` is for no sidecar".to_owned());
    }
    let narrow = local.policy.as_ref().is_some_and(|p| p.cut_off == CutOff::Narrow);
    if narrow && config.policy.as_ref().is_none_or(|p| p.floor.is_empty()) {
        return Err("this proxy's cut_off is \"narrow\", and the policy declares no floor".to_owned());
    }
    Ok(config.beside(local))
}

fn place(folder: &Path, application: &str) -> PathBuf {
    folder.join(format!("{application}.policy"))
}

/// What is on disk; `None`: nothing yet.
fn load(folder: &Path, application: &str) -> Result<Option<OnDisk>, String> {
    let path = place(folder, application);
    let shown = path.display();
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(format!("{shown}: {fault}")),
    };
    let text = std::str::from_utf8(&bytes).map_err(|_| format!("{shown}: damaged"))?;
    let (sum, body) = text.split_once('\n').ok_or_else(|| format!("{shown}: torn"))?;
    if hex(&digest(body)) != sum {
        return Err(format!("{shown}: damaged or torn: its checksum does not fit"));
    }
    let kept: OnDisk = serde_json::from_str(body).map_err(|e| format!("{shown}: {e}"))?;
    if kept.version != 1 || kept.application != application {
        return Err(format!("{shown}: of version {}, for {:?}", kept.version, kept.application));
    }
    Ok(Some(kept))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Whole or not at all, also when the machine stops in between.
fn save(folder: &Path, kept: &OnDisk) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let body = serde_json::to_string(kept)?;
    let path = place(folder, &kept.application);
    let torn = path.with_extension("new");
    let mut file = File::options().write(true).create(true).truncate(true).mode(0o600).open(&torn)?;
    write!(file, "{}\n{body}", hex(&digest(&body)))?;
    file.sync_all()?;
    fs::rename(&torn, &path)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_copy_on_disk_is_whole_or_is_not_used() {
        let folder = std::env::temp_dir().join(format!("badgerramp-fleet-{}", std::process::id()));
        assert!(load(&folder, "a").expect("nothing yet").is_none());
        let texts = BTreeMap::from([(3, "some text".to_owned())]);
        let kept = OnDisk { version: 1, application: "a".to_owned(), texts: texts.clone() };
        save(&folder, &kept).expect("written");
        assert_eq!(load(&folder, "a").expect("good").expect("there").texts, texts);
        let path = place(&folder, "a");
        let whole = fs::read(&path).expect("a file");
        for place in 0..whole.len() {
            fs::write(&path, &whole[..place]).expect("a file");
            assert!(load(&folder, "a").is_err(), "cut at {place}");
            let mut flipped = whole.clone();
            flipped[place] ^= 1;
            fs::write(&path, &flipped).expect("a file");
            assert!(load(&folder, "a").is_err(), "a bit at {place}");
        }
        fs::remove_dir_all(&folder).expect("a folder");
    }
}
