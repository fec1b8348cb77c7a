//! A fleet of the users' size on one machine: replicas of control, a list service and some proxies as processes of their
//! own, and many proxies as tasks of a few processes ("hollow" proxies: the program's own code of what control costs,
//! without hosts and calls). Measured is what each role spends; judged is whether a change of policy holds everywhere or
//! nowhere, in its time, and whether calls are refused by proxies that are well.
//!
//! - [`layout`]: regions, zones and racks.
//! - [`files`]: policy and configurations.
//! - [`fleet`]: the processes; [`hollow`]: those with many proxies; [`list_service`].
//! - [`wiring`]: all ways between them.
//! - [`course`], [`faults`]: what goes wrong.
//! - [`meters`]: what is spent.
//! - [`publisher`]: changes of the policy; [`across`]: how they ended in several regions.
//! - [`verdict`], [`played`]: what broke, and all that a course came to.
//! - [`report`]: tables, fits and plots.

pub mod across;
pub mod course;
pub mod faults;
pub mod files;
pub mod fleet;
pub mod hollow;
pub mod layout;
pub mod list_service;
pub mod meters;
pub mod played;
pub mod publisher;
pub mod report;
pub mod verdict;
pub mod wiring;

use crate::checker::StartRecord;
use crate::clients;
use across::{judge_regions, Across};
use badgerramp_config_tool::fleet::Outcome;
use badgerramp_policy::Micros;
use course::Course;
use files::ControlTimes;
use fleet::Fleet;
use layout::Size;
use meters::Reading;
use played::{Changes, Played};
use publisher::{For, Publisher};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use verdict::{Ready, Refused};

/// How the programs are started: each the program, and what stands before its own arguments.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The client proxy.
    pub proxy: (PathBuf, Vec<String>),
    /// A replica of control.
    pub control: (PathBuf, Vec<String>),
    /// A process for hollow proxies.
    pub hollow: (PathBuf, Vec<String>),
    /// The list service.
    pub list: (PathBuf, Vec<String>),
}

/// Calls a second through each real proxy.
const RATE: f64 = 10.0;
/// Between the end of a change and the next publish while clients call.
const PUBLISH_PAUSE: Duration = Duration::from_secs(3);

/// Tries to bring the first policy into force.
const FIRST_TRIES: usize = 4;

/// Plays one course.
///
/// # Errors
/// If the fleet could not be started or asked: the trial itself failed, and says nothing of the program.
pub async fn play(
    programs: &Programs,
    size: Size,
    times: ControlTimes,
    course: &Course,
) -> Result<Played, String> {
    let mut fleet = Fleet::start(programs, size, times, course.seed).await?;
    let mut publisher = Publisher::default();
    first_policy(&mut publisher, &fleet).await?;
    fleet.start_proxies().await?;
    let leader = fleet.settled().await?;

    tokio::time::sleep(course.settle).await;
    let before = Reading::take(&fleet).await;
    let end = Instant::now() + course.measured;
    tokio::time::sleep(course.measured / 3).await;
    publisher.publish(&fleet, For::All).await?;
    tokio::time::sleep_until(end).await;
    let cost = Reading::take(&fleet)
        .await
        .since(&before, (size.real, size.hollow()));

    let (stop, stopped) = watch::channel(false);
    let rate = RATE * size.real.max(1) as f64;
    let addresses = Arc::clone(&fleet.addresses);
    let calls = clients::run(addresses, (&files::PATHS, rate), course.seed, stopped);
    let load = (size.real > 0).then(|| tokio::spawn(calls));
    let began = Instant::now();
    let shared = Arc::new(fleet);
    let fault = tokio::spawn(faults::inflict(Arc::clone(&shared), course.clone(), began));
    let end = began + course.called;
    tokio::time::sleep_until(began + course.from + course.from / 2).await;
    let mut scopes = scopes(size.regions).into_iter().cycle();
    while Instant::now() < end {
        publisher
            .publish(&shared, scopes.next().unwrap_or(For::All))
            .await?;
        tokio::time::sleep(PUBLISH_PAUSE).await;
    }
    fault.await.map_err(|e| e.to_string())??;
    let settled = shared.settled().await;
    // All is well again: a change comes into force.
    let last = publisher.publish(&shared, For::All).await?;
    // Other regions hear of its end from the first.
    let settled = settled.and(shared.settled().await);
    let _ = stop.send(true);
    let tries = match load {
        Some(load) => load.await.map_err(|e| e.to_string())?,
        None => Vec::new(),
    };
    fleet = Arc::into_inner(shared).ok_or("the fleet is in use")?;

    let histories = across::histories(&fleet).await?;
    let (lines, closed, ready) = notes(&mut fleet).await?;
    let executed: HashMap<String, u32> = fleet.hosts.executed();
    let well = |proxy: usize, from: Micros, until: Micros| ready.well(proxy, from, until);
    let across = Across::of(&size, &histories, &lines);
    let verdict = judge_regions(
        &size,
        (&publisher, &histories),
        (&lines, &tries),
        &executed,
        well,
    );
    let refused = Refused::of(&size, &tries, &closed, &ready);
    let why_not_settled = settled.err();
    Ok(Played::new(
        (size, times, course.clone()),
        (verdict, across),
        (refused, &ready, why_not_settled),
        Changes::of(&publisher.published, last),
        (cost, leader),
    ))
}

