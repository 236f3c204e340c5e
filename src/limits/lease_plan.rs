//! A transaction on the rows of shares.

use crate::ids::Version;
use crate::limits::{ShareOrigin, ShareRow, ShareSet};
use crate::platform::{RowCheck, RowWrite, Transaction};
use crate::time::MonoTime;

/// The rows to write, with the versions that they must have before.
#[derive(Debug, Clone)]
pub struct LeasePlan {
    /// What is written to each row.
    pub row: ShareRow,
    /// When it is sent; the leases count from here.
    pub sent: MonoTime,
    versions: Vec<(u8, Version)>,
    held: ShareSet,
}

impl LeasePlan {
    /// A plan to write `row` to the shares of `versions`, of which `held` are held already.
    #[must_use]
    pub const fn new(
        row: ShareRow,
        versions: Vec<(u8, Version)>,
        held: ShareSet,
        sent: MonoTime,
    ) -> Self {
        Self {
            row,
            sent,
            versions,
            held,
        }
    }

    /// The transaction.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let value = serde_json::to_vec(&self.row).unwrap_or_default();
        let checks = self.versions.iter().map(|(share, version)| RowCheck {
            key: ShareRow::key(*share),
            version: *version,
        });
        let writes = self.versions.iter().map(|(share, _)| RowWrite {
            key: ShareRow::key(*share),
            value: Some(value.clone()),
        });
        Transaction {
            checks: checks.collect(),
            writes: writes.collect(),
        }
    }

    /// The shares written and the versions that their rows then have.
    pub fn written_versions(&self) -> impl Iterator<Item = (u8, Version)> {
        self.versions
            .iter()
            .map(|(share, version)| (*share, version.next()))
    }

    /// The shares written.
    #[must_use]
    pub fn shares(&self) -> ShareSet {
        self.versions.iter().map(|(share, _)| *share).collect()
    }

    /// Whether it would have given `share` this version.
    #[must_use]
    pub fn wrote(&self, share: u8, version: Version) -> bool {
        self.written_versions()
            .any(|written| written == (share, version))
    }

    /// How `share` comes to the holder.
    #[must_use]
    pub fn origin(&self, share: u8) -> ShareOrigin {
        let is_absent = self.versions.contains(&(share, Version(0)));
        match is_absent && !self.held.contains(share) {
            true => ShareOrigin::NeverHeld,
            false => ShareOrigin::PreviouslyHeld,
        }
    }
}
