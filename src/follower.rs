//! Follows the log: reads, folds, and notes when the log has confirmed our place.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info};
use tokio::time::Instant;

use crate::control::ControlLoop;
use crate::decide::slot::SlotPolicy;
use crate::error::explain;
use crate::keyring::KeyRing;
use crate::membership::EntryMembership;
use crate::metrics::{EntryMetrics, count};
use crate::name::CentreName;
use crate::platform::LogClient;
use crate::view::ViewKeeper;

/// Wait after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// Reads the log and folds it.
pub struct LogFollower<P, L> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// The platform's log.
    pub log: L,
    /// Longest wait of one read.
    pub poll: Duration,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// Keys.
    pub keyring: Arc<KeyRing>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Log lines.
    pub logger: Logger,
    /// Whether the last read failed.
    pub is_away: bool,
}

impl<P: SlotPolicy, L: LogClient> ControlLoop for LogFollower<P, L> {
    const NAME: &'static str = "follower";

    async fn step(&mut self) -> Duration {
        let asked = Instant::now();
        let wanted = self.keeper.wanted();
        let read = match self.log.read(&wanted, self.poll).await {
            Ok(read) => read,
            Err(report) => {
                count(&self.metrics.platform_errors, "read");
                if !self.is_away {
                    info!(self.logger, "the log can't be read"; "cause" => explain(&report));
                }
                self.is_away = true;
                return PAUSE;
            }
        };
        if self.is_away {
            info!(self.logger, "the log can be read again");
            self.is_away = false;
        }
        let at_end = self.keeper.fold(&read);
        debug!(self.logger, "read"; "streams" => read.len(), "at_end" => at_end);
        self.note_place(asked, at_end);
        Duration::ZERO
    }
}

impl<P: SlotPolicy, L: LogClient> LogFollower<P, L> {
    /// The order matters: the roster is adopted before the lease is renewed, so that a lease never
    /// rests on a roster older than what was read.
    fn note_place(&self, asked: Instant, at_end: bool) {
        let view = self.keeper.view();
        let Some(fleet) = view.fleets.get(&self.centre) else { return };
        self.keyring.adopt(fleet);
        let joined = fleet.roster.contains_key(&*self.membership.name());
        // On the way to the end of the log, the roster may be one of long ago.
        if at_end || !joined {
            self.membership.set_on_roster(joined);
        }
        if at_end && joined {
            self.membership.confirm_by_log(asked);
        }
        self.membership.set_caught_up(at_end);
    }
}
