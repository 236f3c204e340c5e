//! The platform within the test's process, with the stand-in's table and faults.

use std::cell::{Cell, RefCell};

use async_trait::async_trait;
use wagtailtrack::platform::{
    CommitOutcome, PlatformError, PlatformService, RowKey, TableRow, Transaction,
};

#[path = "../../standins/platform/platform_table.rs"]
mod platform_table;

pub use platform_table::PlatformTable;

/// How the platform behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum MemoryMode {
    /// Answers.
    #[default]
    Up,
    /// Refuses without an effect.
    Down,
    /// Writes take effect, the answer is lost.
    LoseAnswers,
    /// Writes have no effect, and the answer is lost too.
    LoseQuestions,
}

/// A platform in memory.
#[derive(Default)]
pub struct MemoryPlatform {
    pub table: RefCell<PlatformTable>,
    pub mode: Cell<MemoryMode>,
    pub reads: Cell<u64>,
    pub writes: Cell<u64>,
}

impl MemoryPlatform {
    /// Reads as the trait does, at once.
    pub fn read_now(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        self.check_up()?;
        self.reads.set(self.reads.get() + 1);
        Ok(self.table.borrow().read(keys))
    }

    /// Commits as the trait does, at once.
    pub fn commit_now(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.check_up()?;
        self.writes.set(self.writes.get() + 1);
        let lost = Err(PlatformError::ResponseLost("lost".to_owned()));
        match self.mode.get() {
            MemoryMode::LoseQuestions => lost,
            MemoryMode::LoseAnswers => {
                self.table.borrow_mut().commit(transaction);
                lost
            }
            MemoryMode::Up | MemoryMode::Down => Ok(self.table.borrow_mut().commit(transaction)),
        }
    }

    fn check_up(&self) -> Result<(), PlatformError> {
        match self.mode.get() {
            MemoryMode::Down => Err(PlatformError::Unavailable("down".to_owned())),
            _ => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl PlatformService for MemoryPlatform {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        self.read_now(keys)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        self.check_up()?;
        self.reads.set(self.reads.get() + 1);
        Ok(self.table.borrow().scan(prefix, after, limit))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.commit_now(transaction)
    }

    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.check_up()?;
        Ok(self.table.borrow().get_object(name))
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        self.check_up()?;
        self.table.borrow_mut().put_object(name, bytes.to_vec());
        Ok(())
    }
}
