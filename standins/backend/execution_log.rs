//! In-memory log of the requests that an instance ran.

use std::cell::RefCell;
use std::rc::Rc;

use crate::execution_record::{ExecutionOutcome, ExecutionRecord};

/// Records in the order in which the requests started; clones share the same log.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog {
    records: Rc<RefCell<Vec<ExecutionRecord>>>,
}

impl ExecutionLog {
    /// Records the start of a request. Unless [`ExecutionEntry::complete`] is called, its outcome
    /// is [`ExecutionOutcome::Cancelled`].
    pub fn start(&self, record: ExecutionRecord) -> ExecutionEntry {
        let mut records = self.records.borrow_mut();
        records.push(record);
        ExecutionEntry {
            log: self.clone(),
            index: records.len() - 1,
            outcome: ExecutionOutcome::Cancelled,
        }
    }

    /// A copy of every record.
    pub fn records(&self) -> Vec<ExecutionRecord> {
        self.records.borrow().clone()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    fn set_outcome(&self, index: usize, outcome: ExecutionOutcome) {
        if let Some(record) = self.records.borrow_mut().get_mut(index) {
            record.outcome = outcome;
        }
    }
}

/// Guard of a running request; dropping it records the outcome.
#[derive(Debug)]
pub struct ExecutionEntry {
    log: ExecutionLog,
    index: usize,
    outcome: ExecutionOutcome,
}

impl ExecutionEntry {
    /// Records that the request ran to completion.
    pub fn complete(mut self) {
        self.outcome = ExecutionOutcome::Completed;
    }
}

impl Drop for ExecutionEntry {
    fn drop(&mut self) {
        self.log.set_outcome(self.index, self.outcome);
    }
}
