//! Steps of a change, from its publication until it is committed or aborted.

use super::{Leader, NotLeader};
use crate::decommission;
use badgerramp_control_protocol::clock;
use badgerramp_policy::{next_command, Command, Generation, Mode, Outcome, Record};
use std::time::Duration;
use tracing::warn;

/// Interval at which to check whether the next step of a change is possible, if no event wakes the leader earlier. The
/// expiry of a lease causes no event.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Leader {
    /// Carries out the steps of changes, as long as this replica runs.
    pub(crate) async fn run_changes(&self) {
        loop {
            let Some(command) = self.check_progress() else {
                let _ = tokio::time::timeout(CHECK_INTERVAL, self.wake.notified()).await;
                continue;
            };
            if let Err(error) = self.propose(command).await {
                warn!(%error, "change step failed");
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Returns the command for the next step of the pending change, if that step is possible.
    fn check_progress(&self) -> Option<Command> {
        let mut state = self.state();
        let state = self.refresh(&mut state)?;
        let now = clock::now();
        state.leases.expire(now);
        let record = self.store.record();
        let revision = record.revision();
        let since = match state.revision_since {
            Some((seen, since)) if seen == revision => since,
            _ => now,
        };
        state.revision_since = Some((revision, since));
        if let Some((region, command)) = decommission::acknowledgement(&record, &self.other_regions)
        {
            warn!(%region, "acknowledging commit for a region that is not in the settings");
            return Some(command);
        }
        next_command(&record, &state.leases, now, since, self.timeouts)
    }

    /// Aborts the change to this generation. Returns `None` if no such change is pending.
    pub(crate) async fn abort(
        &self,
        generation: Generation,
        reason: String,
    ) -> Result<Option<Outcome>, NotLeader> {
        self.confirm().await?;
        let transition = self.store.read(Record::transition);
        let Some(Mode { revision, .. }) = transition.filter(|mode| mode.new == generation) else {
            return Ok(None);
        };
        let command = self
            .store
            .read(|record| decommission::abort(record, &self.other_regions))
            .unwrap_or(Command::Abort { revision, reason });
        self.propose(command).await.map(Some)
    }
}
