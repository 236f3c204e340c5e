//! Discovery of other daemons by `MembersHandle` through the member directory.

use std::rc::Rc;
use std::time::Duration;

use crate::logs::log_target;
use crate::members::{MemberDirectory, MemberRow, MembersHandle};

/// First pause between reads while the own row is not written or no other member is live; doubles
/// with each read. Daemons that start together find each other's rows after the first pause.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Upper bound of the doubling pause.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between reads while other members are live. Gossip reports new daemons by itself; the
/// directory is then only needed to rejoin the parts of a split fleet.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_secs(300);
/// Rows read at a time. A few daemons suffice, because gossip reports the others.
const MAX_ROWS_READ: usize = 8;

impl MembersHandle {
    /// Writes the own row until the platform confirms it, and reads rows of other daemons at a
    /// decreasing rate, with a random factor of 0.5 to 1.5 on each pause.
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

    /// Reads a few rows, at random either the first ones or those after the own, and adds their
    /// addresses as bootstrap addresses.
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
                log::debug!(target: log_target::MEMBERS, cause:%; "Cannot read the member directory; retrying later.");
            }
        }
    }
}
