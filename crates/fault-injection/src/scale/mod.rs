//! Scale test: a fleet of production size on one machine. Control-plane replicas, a list service and some proxies run as
//! separate processes; most proxies are hollow, that is, tasks of a few processes that run the program's own control-plane
//! client without hosts and calls. The test measures the resource usage of each role. It checks that a policy change is in
//! force either everywhere or nowhere, that it takes effect in time, and that healthy proxies reject no calls.
//!
//! - [`layout`]: placement of proxies and replicas in regions, zones and racks.
//! - [`files`]: policies and configuration files.
//! - [`fleet`]: the processes; [`hollow`]: processes that run hollow proxies; [`list_service`]: the list service process.
//! - [`network`]: the links between the processes.
//! - [`schedule`], [`faults`]: the seeded fault schedule and its execution.
//! - [`usage`]: resource usage.
//! - [`publisher`]: publishes policies; [`cross_region`]: compares the outcomes of changes between regions.
//! - [`verdict`], [`run_report`]: evaluation of the records, and the report of a run.
//! - [`report`]: tables, linear fits and plots of several runs.

pub mod cross_region;
pub mod faults;
pub mod files;
pub mod fleet;
pub mod hollow;
pub mod layout;
pub mod list_service;
pub mod network;
pub mod publisher;
pub mod report;
pub mod run_report;
pub mod schedule;
pub mod usage;
pub mod verdict;

use crate::checker::StartRecord;
use crate::clients;
use badgerramp_config_tool::fleet::Outcome;
use badgerramp_policy::Micros;
use cross_region::{check_regions, CrossRegionOutcomes};
use files::ControlTimes;
use fleet::Fleet;
use layout::Size;
use publisher::{PublishScope, Publisher};
use run_report::{Changes, RunReport};
use schedule::FaultSchedule;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use usage::Reading;
use verdict::{Readiness, Rejections};

/// The programs of the fleet: for each role the executable, and the arguments that precede the role's own arguments.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The client proxy.
    pub proxy: (PathBuf, Vec<String>),
    /// A replica of the control plane.
    pub control: (PathBuf, Vec<String>),
    /// A process that runs hollow proxies.
    pub hollow: (PathBuf, Vec<String>),
    /// The list service.
    pub list: (PathBuf, Vec<String>),
}

/// Calls per second through each real proxy.
const CALLS_PER_SECOND: f64 = 10.0;
/// Pause between the end of a change and the next publish while clients call.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(3);

/// Attempts to bring the first policy into force.
const FIRST_POLICY_ATTEMPTS: usize = 4;

