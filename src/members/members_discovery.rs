//! Discovery of other daemons by `MembersHandle` through the member directory.

use std::rc::Rc;
use std::time::Duration;

use crate::hash::rendezvous_score;
use crate::logs::log_target;
use crate::members::{MemberDirectory, MemberRow, MembersHandle};
use crate::time::Deadline;

/// First pause between reads while no other member is live; doubles with each read. Daemons that
/// start together find each other's rows after the first pause.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Upper bound of the doubling pause.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between reads while other members are live. Gossip reports new daemons by itself; the
/// directory is then only needed to rejoin the parts of a split fleet.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_secs(300);
/// Interval at which a daemon checks whether it must write its row.
const ROW_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Rows read at a time.
const MAX_ROWS_READ: usize = 64;
/// Rows that suffice for a daemon that starts. Gossip reports the other members, so the directory
/// needs no row of each daemon.
const ENOUGH_ROWS: usize = 8;
/// The same in the own zone, if membership passes between zones through relays: a daemon that starts
/// asks daemons of its own zone first.
const ENOUGH_ZONE_ROWS: usize = 3;
/// Time after its first read in which a daemon knows whether it is a relay.
const RELAY_READ_DELAY: Duration = Duration::from_secs(2);
/// Reads without a live member after which the rows that were found count as outdated.
const MAX_READS_ALONE: u32 = 2;
/// Salt of the ranking of the members that keep a row, unlike those of other rankings.
const ROW_SALT: u64 = 0x6469_7265_6374_6f72;

impl MembersHandle {
    /// Reads rows of other daemons, and writes the own one while the directory has too few or while
    /// this daemon is one of those that keep a row.
    pub(super) async fn run_discovery(self) {
        let directory = MemberDirectory::open(Rc::clone(&self.state.sources.platform));
        let sources = &self.state.sources;
        let row = MemberRow {
            address: sources.address,
            boot: sources.boot,
            zone: sources.zone.clone(),
            region: sources.region.clone(),
        };
        let spread = sources.start_spread;
        let delay = spread.mul_f64(self.state.rng.borrow_mut().f64());
        actix_rt::time::sleep(delay).await;
        let mut retry_interval = MIN_RETRY_INTERVAL;
        let mut reads_alone = 0;
        let mut has_found = false;
        let mut read_at = Deadline::at(sources.clock.now());
        // By then the view is complete, so that few daemons take themselves for one that keeps a row.
        let mut check_at = sources.clock.now().after(ROW_CHECK_INTERVAL);
        let mut checked_version = None;
        // A relay reads the rows of the zones that started after its first read.
        let mut relay_read_at = self
            .state
            .has_relays
            .then(|| sources.clock.now().after(RELAY_READ_DELAY));
        loop {
            if relay_read_at.is_some_and(|at| at.has_passed(sources.clock.now())) {
                relay_read_at = None;
                let is_relay = self.state.core.borrow().is_relay(sources.clock.now());
                if is_relay {
                    self.read_directory(&directory).await;
                }
            }
            let mut needs_row = false;
            let is_read_due = read_at.has_passed(sources.clock.now());
            if is_read_due && has_found && self.live_count() > 1 {
                // The members of the first read answered. The next read only heals a split fleet.
                has_found = false;
                read_at = sources.clock.now().after(DIRECTORY_POLL_INTERVAL);
            } else if is_read_due {
                let found = self.read_directory(&directory).await;
                has_found = found.is_some_and(|rows| rows > 0);
                let is_alone = self.live_count() == 1;
                reads_alone = if is_alone { reads_alone + 1 } else { 0 };
                needs_row = found.is_some_and(|rows| rows < self.enough_rows())
                    || reads_alone > MAX_READS_ALONE;
                let wait = match found.is_none() || is_alone {
                    true => retry_interval,
                    false => DIRECTORY_POLL_INTERVAL,
                };
                retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
                let factor = 0.5 + self.state.rng.borrow_mut().f64();
                read_at = sources.clock.now().after(wait.mul_f64(factor));
            }
            let version = Some(self.liveness_version());
            if check_at.has_passed(sources.clock.now()) {
                check_at = sources.clock.now().after(ROW_CHECK_INTERVAL);
                needs_row |= checked_version != version && self.keeps_row();
                checked_version = version;
            }
            if needs_row && !self.state.has_row.get() {
                let is_written = directory.write(&sources.daemon, &row).await.is_ok();
                self.state.has_row.set(is_written);
                if !is_written {
                    checked_version = None;
                }
            }
            let wake_at = read_at.min(check_at);
            let wake_at = relay_read_at.map_or(wake_at, |at| at.min(wake_at));
            actix_rt::time::sleep(wake_at.remaining(sources.clock.now())).await;
        }
    }

    /// Whether this daemon is one of the highest-ranked live members, which keep a row so that a
    /// daemon that starts finds some of the fleet.
    fn keeps_row(&self) -> bool {
        let score = |name: &str| rendezvous_score(name, ROW_SALT);
        let own = score(self.state.sources.daemon.as_str());
        let live = self.live();
        let zone = &self.state.sources.zone;
        let higher = live
            .iter()
            .filter(|member| !self.state.has_relays || member.zone == *zone)
            .filter(|member| score(member.daemon.as_str()) > own);
        higher.take(self.enough_rows()).count() < self.enough_rows()
    }

    /// Rows that suffice for a daemon that starts, in its own zone if there are relays.
    fn enough_rows(&self) -> usize {
        match self.state.has_relays {
            true => ENOUGH_ZONE_ROWS,
            false => ENOUGH_ROWS,
        }
    }

    /// Reads the rows and adds their addresses as bootstrap addresses. Returns their number, in the
    /// own zone if there are relays, or none if the directory cannot be read.
    async fn read_directory(&self, directory: &MemberDirectory) -> Option<usize> {
        match directory.rows(None, MAX_ROWS_READ).await {
            Ok(rows) => {
                let zone = &self.state.sources.zone;
                let counted = rows
                    .iter()
                    .filter(|row| !self.state.has_relays || row.zone == *zone);
                let count = counted.count();
                let rows = rows.into_iter().map(|row| (row.address, row.zone));
                let mut core = self.state.core.borrow_mut();
                core.add_bootstrap_rows(rows.collect());
                core.reconnect_now();
                Some(count)
            }
            Err(cause) => {
                log::debug!(target: log_target::MEMBERS, cause:%; "Cannot read the member directory; retrying later.");
                None
            }
        }
    }
}
