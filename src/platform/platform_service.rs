//! The edge to the platform.

use async_trait::async_trait;

use crate::platform::{CommitOutcome, PlatformError, RowKey, TableRow, Transaction};

/// A transactional table and an object store.
///
/// Every call may fail with `PlatformError`; a read never has an effect.
#[async_trait(?Send)]
pub trait PlatformService {
    /// Reads the rows of `keys`, in their order, from one consistent state.
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError>;

    /// Reads up to `limit` rows whose keys begin with `prefix` and come after `after`, in key order.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Carries out a transaction, wholly or not at all.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;

    /// Reads an object, or none when it does not exist.
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object whole.
    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError>;
}