/// Executes one run.
///
/// # Errors
/// If the fleet could not be started or queried: the test itself failed, and its result says nothing about the program.
pub async fn run(
    programs: &Programs,
    size: Size,
    times: ControlTimes,
    schedule: &FaultSchedule,
) -> Result<RunReport, String> {
    let mut fleet = Fleet::start(programs, size, times, schedule.seed).await?;
    let mut publisher = Publisher::default();
    publish_first_policy(&mut publisher, &fleet).await?;
    fleet.start_proxies().await?;
    let leader = fleet.wait_until_settled().await?;

    tokio::time::sleep(schedule.settle).await;
    let before = Reading::take(&fleet).await;
    let end = Instant::now() + schedule.measurement_duration;
    tokio::time::sleep(schedule.measurement_duration / 3).await;
    publisher.publish(&fleet, PublishScope::All).await?;
    tokio::time::sleep_until(end).await;
    let usage = Reading::take(&fleet)
        .await
        .since(&before, (size.real, size.hollow()));

    let (stop, stopped) = watch::channel(false);
    let rate = CALLS_PER_SECOND * size.real.max(1) as f64;
    let addresses = Arc::clone(&fleet.addresses);
    let calls = clients::run(addresses, (&files::PATHS, rate), schedule.seed, stopped);
    let load = (size.real > 0).then(|| tokio::spawn(calls));
    let calls_started_at = Instant::now();
    let shared_fleet = Arc::new(fleet);
    let fault = tokio::spawn(faults::inject(
        Arc::clone(&shared_fleet),
        schedule.clone(),
        calls_started_at,
    ));
    let end = calls_started_at + schedule.call_duration;
    tokio::time::sleep_until(calls_started_at + schedule.from + schedule.from / 2).await;
    let mut scopes = scopes(size.regions).into_iter().cycle();
    while Instant::now() < end {
        publisher
            .publish(&shared_fleet, scopes.next().unwrap_or(PublishScope::All))
            .await?;
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
    fault.await.map_err(|e| e.to_string())??;
    let settled = shared_fleet.wait_until_settled().await;
    // All faults have ended, so this change has to come into force.
    let last = publisher.publish(&shared_fleet, PublishScope::All).await?;
    // The other regions learn the outcome from the first region.
    let settled = settled.and(shared_fleet.wait_until_settled().await);
    let _ = stop.send(true);
    let attempts = match load {
        Some(load) => load.await.map_err(|e| e.to_string())?,
        None => Vec::new(),
    };
    fleet = Arc::into_inner(shared_fleet).ok_or("the fleet is still in use by another task")?;

    let histories = cross_region::histories(&fleet).await?;
    let (starts, denied_spans, readiness) = collect_records(&mut fleet).await?;
    let executed: HashMap<String, u32> = fleet.hosts.executed();
    let is_healthy =
        |proxy: usize, from: Micros, until: Micros| readiness.is_healthy(proxy, from, until);
    let cross_region = CrossRegionOutcomes::of(&size, &histories, &starts);
    let verdict = check_regions(
        &size,
        (&publisher, &histories),
        (&starts, &attempts),
        &executed,
        is_healthy,
    );
    let rejections = Rejections::of(&size, &attempts, &denied_spans, &readiness);
    let unsettled = settled.err();
    Ok(RunReport::new(
        (size, times, schedule.clone()),
        (verdict, cross_region),
        (rejections, &readiness, unsettled),
        Changes::of(&publisher.published, last),
        (usage, leader),
    ))
}

/// Publishes until a policy is in force: a newly elected leader waits for the duration of a lease before its region votes.
async fn publish_first_policy(publisher: &mut Publisher, fleet: &Fleet) -> Result<(), String> {
    for _ in 0..FIRST_POLICY_ATTEMPTS {
        if publisher.publish(fleet, PublishScope::All).await? == Outcome::InForce {
            return Ok(());
        }
    }
    let why = publisher
        .published
        .last()
        .map_or("", |last| &last.record.why);
    Err(format!("the first policy did not come into force: {why}"))
}

/// The scopes of the policies that are published, in turn, while clients call.
fn scopes(regions: usize) -> Vec<PublishScope> {
    let mut scopes = vec![PublishScope::All];
    if regions > 1 {
        scopes.extend((0..regions).map(PublishScope::Region));
    }
    scopes
}

type Span = (usize, Micros, Micros);

/// Stops the fleet and collects the records of its proxies: calls that started, spans in which hollow proxies admitted
/// nothing although they had admitted calls before, and when restarted proxies were ready.
async fn collect_records(
    fleet: &mut Fleet,
) -> Result<(Vec<StartRecord>, Vec<Span>, Readiness), String> {
    let (mut starts, mut denied_spans) = (Vec::new(), Vec::new());
    for process in &fleet.hollow {
        let mut process = process.lock().await;
        process.report_admissions().await?;
        let events = process.events();
        if let Some(ended) = events
            .iter()
            .find(|e| matches!(e, hollow::Event::Ended { .. }))
        {
            return Err(format!("a hollow proxy ended without an order: {ended:?}"));
        }
        starts.extend(verdict::started_calls(&events));
        denied_spans.extend(verdict::denied_spans(&events));
    }
    let downtimes = fleet.downtimes();
    fleet.stop().await?;
    let mut logs: HashMap<usize, Vec<hollow::Line>> = HashMap::new();
    for proxy in (0..fleet.size.real).chain(downtimes.iter().map(|downtime| downtime.proxy)) {
        logs.insert(proxy, fleet.log(proxy).await);
    }
    for proxy in 0..fleet.size.real {
        starts.extend(
            logs[&proxy]
                .iter()
                .filter_map(|(_, line)| StartRecord::parse(proxy, line)),
        );
    }
    let readiness = Readiness::of(&downtimes, |proxy| {
        logs.get(&proxy).cloned().unwrap_or_default()
    });
    // A proxy is not healthy before its first lease.
    let first_starts: HashMap<usize, Micros> =
        starts.iter().fold(HashMap::new(), |mut first, start| {
            let at = first.entry(start.proxy).or_insert(start.at);
            *at = start.at.min(*at);
            first
        });
    denied_spans.retain(|span| first_starts.get(&span.0).is_some_and(|&at| span.1 > at));
    Ok((starts, denied_spans, readiness))
}
