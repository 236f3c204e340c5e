//! Records the duration of each call to the platform.

use std::rc::Rc;

use async_trait::async_trait;

use crate::ids::StoreEra;
use crate::metrics::DurationMetrics;
use crate::platform::{
    CommitOutcome, PlatformError, PlatformService, RowKey, TableRow, Transaction,
};
use crate::time::{MonoTime, ProcessClock};

/// Forwards calls to another `PlatformService` and records how long each takes.
pub struct TimedPlatform {
    inner: Rc<dyn PlatformService>,
    clock: ProcessClock,
    durations: DurationMetrics,
}

impl TimedPlatform {
    /// Wraps `inner` and records its call durations in `durations`.
    #[must_use]
    pub fn open(
        inner: Rc<dyn PlatformService>,
        clock: ProcessClock,
        durations: DurationMetrics,
    ) -> Self {
        Self {
            inner,
            clock,
            durations,
        }
    }

    fn record<T>(&self, call: &'static str, begin: MonoTime, result: &Result<T, PlatformError>) {
        let span = self.clock.now().since(begin);
        self.durations.record_platform(call, result.is_ok(), span);
    }
}

#[async_trait(?Send)]
impl PlatformService for TimedPlatform {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        let begin = self.clock.now();
        let result = self.inner.read(keys).await;
        self.record("read", begin, &result);
        result
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let begin = self.clock.now();
        let result = self.inner.scan(prefix, after, limit).await;
        self.record("scan", begin, &result);
        result
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        let begin = self.clock.now();
        let result = self.inner.commit(transaction).await;
        self.record("commit", begin, &result);
        result
    }

    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let begin = self.clock.now();
        let result = self.inner.get_object(name).await;
        self.record("get-object", begin, &result);
        result
    }

    fn era(&self) -> StoreEra {
        self.inner.era()
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let begin = self.clock.now();
        let result = self.inner.put_object(name, bytes).await;
        self.record("put-object", begin, &result);
        result
    }
}
