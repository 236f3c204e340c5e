//! Interface to a transactional key-value table and an object store.

use async_trait::async_trait;

use crate::ids::StoreEra;
use crate::platform::{CommitOutcome, PlatformError, RowKey, TableRow, Transaction};

/// A transactional table and an object store.
///
/// Every call fails with `PlatformError` when the platform cannot be reached, refuses the call or
/// its response is lost. Reads have no effect and fail with `PlatformError::Unavailable`.
#[async_trait(?Send)]
pub trait PlatformService {
    /// Reads the rows with these keys, in the order of `keys`, from one consistent snapshot.
    ///
    /// Rows that do not exist are `None`.
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError>;

    /// Reads up to `limit` rows whose keys begin with `prefix` and sort after `after`, in key order.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Commits a transaction atomically: all its writes take effect, or none does.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;

    /// Reads an object, or returns `None` when it does not exist.
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// The era that the platform named last, for the versions of rows. A platform that never comes back
    /// from a copy has one era.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Writes an object, replacing an existing one of that name.
    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError>;
}