/// Publishes until a policy is in force: leaders that were just elected wait for a lease before a region votes.
async fn first_policy(publisher: &mut Publisher, fleet: &Fleet) -> Result<(), String> {
    for _ in 0..FIRST_TRIES {
        if publisher.publish(fleet, For::All).await? == Outcome::InForce {
            return Ok(());
        }
    }
    let why = publisher
        .published
        .last()
        .map_or("", |last| &last.heard.why);
    Err(format!("the first policy did not come into force: {why}"))
}

/// For whom policies are published while clients call, in turn.
fn scopes(regions: usize) -> Vec<For> {
    let mut scopes = vec![For::All];
    if regions > 1 {
        scopes.extend((0..regions).map(For::Region));
    }
    scopes
}

type Span = (usize, Micros, Micros);

/// Ends the fleet, and gathers what its proxies noted: calls that began, spans in which hollow ones admitted nothing
/// though they had before, and when those that were started again were ready.
async fn notes(fleet: &mut Fleet) -> Result<(Vec<StartRecord>, Vec<Span>, Ready), String> {
    let (mut lines, mut closed) = (Vec::new(), Vec::new());
    for process in &fleet.hollow {
        let mut process = process.lock().await;
        process.tell().await?;
        let events = process.events();
        if let Some(ended) = events
            .iter()
            .find(|e| matches!(e, hollow::Event::Ended { .. }))
        {
            return Err(format!("a hollow proxy ended by itself: {ended:?}"));
        }
        lines.extend(verdict::begun(&events));
        closed.extend(verdict::closed(&events));
    }
    let downs = fleet.down();
    fleet.stop().await?;
    let mut logs: HashMap<usize, Vec<hollow::Line>> = HashMap::new();
    for proxy in (0..fleet.size.real).chain(downs.iter().map(|down| down.proxy)) {
        logs.insert(proxy, fleet.log(proxy).await);
    }
    for proxy in 0..fleet.size.real {
        lines.extend(
            logs[&proxy]
                .iter()
                .filter_map(|(_, line)| StartRecord::parse(proxy, line)),
        );
    }
    let ready = Ready::of(&downs, |proxy| {
        logs.get(&proxy).cloned().unwrap_or_default()
    });
    // Before its first lease a proxy has not been well yet.
    let opened: HashMap<usize, Micros> = lines.iter().fold(HashMap::new(), |mut first, line| {
        let at = first.entry(line.proxy).or_insert(line.at);
        *at = line.at.min(*at);
        first
    });
    closed.retain(|span| opened.get(&span.0).is_some_and(|&at| span.1 > at));
    Ok((lines, closed, ready))
}
