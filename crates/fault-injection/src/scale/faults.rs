//! Injects the fault of a run.

use super::fleet::Fleet;
use super::schedule::{FaultSchedule, Kind};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between the restarts of two proxies.
const RESTART_INTERVAL: Duration = Duration::from_millis(200);

/// Injects the scheduled fault; its times count from `began`.
///
/// # Errors
/// If a process can't be stopped or started.
pub async fn inject(
    fleet: Arc<Fleet>,
    schedule: FaultSchedule,
    calls_started_at: Instant,
) -> Result<(), String> {
    let Some(kind) = schedule.fault else {
        return Ok(());
    };
    tokio::time::sleep_until(calls_started_at + schedule.from).await;
    match kind {
        Kind::Restart => restart_each(&fleet, &schedule.proxies).await,
        Kind::Machines => kill_all(&fleet, &schedule).await,
        Kind::Rack | Kind::Zone => {
            kill_all(&fleet, &schedule).await?;
            tokio::time::sleep_until(calls_started_at + schedule.until).await;
            restart_all(&fleet, &schedule).await
        }
        Kind::CutRegion => {
            fleet.network.cut_first_region(true);
            tokio::time::sleep_until(calls_started_at + schedule.until).await;
            fleet.network.cut_first_region(false);
            Ok(())
        }
    }
}

async fn restart_each(fleet: &Fleet, proxies: &[usize]) -> Result<(), String> {
    for &proxy in proxies {
        fleet.terminate_proxy(proxy).await?;
        fleet.restart_proxy(proxy).await?;
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
    Ok(())
}

async fn kill_all(fleet: &Fleet, schedule: &FaultSchedule) -> Result<(), String> {
    for &replica in &schedule.replicas {
        fleet.kill_replica(replica).await;
    }
    for &proxy in &schedule.proxies {
        fleet.kill_proxy(proxy).await?;
    }
    Ok(())
}

async fn restart_all(fleet: &Fleet, schedule: &FaultSchedule) -> Result<(), String> {
    for &replica in &schedule.replicas {
        fleet.start_replica(replica).await?;
    }
    for &proxy in &schedule.proxies {
        fleet.restart_proxy(proxy).await?;
    }
    Ok(())
}
