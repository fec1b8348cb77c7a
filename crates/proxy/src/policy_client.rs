//! `[policy]`: the way to the fleet's control. Questions, answers and the rules that come of them; what may begin is
//! decided by [`badgerramp_policy::LeaseHolder`].

use crate::class_ids::{seed, ClassIds};
use crate::net::admission_gate::AdmissionGate;
use crate::net::driver::Driver;
use crate::net::server::Server;
use crate::policy_copy::{self, PolicyCopy};
use crate::policy_rules::{floor_rules, mode_rules, Combined, MergedSettings, Read};
use crate::program::Running;
use badgerramp_config::{Config, Deployment, PolicySettings};
use badgerramp_control_protocol::wire::{self, rejection, reply, request};
use badgerramp_control_protocol::{clock, digest, Client, ClientError, SharedSecret};
use badgerramp_decisions::ClassId;
use badgerramp_policy::{
    Generation, GrantResult, Identity, LeaseGrant, LeaseHolder, LeaseHolderConfig, Mode,
    OnLeaseLoss,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
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

/// Asks control for a lease of the policy and installs the rules that are lent.
pub(crate) struct PolicyClient {
    gate: Rc<AdmissionGate>,
    identity: Identity,
    terms: PolicySettings,
    secret: SharedSecret,
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

impl PolicyClient {
    /// The part of a proxy with this file of its own, whose classes have these places.
    ///
    /// # Errors
    /// If there is no `[policy]`, or its secret is none.
    pub(crate) fn new(local: Config, places: ClassIds) -> Result<Rc<Self>, String> {
        let terms = local.policy.clone().ok_or("no [policy]")?;
        let secret = SharedSecret::read(&terms.secret)
            .map_err(|e| format!("policy.secret: {}: {e}", terms.secret.display()))?;
        let host = || {
            rustix::system::uname()
                .nodename()
                .to_string_lossy()
                .into_owned()
        };
        let name = terms.name.clone().unwrap_or_else(host);
        let identity = Identity {
            name,
            incarnation: seed(),
        };
        let copy = terms
            .state
            .as_deref()
            .map(|folder| policy_copy::load(folder, &terms.application));
        let mut read = BTreeMap::new();
        match copy {
            Some(Ok(Some(copy))) => {
                for (generation, text) in copy.into_texts() {
                    if let Ok(config) = parse(&text, &local) {
                        read.insert(Generation(generation), Read::new(text, config));
                    }
                }
            }
            Some(Err(fault)) => warn!("the policy on disk is not used: {fault}"),
            Some(Ok(None)) | None => {}
        }
        let holder = LeaseHolderConfig {
            on_lease_loss: terms.on_lease_loss,
            request_timeout: micros(ANSWER),
            retry_delay: micros(PAUSE),
        };
        let has = read.keys().copied().collect();
        let gate = AdmissionGate::new(LeaseHolder::new(identity.clone(), holder, has));
        info!("policy from control, as {identity}");
        Ok(Rc::new(PolicyClient {
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
    pub(crate) fn gate(&self) -> Rc<AdmissionGate> {
        Rc::clone(&self.gate)
    }

    fn client(&self) -> Client {
        Client::new(self.terms.control.clone(), self.secret.clone(), ANSWER)
    }

    /// Begins to ask.
    pub(crate) fn start(self: &Rc<Self>, running: &Running) {
        let (driver, server) = (running.driver.clone(), Rc::clone(&running.server));
        let (asks, hears) = (Rc::clone(self), Rc::clone(self));
        let tasks = [
            tokio::task::spawn_local(async move { asks.ask(driver, server).await }).abort_handle(),
            tokio::task::spawn_local(async move { hears.hear().await }).abort_handle(),
        ];
        self.tasks.borrow_mut().extend(tasks);
    }

    /// Tells control that this program has ended.
    pub(crate) async fn leave(&self) {
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        if self.set.get().is_some() {
            let leave = request::Kind::Unregister(self.identity.clone().into());
            let _ = tokio::time::timeout(LEAVE, self.client().call_with_retry(&leave, LEAVE)).await;
        }
    }

    /// Control's news are a hint to ask; without them the next question comes in its time.
    async fn hear(&self) {
        let mut client = self.client();
        loop {
            if let Ok(mut news) = client.watch_revisions().await {
                while let Ok(revision) = news.next().await {
                    debug!("control is at revision {revision}");
                    self.news.notify_one();
                }
            }
            client.try_next_replica();
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn ask(&self, driver: Driver, server: Rc<Server>) {
        let mut client = self.client();
        let mut told = String::new();
        loop {
            let (due, now) = (self.gate.holder().borrow().next_request_at(), clock::now());
            let Some(due) = due else {
                return std::future::pending().await;
            };
            if now < due {
                let nap = Duration::from_micros(due - now).min(NAP);
                tokio::select! {
                    () = self.news.notified() => self.gate.holder().borrow_mut().request_soon(clock::now()),
                    () = tokio::time::sleep(nap) => {}
                }
                continue;
            }
            let ask = self.gate.holder().borrow_mut().request(clock::now());
            let ask = wire::LeaseRequest::new(ask, &self.terms.application)
                .in_region(self.terms.region.as_ref());
            let ask = request::Kind::Lease(ask);
            let fault = match client.call(&ask).await {
                Ok(reply::Kind::Lease(grant)) => self.granted(&grant, &driver, &server).err(),
                Ok(_) => Some("control answers oddly: no grant".to_owned()),
                Err(ClientError::Rejected(rejection))
                    if rejection.code() == rejection::Code::Evicted =>
                {
                    self.gate.holder().borrow_mut().evict();
                    warn!("{}", rejection.message);
                    continue;
                }
                Err(fault) => Some(fault.to_string()),
            };
            match fault {
                // One line for as long as it stays so.
                Some(fault) => {
                    self.gate
                        .holder()
                        .borrow_mut()
                        .on_request_failed(clock::now());
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
    fn granted(
        &self,
        wire: &wire::LeaseGrant,
        driver: &Driver,
        server: &Server,
    ) -> Result<(), String> {
        let grant = LeaseGrant::try_from(wire)
            .map_err(|error| format!("control answers oddly: invalid grant: {error}"))?;
        let mut holder = self.gate.holder().borrow_mut();
        let mut fresh = false;
        for text in &wire.policies {
            let generation = Generation(text.generation);
            match self.take(generation, text) {
                Ok(()) => {
                    holder.accept_generation(generation);
                    fresh = true;
                }
                Err(why) => {
                    warn!("{generation} can't be read: {why}");
                    holder.reject_generation(generation, why);
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
        holder.retain_generations(|g| (g == old || g == new) && same(g));
        drop(read);
        let answered = holder.on_grant(clock::now(), grant);
        drop(holder);
        match answered {
            GrantResult::Accepted { .. } => {
                if fresh || self.set.get() != Some(grant.mode) {
                    self.set(grant.mode, driver, server);
                    info!("policy: {}", grant.mode);
                }
            }
            GrantResult::MissingGenerations | GrantResult::Ignored => {}
        }
        Ok(())
    }

    /// Reads a text.
    fn take(&self, generation: Generation, text: &wire::PolicyFiles) -> Result<(), String> {
        let application = &self.terms.application;
        let text = text.files.get(application);
        let text = text.ok_or_else(|| format!("it has no file for application {application:?}"))?;
        let config = parse(text, &self.local.borrow())?;
        self.read
            .borrow_mut()
            .insert(generation, Read::new(text.clone(), config));
        Ok(())
    }

    /// Sets the rules of a mode whose generations were read. From here on nothing fails.
    fn set(&self, mode: Mode, driver: &Driver, server: &Server) {
        let mut read = self.read.borrow_mut();
        read.retain(|&g, _| g == mode.old || g == mode.new);
        let Some(combined) = self.combine(&mut read, driver) else {
            return;
        };
        let rules_of = |generation: Generation| read.get(&generation).and_then(Read::rules);
        let (Some(old), Some(new)) = (rules_of(mode.old), rules_of(mode.new)) else {
            return;
        };
        let Combined {
            settings,
            fresh,
            open_calls,
            retry_after,
        } = combined;
        driver.reconfigure(settings, fresh, open_calls);
        server.default_retry_after.set(retry_after);
        let floor = floor_rules(&old);
        let Some(rules) = mode_rules(mode, old, new) else {
            return;
        };
        self.gate.install(mode, rules, floor);
        self.set.set(Some(mode));
        self.keep_copy(&read);
    }

    /// Makes the rules of all that was read, and the settings that hold for all of it.
    fn combine(&self, read: &mut BTreeMap<Generation, Read>, driver: &Driver) -> Option<Combined> {
        let keys: Vec<Vec<String>> = read.values().map(Read::class_keys).collect();
        let distinct: BTreeSet<&str> = keys.iter().flatten().map(String::as_str).collect();
        let distinct: Vec<&str> = distinct.into_iter().collect();
        let mut places = self.places.borrow_mut();
        let (numbers, fresh) = places.assign(&distinct, |class| driver.in_use(class));
        let number = |key: &String| {
            distinct
                .iter()
                .position(|k| k == key)
                .and_then(|n| numbers.get(n))
                .copied()
        };
        let mut merged: Option<MergedSettings> = None;
        for (read, keys) in read.values_mut().zip(&keys) {
            let numbers: Vec<ClassId> = keys.iter().filter_map(number).collect();
            read.make_rules(&numbers);
            let Some(config) = read.own_config() else {
                continue;
            };
            merged
                .get_or_insert_with(|| MergedSettings::of(config))
                .add(config, numbers);
        }
        let MergedSettings {
            settings,
            open_calls,
            retry_after,
            classes,
        } = merged?;
        let settings = places.settings_with(settings, &classes);
        Some(Combined {
            settings,
            fresh,
            open_calls,
            retry_after,
        })
    }

    /// Keeps what was read on disk, if the proxy has a folder for it.
    fn keep_copy(&self, read: &BTreeMap<Generation, Read>) {
        let Some(folder) = self.terms.state.clone() else {
            return;
        };
        let texts = read.iter().map(|(g, r)| (g.0, r.text.clone())).collect();
        let copy = PolicyCopy::new(self.terms.application.clone(), texts);
        // A slow disk must not hold calls up.
        tokio::task::spawn_blocking(move || {
            if let Err(fault) = policy_copy::save(&folder, &copy) {
                warn!(
                    "{}: the policy could not be kept: {fault}",
                    folder.display()
                );
            }
        });
    }

    /// The proxy's own file has changed.
    ///
    /// # Errors
    /// If what is held can't be read beside it. Nothing has changed then.
    pub(crate) fn localize(&self, local: Config, running: &Running) -> Result<(), String> {
        if local.policy.as_ref() != Some(&self.terms) {
            return Err("a running program can't change policy: start it anew".to_owned());
        }
        let mut anew = BTreeMap::new();
        for (&generation, read) in self.read.borrow().iter() {
            let config = parse(&read.text, &local).map_err(|e| format!("{generation}: {e}"))?;
            anew.insert(generation, Read::new(read.text.clone(), config));
        }
        *self.local.borrow_mut() = local;
        *self.read.borrow_mut() = anew;
        if let Some(mode) = self.set.get() {
            self.set(mode, &running.driver, &running.server);
        }
        Ok(())
    }

    /// The proxy's own file, as it holds.
    pub(crate) fn local(&self) -> std::cell::Ref<'_, Config> {
        self.local.borrow()
    }
}

/// Reads an application's file of a policy beside the proxy's own.
fn parse(text: &str, local: &Config) -> Result<Config, String> {
    let config =
        badgerramp_config::parse("policy", text).map_err(|mistakes| mistakes.to_single_line())?;
    if config.deployment != Deployment::Standalone {
        return Err("`platform = true` is for no sidecar".to_owned());
    }
    let narrow = local
        .policy
        .as_ref()
        .is_some_and(|p| p.on_lease_loss == OnLeaseLoss::Fallback);
    if narrow
        && config
            .policy
            .as_ref()
            .is_none_or(|p| p.fallback_classes.is_empty())
    {
        return Err(
            "this proxy's cut_off is \"narrow\", and the policy declares no floor".to_owned(),
        );
    }
    Ok(config.with_local_settings(local))
}
