//! How `MembersHandle` uses the table's rows.

use std::rc::Rc;
use std::time::Duration;

use crate::logs::part;
use crate::members::{MemberDirectory, MemberRow, MembersHandle};

/// Pause before the first repetition, while the table does not answer or nobody else is known;
/// doubles with each: daemons that start together find their rows after a few hundred milliseconds.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest such pause.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between two looks while other daemons are known: gossip tells of newcomers, rows only
/// mend a fleet that was split.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_secs(300);
/// Rows read at once; a few daemons tell the rest.
const MAX_ROWS_READ: usize = 8;

impl MembersHandle {
    /// Writes the own row once, then looks for daemons in the table, rarely.
    pub(super) async fn run_discovery(self) {
        let directory = MemberDirectory::open(Rc::clone(&self.state.sources.platform));
        let sources = &self.state.sources;
        let row = MemberRow {
            address: sources.address,
            boot: sources.boot,
            zone: sources.zone.clone(),
            region: sources.region.clone(),
        };
        let mut written = false;
        let mut retry_interval = MIN_RETRY_INTERVAL;
        loop {
            if !written {
                written = directory.write(&sources.daemon, &row).await.is_ok();
            }
            self.read_directory(&directory).await;
            let is_alone = self.state.core.borrow().live().len() == 1;
            let wait = match written && !is_alone {
                true => DIRECTORY_POLL_INTERVAL,
                false => retry_interval,
            };
            retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
            let factor = 0.5 + self.state.rng.borrow_mut().f64();
            actix_rt::time::sleep(wait.mul_f64(factor)).await;
        }
    }

    /// Reads a few rows, the first ones or those after the own.
    async fn read_directory(&self, directory: &MemberDirectory) {
        let own = &self.state.sources.daemon;
        let after = match self.state.rng.borrow_mut().bool() {
            true => Some(own),
            false => None,
        };
        match directory.addresses(after, MAX_ROWS_READ).await {
            Ok(addresses) => {
                self.state
                    .core
                    .borrow_mut()
                    .add_bootstrap_addresses(addresses);
            }
            Err(cause) => {
                log::debug!(target: part::MEMBERS, cause:%; "Cannot read the member directory.");
            }
        }
    }
}
