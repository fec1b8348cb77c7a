//! The files of a fleet: the policy, a proxy's own, a replica's.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// The name of the policy's application.
pub const APPLICATION: &str = "caja";
/// Services that the policy speaks of.
const SERVICES: usize = 22;
/// Paths that the trial's clients call.
pub const PATHS: [&str; 2] = ["/service-1", "/service-2"];

/// What a trial's replicas go by, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ControlTimes {
    /// How long a mode is lent.
    pub lease_ms: u64,
    /// A change that is not in force by then comes to nothing.
    pub wait_ms: u64,
    /// A leader that is silent for so long is replaced, at the least.
    pub election_ms: u64,
}

impl Default for ControlTimes {
    /// The product's own.
    fn default() -> Self {
        ControlTimes { lease_ms: 10_000, wait_ms: 60_000, election_ms: 1_000 }
    }
}

fn quoted(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    quoted.join(", ")
}

/// The classes and routes of a policy. Policies with different numbers differ in the first service's worth.
fn classes(number: usize) -> String {
    let mut text = String::new();
    for service in 1..=SERVICES {
        let worth = if service == 1 { 2 + number % 7 } else { 1 };
        let _ = write!(
            text,
            "[class.service-{service}]\naim = \"500ms\"\ndeadline = \"1200ms\"\nworth = {worth}\nlate_worth = 0\n\
             effect = \"unsafe\"\nattempts = 3\nattempt = \"350ms\"\n"
        );
    }
    text
}

fn routes() -> String {
    let mut text = String::new();
    for service in 1..=SERVICES {
        let _ = write!(
            text,
            "[[route]]\nname = \"service-{service}\"\npath = \"/service-{service}\"\nmethods = [\"POST\"]\n\
             class = \"service-{service}\"\n"
        );
    }
    text
}

const LIMITS: &str = "[limits]\nmemory = \"64MiB\"\ndescriptors = 512\nopen_calls = 150\nbody = \"64KiB\"\n\
                      retry_after = \"1s\"\n";
const DEFAULTS: &str = "[defaults]\nconnect = \"250ms\"\nsecond_copy = \"off\"\n";

/// The policy of this number, as it is published.
pub fn policy(number: usize) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n{LIMITS}[upstream]\nendpoints = [{{ name = \"s-1\", address = \"127.0.0.1:9001\" }}]\n\
         {DEFAULTS}[policy]\ncontrol = [\"127.0.0.1:1\"]\nsecret = \"secret\"\napplication = \"{APPLICATION}\"\n{}{}",
        classes(number),
        routes()
    )
}

/// What a proxy's own file names.
pub struct ProxyFile<'a> {
    /// Its name.
    pub name: &'a str,
    /// The zone that it stands in.
    pub zone: usize,
    /// Proxies of the fleet.
    pub proxies: usize,
    /// Replicas of control.
    pub control: &'a [SocketAddr],
    /// The list service.
    pub list: SocketAddr,
    /// Where other proxies reach it.
    pub advertise: SocketAddr,
    /// Where it meets others.
    pub seeds: &'a [SocketAddr],
    /// What all share.
    pub secret: &'a Path,
}

impl ProxyFile<'_> {
    /// The file's text.
    pub fn text(&self) -> String {
        let secret = self.secret.display();
        format!(
            "listen = \"127.0.0.1:0\"\n{LIMITS}[log]\nformat = \"json\"\nlevel = \"info\"\nrate = 100000\n\
             targets = {{ \"badgerramp::begun\" = \"debug\" }}\n\
             [upstream]\ndiscovery = \"{}\"\nzone = \"zone-{}\"\nproxies = {}\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nsecret = \"{secret}\"\nfleet = \"trial\"\n\
             {DEFAULTS}[policy]\ncontrol = [{}]\nsecret = \"{secret}\"\napplication = \"{APPLICATION}\"\nname = \"{}\"\n\
             cut_off = \"refuse\"\n{}{}",
            self.list,
            self.zone,
            self.proxies,
            self.advertise,
            quoted(self.seeds),
            quoted(self.control),
            self.name,
            classes(0),
            routes()
        )
    }
}

/// The file of replica `number`, counted from 1.
pub fn replica(number: usize, replicas: &[SocketAddr], times: ControlTimes) -> String {
    let named = |(n, address): (usize, &SocketAddr)| format!("{} = \"{address}\"", n + 1);
    let named: Vec<String> = replicas.iter().enumerate().map(named).collect();
    let ControlTimes { lease_ms, wait_ms, election_ms } = times;
    format!(
        "replica = {number}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{number}\"\n\
         secret = \"secret\"\nlease_ms = {lease_ms}\nwait_ms = {wait_ms}\nelection_ms = {election_ms}\n",
        named.join(", ")
    )
}
