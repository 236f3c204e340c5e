//! How `MembersHandle` uses the table's rows.

use std::rc::Rc;
use std::time::Duration;

use crate::logs::part;
use crate::members::{MemberRow, MemberRows, MembersHandle};

/// Pause before the first repetition, while the table does not answer or nobody else is known;
/// doubles with each: daemons that start together find their rows after a few hundred milliseconds.
const FIRST_RETRY: Duration = Duration::from_millis(400);
/// Longest such pause.
const LONGEST_RETRY: Duration = Duration::from_secs(10);
/// Pause between two looks while other daemons are known: gossip tells of newcomers, rows only
/// mend a fleet that was split.
const ROW_POLL: Duration = Duration::from_secs(300);
/// Rows read at once; a few daemons tell the rest.
const MOST_CONTACTS: usize = 8;

impl MembersHandle {
    /// Writes the own row once, then looks for daemons in the table, rarely.
    pub(super) async fn run_rows(self) {
        let rows = MemberRows::open(Rc::clone(&self.state.sources.platform));
        let sources = &self.state.sources;
        let row = MemberRow {
            address: sources.address,
            boot: sources.boot,
            zone: sources.zone.clone(),
            region: sources.region.clone(),
        };
        let mut written = false;
        let mut retry = FIRST_RETRY;
        loop {
            if !written {
                written = rows.write(&sources.daemon, &row).await.is_ok();
            }
            self.read_rows(&rows).await;
            let is_alone = self.state.core.borrow().live().len() == 1;
            let wait = match written && !is_alone {
                true => ROW_POLL,
                false => retry,
            };
            retry = (retry * 2).min(LONGEST_RETRY);
            let factor = 0.5 + self.state.rng.borrow_mut().f64();
            actix_rt::time::sleep(wait.mul_f64(factor)).await;
        }
    }

    /// Reads a few rows, the first ones or those after the own.
    async fn read_rows(&self, rows: &MemberRows) {
        let own = &self.state.sources.daemon;
        let place = match self.state.rng.borrow_mut().bool() {
            true => Some(own),
            false => None,
        };
        match rows.addresses(place, MOST_CONTACTS).await {
            Ok(addresses) => {
                self.state.core.borrow_mut().add_contacts(addresses);
            }
            Err(cause) => {
                log::debug!(target: part::MEMBERS, cause:%; "Cannot read the rows of members.");
            }
        }
    }
}
