//! An in-memory platform table with injected failures.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use async_trait::async_trait;
use wagtailtrack::ids::Version;
use wagtailtrack::platform::{
    CommitOutcome, PlatformError, PlatformService, RowKey, TableRow, Transaction,
};

/// Failure mode of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableFault {
    /// No failure.
    None,
    /// Every call fails without effect.
    Unavailable,
    /// Commits take effect, but their answers are lost.
    LostAnswers,
}

/// Versioned rows by key.
pub struct MemoryTable {
    rows: RefCell<BTreeMap<String, TableRow>>,
    pub fault: Cell<TableFault>,
}

impl MemoryTable {
    pub fn open() -> Self {
        Self {
            rows: RefCell::default(),
            fault: Cell::new(TableFault::None),
        }
    }

    /// Replaces all rows by those of an earlier [`Self::rows`], as a table that comes back from a copy.
    pub fn restore(&self, rows: Vec<TableRow>) {
        let rows = rows.into_iter().map(|row| (row.key.0.clone(), row));
        self.rows.replace(rows.collect());
    }

    /// Gives every row a version that its writer cannot guess, as a store with one counter for all rows.
    pub fn raise_versions(&self) {
        for row in self.rows.borrow_mut().values_mut() {
            row.version = Version(row.version.0 + 100);
        }
    }

    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.borrow();
        let found = rows.values().filter(|row| row.key.0.starts_with(prefix));
        found.cloned().collect()
    }

    pub fn apply(&self, transaction: &Transaction) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        for check in &transaction.checks {
            let version = rows.get(&check.key.0).map_or(Version(0), |row| row.version);
            if version != check.version {
                return CommitOutcome::Conflict(check.key.clone());
            }
        }
        for write in &transaction.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    let version = rows.get(&key.0).map_or(Version(0), |row| row.version);
                    let row = TableRow {
                        key: key.clone(),
                        version: version.next(),
                        value: value.clone(),
                    };
                    rows.insert(key.0, row);
                }
                None => drop(rows.remove(&key.0)),
            }
        }
        CommitOutcome::Committed
    }

    fn check(&self) -> Result<(), PlatformError> {
        match self.fault.get() {
            TableFault::Unavailable => Err(PlatformError::Unavailable("unavailable".to_owned())),
            _ => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl PlatformService for MemoryTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        self.check()?;
        let rows = self.rows.borrow();
        Ok(keys.iter().map(|key| rows.get(&key.0).cloned()).collect())
    }

    async fn scan(
        &self,
        prefix: &str,
        _after: Option<&RowKey>,
        _limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        self.check()?;
        Ok(self.rows(prefix))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.check()?;
        let outcome = self.apply(transaction);
        match self.fault.get() {
            TableFault::LostAnswers => Err(PlatformError::ResponseLost("lost".to_owned())),
            _ => Ok(outcome),
        }
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(None)
    }

    async fn put_object(&self, _name: &str, _bytes: &[u8]) -> Result<(), PlatformError> {
        Ok(())
    }
}
