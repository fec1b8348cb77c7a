//! Carries out the fault of a course.

use super::course::{Course, Kind};
use super::fleet::Fleet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Between two proxies that are restarted one after the other.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Plays the fault, from `began` on.
///
/// # Errors
/// If a process can't be ended or started.
pub async fn inflict(fleet: Arc<Fleet>, course: Course, began: Instant) -> Result<(), String> {
    let Some(kind) = course.fault else {
        return Ok(());
    };
    tokio::time::sleep_until(began + course.from).await;
    match kind {
        Kind::Restart => restart_each(&fleet, &course.proxies).await,
        Kind::Machines => kill(&fleet, &course).await,
        Kind::Rack | Kind::Zone => {
            kill(&fleet, &course).await?;
            tokio::time::sleep_until(began + course.until).await;
            start_again(&fleet, &course).await
        }
        Kind::CutRegion => {
            fleet.wiring.cut_first_region(true);
            tokio::time::sleep_until(began + course.until).await;
            fleet.wiring.cut_first_region(false);
            Ok(())
        }
    }
}

async fn restart_each(fleet: &Fleet, proxies: &[usize]) -> Result<(), String> {
    for &proxy in proxies {
        fleet.end(proxy).await?;
        fleet.again(proxy).await?;
        tokio::time::sleep(RESTART_PAUSE).await;
    }
    Ok(())
}

async fn kill(fleet: &Fleet, course: &Course) -> Result<(), String> {
    for &replica in &course.replicas {
        fleet.kill_replica(replica).await;
    }
    for &proxy in &course.proxies {
        fleet.kill(proxy).await?;
    }
    Ok(())
}

async fn start_again(fleet: &Fleet, course: &Course) -> Result<(), String> {
    for &replica in &course.replicas {
        fleet.start_replica(replica).await?;
    }
    for &proxy in &course.proxies {
        fleet.again(proxy).await?;
    }
    Ok(())
}
