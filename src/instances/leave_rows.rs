//! Rows of the platform's table that state which instances have left.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, InstanceId, InstanceRun};
use crate::platform::{PlatformError, PlatformService, RowKey, RowWrite, TableRow, Transaction};

const TABLE: &str = "leaves/";
/// Rows read at a time. A daemon keeps a row for each recent leave.
const MAX_ROWS_READ: usize = 64;

/// Row that a daemon writes when an instance beside it announces its leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveRow {
    run: InstanceRun,
}

/// Reads and writes the rows of one daemon.
#[derive(Clone)]
pub struct LeaveRows {
    platform: Rc<dyn PlatformService>,
    prefix: String,
}

impl LeaveRows {
    /// Creates the access to the rows of `daemon` in `platform`.
    #[must_use]
    pub fn open(platform: Rc<dyn PlatformService>, daemon: &DaemonId) -> Self {
        Self {
            platform,
            prefix: format!("{TABLE}{daemon}/"),
        }
    }

    /// Reads the instances that left and their runs. Rows that cannot be decoded are left out.
    ///
    /// # Errors
    /// `PlatformError` when the platform cannot be read.
    pub async fn read(&self) -> Result<Vec<(InstanceId, InstanceRun)>, PlatformError> {
        let scan = self.platform.scan(&self.prefix, None, MAX_ROWS_READ);
        let rows = scan.await?;
        Ok(rows.iter().filter_map(|row| self.decode(row)).collect())
    }

    /// Writes that `run` of `instance` has left, and deletes the rows of `outdated`.
    ///
    /// # Errors
    /// `PlatformError` when the platform did not confirm the write; it can be repeated safely.
    pub async fn write(
        &self,
        instance: &InstanceId,
        run: InstanceRun,
        outdated: &[InstanceId],
    ) -> Result<(), PlatformError> {
        let value = serde_json::to_vec(&LeaveRow { run })
            .map_err(|cause| PlatformError::Unavailable(cause.to_string()))?;
        let mut writes = self.deletions(outdated);
        writes.push(RowWrite {
            key: self.key_of(instance),
            value: Some(value),
        });
        self.commit(writes).await
    }

    /// Deletes the rows of `instances`.
    ///
    /// # Errors
    /// `PlatformError` when the platform did not confirm the deletion.
    pub async fn delete(&self, instances: &[InstanceId]) -> Result<(), PlatformError> {
        self.commit(self.deletions(instances)).await
    }

    fn deletions(&self, instances: &[InstanceId]) -> Vec<RowWrite> {
        let keys = instances.iter().map(|instance| self.key_of(instance));
        keys.map(|key| RowWrite { key, value: None }).collect()
    }

    async fn commit(&self, writes: Vec<RowWrite>) -> Result<(), PlatformError> {
        let checks = Vec::new();
        let transaction = Transaction { checks, writes };
        self.platform.commit(&transaction).await.map(|_| ())
    }

    fn key_of(&self, instance: &InstanceId) -> RowKey {
        RowKey(format!("{}{instance}", self.prefix))
    }

    fn decode(&self, row: &TableRow) -> Option<(InstanceId, InstanceRun)> {
        let instance = row.key.0.strip_prefix(&self.prefix)?.parse().ok()?;
        let row: LeaveRow = serde_json::from_slice(&row.value).ok()?;
        Some((instance, row.run))
    }
}
