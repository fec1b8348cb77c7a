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
    /// A change of all regions that lacks the vote of one by then comes to nothing.
    pub regions_wait_ms: u64,
}

impl Default for ControlTimes {
    /// The product's own.
    fn default() -> Self {
        ControlTimes {
            lease_ms: 10_000,
            wait_ms: 60_000,
            election_ms: 1_000,
            regions_wait_ms: 10_000,
        }
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

const LIMITS: &str =
    "[limits]\nmemory = \"64MiB\"\ndescriptors = 512\nopen_calls = 150\nbody = \"64KiB\"\n\
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
    /// The region of its control, where there are several.
    pub region: Option<usize>,
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
        let region = self.region.map_or_else(String::new, |number| {
            format!("region = \"{}\"\n", region(number))
        });
        format!(
            "listen = \"127.0.0.1:0\"\n{LIMITS}[log]\nformat = \"json\"\nlevel = \"info\"\nrate = 100000\n\
             targets = {{ \"badgerramp::begun\" = \"debug\" }}\n\
             [upstream]\ndiscovery = \"{}\"\nzone = \"zone-{}\"\nproxies = {}\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nsecret = \"{secret}\"\nfleet = \"trial\"\n\
             {DEFAULTS}[policy]\ncontrol = [{}]\nsecret = \"{secret}\"\napplication = \"{APPLICATION}\"\nname = \"{}\"\n\
             cut_off = \"refuse\"\n{region}{}{}",
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

/// The name of a region, in the order of their numbers.
pub fn region(number: usize) -> String {
    format!("region-{}", number + 1)
}

/// What the file of a replica names.
pub struct ReplicaFile<'a> {
    /// Its place among all replicas: its store is called after it.
    pub place: usize,
    /// Its number in its region, counted from 1.
    pub number: usize,
    /// The replicas of its region.
    pub replicas: &'a [SocketAddr],
    /// Its region, where there are several.
    pub region: Option<usize>,
    /// The other regions, and their replicas.
    pub others: &'a [(usize, Vec<SocketAddr>)],
    /// Times.
    pub times: ControlTimes,
}

impl ReplicaFile<'_> {
    /// The file's text.
    pub fn text(&self) -> String {
        let named = |(n, address): (usize, &SocketAddr)| format!("{} = \"{address}\"", n + 1);
        let named: Vec<String> = self.replicas.iter().enumerate().map(named).collect();
        let ControlTimes {
            lease_ms,
            wait_ms,
            election_ms,
            regions_wait_ms,
        } = self.times;
        let mut text = format!(
            "replica = {}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{}\"\n\
             secret = \"secret\"\nlease_ms = {lease_ms}\nwait_ms = {wait_ms}\nelection_ms = {election_ms}\n",
            self.number,
            named.join(", "),
            self.place
        );
        if let Some(own) = self.region {
            let _ = writeln!(
                text,
                "region = \"{}\"\nregions_wait_ms = {regions_wait_ms}",
                region(own)
            );
        }
        for (other, replicas) in self.others {
            let _ = writeln!(
                text,
                "[regions.{}]\nreplicas = [{}]",
                region(*other),
                quoted(replicas)
            );
        }
        text
    }
}
