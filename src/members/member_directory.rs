//! Directory of daemons in the platform's table, for the discovery of other members.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DaemonId, RegionId, ZoneId};
use crate::platform::{PlatformError, PlatformService, RowCheck, RowKey, RowWrite, Transaction};

const PREFIX: &str = "members/";

/// Row that a daemon writes about itself when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRow {
    /// Its TCP and UDP address for other daemons.
    pub address: SocketAddr,
    /// Identifies the run of its process.
    pub boot: BootId,
    /// Availability zone in which the daemon runs.
    pub zone: ZoneId,
    /// Region in which the daemon runs.
    pub region: RegionId,
}

/// Reads and writes the rows of daemons in the platform's table.
#[derive(Clone)]
pub struct MemberDirectory {
    platform: Rc<dyn PlatformService>,
}

impl MemberDirectory {
    /// Creates a directory that is stored in `platform`.
    #[must_use]
    pub fn open(platform: Rc<dyn PlatformService>) -> Self {
        Self { platform }
    }

    /// Writes the row of `daemon`, replacing any earlier one.
    ///
    /// # Errors
    /// `PlatformError` when the platform did not confirm the write; it can be repeated safely.
    pub async fn write(&self, daemon: &DaemonId, row: &MemberRow) -> Result<(), PlatformError> {
        let value = serde_json::to_vec(row)
            .map_err(|cause| PlatformError::Unavailable(cause.to_string()))?;
        self.commit(daemon, Vec::new(), Some(value)).await
    }

    /// Deletes the row of `daemon` if `boot` wrote it; the row of a later boot stays.
    ///
    /// # Errors
    /// `PlatformError` when the platform did not confirm the deletion.
    pub async fn delete(&self, daemon: &DaemonId, boot: BootId) -> Result<(), PlatformError> {
        let key = key_of(daemon);
        let rows = self.platform.read(std::slice::from_ref(&key)).await?;
        let own = rows.into_iter().flatten().find(|row| {
            let value = decode(&row.value);
            value.is_some_and(|value| value.boot == boot)
        });
        let Some(own) = own else {
            return Ok(());
        };
        let check = RowCheck {
            key,
            version: own.version,
        };
        self.commit(daemon, vec![check], None).await
    }

    /// Reads the addresses from up to `limit` rows, in the order of names after `after` or from
    /// the first. Rows that cannot be decoded are left out.
    ///
    /// # Errors
    /// `PlatformError` when the platform cannot be read.
    pub async fn addresses(
        &self,
        after: Option<&DaemonId>,
        limit: usize,
    ) -> Result<Vec<SocketAddr>, PlatformError> {
        let rows = self.rows(after, limit).await?;
        Ok(rows.into_iter().map(|row| row.address).collect())
    }

    /// Reads up to `limit` rows, as `addresses`.
    ///
    /// # Errors
    /// `PlatformError` when the platform cannot be read.
    pub async fn rows(
        &self,
        after: Option<&DaemonId>,
        limit: usize,
    ) -> Result<Vec<MemberRow>, PlatformError> {
        let after = after.map(key_of);
        let rows = self.platform.scan(PREFIX, after.as_ref(), limit).await?;
        Ok(rows.iter().filter_map(|row| decode(&row.value)).collect())
    }

    async fn commit(
        &self,
        daemon: &DaemonId,
        checks: Vec<RowCheck>,
        value: Option<Vec<u8>>,
    ) -> Result<(), PlatformError> {
        let write = RowWrite {
            key: key_of(daemon),
            value,
        };
        let transaction = Transaction {
            checks,
            writes: vec![write],
        };
        self.platform.commit(&transaction).await.map(|_| ())
    }
}

fn key_of(daemon: &DaemonId) -> RowKey {
    RowKey(format!("{PREFIX}{daemon}"))
}

fn decode(value: &[u8]) -> Option<MemberRow> {
    serde_json::from_slice(value).ok()
}
