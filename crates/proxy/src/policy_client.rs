//! The client of the control plane, for proxies with `[policy]`: it requests leases and installs the rules of the granted
//! mode. [`badgerramp_policy::LeaseHolder`] decides which calls are admitted.

use crate::class_ids::{seed, ClassIds};
use crate::net::admission_gate::AdmissionGate;
use crate::net::driver::Driver;
use crate::net::server::Server;
use crate::policy_copy::{self, PolicyCopy};
use crate::policy_rules::{
    fallback_rules, mode_rules, CombinedSettings, LoadedGeneration, MergedSettings,
};
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

/// Time-out of a request to the control plane, which normally answers within milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed request. Short, because a lease lasts a fraction of a second; an election takes a second or two.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time that an ending program may spend on unregistering.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest single sleep. The timers of the runtime stop while the machine is suspended, but leases go on expiring.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Requests leases from the control plane and installs the rules of the granted mode.
pub(crate) struct PolicyClient {
    gate: Rc<AdmissionGate>,
    /// The name of this proxy and the random incarnation of this process.
    identity: Identity,
    terms: PolicySettings,
    secret: SharedSecret,
    /// The operator's file of this proxy.
    local_config: RefCell<Config>,
    class_ids: RefCell<ClassIds>,
    /// The generations that this proxy holds.
    loaded: RefCell<BTreeMap<Generation, LoadedGeneration>>,
    /// The mode whose rules are installed; `None` until the first lease.
    installed_mode: Cell<Option<Mode>>,
    /// Notified when the control plane announces a new revision.
    revision_changed: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl PolicyClient {
    /// Creates the client of a proxy with this operator's file, whose classes have these ids. Loads the copy of the policy on
    /// disk, if there is one.
    ///
    /// # Errors
    /// If the file has no `[policy]`, or its secret can't be read.
    pub(crate) fn new(local_config: Config, class_ids: ClassIds) -> Result<Rc<Self>, String> {
        let terms = local_config.policy.clone().ok_or("no [policy]")?;
        let secret = SharedSecret::read(&terms.secret)
            .map_err(|e| format!("policy.secret: {}: {e}", terms.secret.display()))?;
        let host_name = || {
            rustix::system::uname()
                .nodename()
                .to_string_lossy()
                .into_owned()
        };
        let name = terms.name.clone().unwrap_or_else(host_name);
        let identity = Identity {
            name,
            incarnation: seed(),
        };
        let copy = terms
            .state
            .as_deref()
            .map(|directory| policy_copy::load(directory, &terms.application));
        let mut loaded = BTreeMap::new();
        match copy {
            Some(Ok(Some(copy))) => {
                for (generation, text) in copy.into_texts() {
                    if let Ok(config) = parse(&text, PolicyOrigin::InForce, &local_config) {
                        loaded.insert(Generation(generation), LoadedGeneration::new(text, config));
                    }
                }
            }
            Some(Err(error)) => warn!("ignoring the policy copy on disk: {error}"),
            Some(Ok(None)) | None => {}
        }
        let holder = LeaseHolderConfig {
            on_lease_loss: terms.on_lease_loss,
            request_timeout: micros(REQUEST_TIMEOUT),
            retry_delay: micros(RETRY_DELAY),
        };
        let loaded_generations = loaded.keys().copied().collect();
        let gate = AdmissionGate::new(LeaseHolder::new(
            identity.clone(),
            holder,
            loaded_generations,
        ));
        info!("policy from control, as {identity}");
        Ok(Rc::new(PolicyClient {
            gate,
            identity,
            terms,
            secret,
            local_config: RefCell::new(local_config),
            class_ids: RefCell::new(class_ids),
            loaded: RefCell::new(loaded),
            installed_mode: Cell::new(None),
            revision_changed: Notify::new(),
            tasks: RefCell::default(),
        }))
    }

    /// Returns the gate that admits calls.
    pub(crate) fn gate(&self) -> Rc<AdmissionGate> {
        Rc::clone(&self.gate)
    }

    fn client(&self) -> Client {
        Client::new(
            self.terms.control.clone(),
            self.secret.clone(),
            REQUEST_TIMEOUT,
        )
    }

    /// Starts the tasks that request leases and watch for new revisions.
    pub(crate) fn start(self: &Rc<Self>, running: &Running) {
        let (driver, server) = (running.driver.clone(), Rc::clone(&running.server));
        let (lease_task, watch_task) = (Rc::clone(self), Rc::clone(self));
        let tasks = [
            tokio::task::spawn_local(async move { lease_task.hold_lease(driver, server).await })
                .abort_handle(),
            tokio::task::spawn_local(async move { watch_task.follow_revisions().await })
                .abort_handle(),
        ];
        self.tasks.borrow_mut().extend(tasks);
    }

    /// Unregisters this program from the control plane, if it was ever granted a lease.
    pub(crate) async fn unregister(&self) {
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        if self.installed_mode.get().is_some() {
            let unregister = request::Kind::Unregister(self.identity.clone().into());
            let _ = tokio::time::timeout(
                UNREGISTER_TIMEOUT,
                self.client()
                    .call_with_retry(&unregister, UNREGISTER_TIMEOUT),
            )
            .await;
        }
    }

    /// Watches the revisions of the control plane. A new revision only brings the next lease request forward; without it the
    /// request is sent when the lease needs renewal.
    async fn follow_revisions(&self) {
        let mut client = self.client();
        loop {
            if let Ok(mut revisions) = client.watch_revisions().await {
                while let Ok(revision) = revisions.next().await {
                    debug!("control plane is at revision {revision}");
                    self.revision_changed.notify_one();
                }
            }
            client.try_next_replica();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Requests and renews the lease, until this proxy is evicted or the task is aborted.
    async fn hold_lease(&self, driver: Driver, server: Rc<Server>) {
        let mut client = self.client();
        let mut last_error = String::new();
        loop {
            let (request_at, now) = (self.gate.holder().borrow().next_request_at(), clock::now());
            let Some(request_at) = request_at else {
                return std::future::pending().await;
            };
            if now < request_at {
                let sleep = Duration::from_micros(request_at - now).min(MAX_SLEEP);
                tokio::select! {
                    () = self.revision_changed.notified() => self.gate.holder().borrow_mut().request_soon(clock::now()),
                    () = tokio::time::sleep(sleep) => {}
                }
                continue;
            }
            let request = self.gate.holder().borrow_mut().request(clock::now());
            let request = wire::LeaseRequest::new(request, &self.terms.application)
                .in_region(self.terms.region.as_ref());
            let request = request::Kind::Lease(request);
            let error = match client.call(&request).await {
                Ok(reply::Kind::Lease(grant)) => self.on_grant(&grant, &driver, &server).err(),
                Ok(_) => {
                    Some("unexpected reply from the control plane: not a lease grant".to_owned())
                }
                Err(ClientError::Rejected(rejection))
                    if rejection.code() == rejection::Code::Evicted =>
                {
                    self.gate.holder().borrow_mut().evict();
                    warn!("{}", rejection.message);
                    continue;
                }
                Err(error) => Some(error.to_string()),
            };
            match error {
                // An error that repeats is logged once.
                Some(error) => {
                    self.gate
                        .holder()
                        .borrow_mut()
                        .on_request_failed(clock::now());
                    if last_error != error {
                        warn!("lease request failed: {error}");
                        last_error = error;
                    }
                }
                None if !last_error.is_empty() => {
                    info!("lease requests succeed again");
                    last_error.clear();
                }
                None => {}
            }
        }
    }

    /// Handles a grant: loads the policies that it carries and installs the rules of its mode. On an error the installed rules
    /// stay.
    fn on_grant(
        &self,
        wire: &wire::LeaseGrant,
        driver: &Driver,
        server: &Server,
    ) -> Result<(), String> {
        let grant = LeaseGrant::try_from(wire)
            .map_err(|error| format!("invalid lease grant from the control plane: {error}"))?;
        let mut holder = self.gate.holder().borrow_mut();
        let mut newly_loaded = false;
        for text in &wire.policies {
            let generation = Generation(text.generation);
            let origin = if generation == grant.mode.old {
                PolicyOrigin::InForce
            } else {
                PolicyOrigin::Published
            };
            match self.load_generation(generation, text, origin) {
                Ok(()) => {
                    holder.accept_generation(generation);
                    newly_loaded = true;
                }
                Err(reason) => {
                    warn!("rejected {generation}: {reason}");
                    holder.reject_generation(generation, reason);
                }
            }
        }
        // Equal generation numbers do not prove equal policies: the copy may be of another fleet, or be older than a loss of
        // the control plane's disk. The digest tells.
        let loaded = self.loaded.borrow();
        let is_current = |g: Generation| match (wire.digests.get(&g.0), loaded.get(&g)) {
            (Some(expected), Some(loaded)) => *expected == digest(&loaded.text),
            _ => true,
        };
        let Mode { old, new, .. } = grant.mode;
        holder.retain_generations(|g| (g == old || g == new) && is_current(g));
        drop(loaded);
        let result = holder.on_grant(clock::now(), grant);
        drop(holder);
        match result {
            GrantResult::Accepted { .. } => {
                if newly_loaded || self.installed_mode.get() != Some(grant.mode) {
                    self.install(grant.mode, driver, server);
                    info!("policy: {}", grant.mode);
                }
            }
            GrantResult::MissingGenerations | GrantResult::Ignored => {}
        }
        Ok(())
    }

    /// Parses this application's file of a policy and keeps it as `generation`.
    fn load_generation(
        &self,
        generation: Generation,
        text: &wire::PolicyFiles,
        origin: PolicyOrigin,
    ) -> Result<(), String> {
        let application = &self.terms.application;
        let text = text.files.get(application);
        let text =
            text.ok_or_else(|| format!("the policy has no file for application {application:?}"))?;
        let config = parse(text, origin, &self.local_config.borrow())?;
        self.loaded
            .borrow_mut()
            .insert(generation, LoadedGeneration::new(text.clone(), config));
        Ok(())
    }

    /// Installs the rules of a mode whose generations are loaded. Does nothing if one is missing.
    fn install(&self, mode: Mode, driver: &Driver, server: &Server) {
        let mut loaded = self.loaded.borrow_mut();
        loaded.retain(|&g, _| g == mode.old || g == mode.new);
        let Some(combined) = self.combine_settings(&mut loaded, driver) else {
            return;
        };
        let rules_of =
            |generation: Generation| loaded.get(&generation).and_then(LoadedGeneration::rules);
        let (Some(old), Some(new)) = (rules_of(mode.old), rules_of(mode.new)) else {
            return;
        };
        let CombinedSettings {
            settings,
            reassigned_ids,
            open_calls,
            retry_after,
        } = combined;
        driver.reconfigure(settings, reassigned_ids, open_calls);
        server.default_retry_after.set(retry_after);
        let fallback = fallback_rules(&old);
        let Some(rules) = mode_rules(mode, old, new) else {
            return;
        };
        self.gate.install(mode, rules, fallback);
        self.installed_mode.set(Some(mode));
        self.save_copy(&loaded);
    }

    /// Builds the rules of all loaded generations, and the settings that suit all of them.
    fn combine_settings(
        &self,
        loaded: &mut BTreeMap<Generation, LoadedGeneration>,
        driver: &Driver,
    ) -> Option<CombinedSettings> {
        let keys: Vec<Vec<String>> = loaded.values().map(LoadedGeneration::class_keys).collect();
        let distinct: BTreeSet<&str> = keys.iter().flatten().map(String::as_str).collect();
        let distinct: Vec<&str> = distinct.into_iter().collect();
        let mut class_ids = self.class_ids.borrow_mut();
        let (ids, reassigned_ids) = class_ids.assign(&distinct, |class| driver.in_use(class));
        let id_of = |key: &String| {
            distinct
                .iter()
                .position(|k| k == key)
                .and_then(|n| ids.get(n))
                .copied()
        };
        let mut merged: Option<MergedSettings> = None;
        for (generation, keys) in loaded.values_mut().zip(&keys) {
            let ids: Vec<ClassId> = keys.iter().filter_map(id_of).collect();
            generation.make_rules(&ids);
            let Some(config) = generation.rules_config() else {
                continue;
            };
            merged
                .get_or_insert_with(|| MergedSettings::new(config))
                .add(config, ids);
        }
        let MergedSettings {
            settings,
            open_calls,
            retry_after,
            classes,
        } = merged?;
        let settings = class_ids.settings_with(settings, &classes);
        Some(CombinedSettings {
            settings,
            reassigned_ids,
            open_calls,
            retry_after,
        })
    }

    /// Saves the loaded generations to disk, if the proxy has a state directory.
    fn save_copy(&self, loaded: &BTreeMap<Generation, LoadedGeneration>) {
        let Some(directory) = self.terms.state.clone() else {
            return;
        };
        let texts = loaded.iter().map(|(g, r)| (g.0, r.text.clone())).collect();
        let copy = PolicyCopy::new(self.terms.application.clone(), texts);
        // On the blocking pool, so that a slow disk does not delay calls.
        tokio::task::spawn_blocking(move || {
            if let Err(error) = policy_copy::save(&directory, &copy) {
                warn!(
                    "{}: failed to save the policy copy: {error}",
                    directory.display()
                );
            }
        });
    }

    /// Replaces the operator's file of this proxy, and installs the rules anew.
    ///
    /// # Errors
    /// If `[policy]` differs, or a loaded generation does not fit the new file. Nothing changes then.
    pub(crate) fn set_local_config(
        &self,
        local_config: Config,
        running: &Running,
    ) -> Result<(), String> {
        if local_config.policy.as_ref() != Some(&self.terms) {
            return Err("a running program can't change policy: restart it".to_owned());
        }
        let mut reparsed = BTreeMap::new();
        for (&generation, loaded) in self.loaded.borrow().iter() {
            // It was checked when it was loaded.
            let config = parse(&loaded.text, PolicyOrigin::InForce, &local_config)
                .map_err(|e| format!("{generation}: {e}"))?;
            reparsed.insert(
                generation,
                LoadedGeneration::new(loaded.text.clone(), config),
            );
        }
        *self.local_config.borrow_mut() = local_config;
        *self.loaded.borrow_mut() = reparsed;
        if let Some(mode) = self.installed_mode.get() {
            self.install(mode, &running.driver, &running.server);
        }
        Ok(())
    }

    /// Returns the operator's file of this proxy that is in effect.
    pub(crate) fn local_config(&self) -> std::cell::Ref<'_, Config> {
        self.local_config.borrow()
    }
}

/// Where a policy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PolicyOrigin {
    /// It has been published and is not in force yet.
    Published,
    /// It is or was in force, maybe since an earlier release.
    InForce,
}

/// Parses an application's file of a policy and completes it with the settings of the proxy's own file.
fn parse(text: &str, origin: PolicyOrigin, local_config: &Config) -> Result<Config, String> {
    let config = match origin {
        PolicyOrigin::Published => badgerramp_config::parse("policy", text),
        PolicyOrigin::InForce => badgerramp_config::parse_stored("policy", text),
    };
    let config = config.map_err(|mistakes| mistakes.to_single_line())?;
    for warning in &config.warnings {
        warn!("policy: {warning}");
    }
    if config.deployment != Deployment::Standalone {
        return Err("a policy can't have `platform = true`: it is for sidecars".to_owned());
    }
    let needs_fallback = local_config
        .policy
        .as_ref()
        .is_some_and(|p| p.on_lease_loss == OnLeaseLoss::Fallback);
    if needs_fallback
        && config
            .policy
            .as_ref()
            .is_none_or(|p| p.fallback_classes.is_empty())
    {
        return Err(
            "this proxy's cut_off is \"narrow\", and the policy declares no floor".to_owned(),
        );
    }
    let config = config.with_local_settings(local_config);
    match config.missing_dedup_scope() {
        Some(missing) => Err(missing.to_string()),
        None => Ok(config),
    }
}
