//! A planned transaction that writes lease rows.

use crate::ids::Version;
use crate::limits::{LeaseRow, ShareOrigin, ShareSet};
use crate::platform::{RowCheck, RowWrite, Transaction};
use crate::time::MonoTime;

/// The rows to write and the versions that they must have for the transaction to succeed.
#[derive(Debug, Clone)]
pub struct LeasePlan {
    /// The value that is written to each row.
    pub row: LeaseRow,
    /// When the transaction is sent. The leases start here.
    pub sent: MonoTime,
    versions: Vec<(u8, Version)>,
    held: ShareSet,
    /// Shares that an earlier run of this daemon leased.
    earlier_run: ShareSet,
}

impl LeasePlan {
    /// Creates a plan that writes `row` for the shares in `versions`, of which `held` are held
    /// already.
    #[must_use]
    pub const fn new(
        row: LeaseRow,
        versions: Vec<(u8, Version)>,
        held: ShareSet,
        sent: MonoTime,
    ) -> Self {
        Self {
            row,
            sent,
            versions,
            held,
            earlier_run: ShareSet::EMPTY,
        }
    }

    /// Marks the shares whose rows an earlier run of this daemon wrote.
    #[must_use]
    pub fn with_earlier_run(self, earlier_run: ShareSet) -> Self {
        Self {
            earlier_run,
            ..self
        }
    }

    /// The transaction to commit to the platform.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let value = serde_json::to_vec(&self.row).unwrap_or_default();
        let checks = self.versions.iter().map(|(share, version)| RowCheck {
            key: LeaseRow::key(*share),
            version: *version,
        });
        let writes = self.versions.iter().map(|(share, _)| RowWrite {
            key: LeaseRow::key(*share),
            value: Some(value.clone()),
        });
        Transaction {
            checks: checks.collect(),
            writes: writes.collect(),
        }
    }

    /// The shares and the versions that their rows have once the transaction is committed.
    pub fn written_versions(&self) -> impl Iterator<Item = (u8, Version)> {
        self.versions
            .iter()
            .map(|(share, version)| (*share, version.next()))
    }

    /// The shares whose rows the plan writes.
    #[must_use]
    pub fn shares(&self) -> ShareSet {
        self.versions.iter().map(|(share, _)| *share).collect()
    }

    /// Whether the plan gives the row of `share` this version.
    #[must_use]
    pub fn wrote(&self, share: u8, version: Version) -> bool {
        self.written_versions()
            .any(|written| written == (share, version))
    }

    /// Whether `share` was leased by any process before this plan.
    #[must_use]
    pub fn origin(&self, share: u8) -> ShareOrigin {
        let is_absent = self.versions.contains(&(share, Version(0)));
        match is_absent && !self.held.contains(share) {
            true => ShareOrigin::NeverHeld,
            false if self.earlier_run.contains(share) => ShareOrigin::EarlierRun,
            false => ShareOrigin::PreviouslyHeld,
        }
    }
}
