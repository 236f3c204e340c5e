//! Every request that an instance ran.

use std::cell::RefCell;
use std::rc::Rc;

use crate::run_record::{RunOutcome, RunRecord};

/// The records, in the order of their starts; clones share them.
#[derive(Debug, Clone, Default)]
pub struct RunLedger {
    records: Rc<RefCell<Vec<RunRecord>>>,
}

impl RunLedger {
    /// Records that a request starts; it counts as cancelled unless the entry is completed.
    pub fn start(&self, record: RunRecord) -> RunEntry {
        let mut records = self.records.borrow_mut();
        records.push(record);
        RunEntry {
            ledger: self.clone(),
            index: records.len() - 1,
            outcome: RunOutcome::Cancelled,
        }
    }

    /// A copy of all records.
    pub fn records(&self) -> Vec<RunRecord> {
        self.records.borrow().clone()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    fn settle(&self, index: usize, outcome: RunOutcome) {
        if let Some(record) = self.records.borrow_mut().get_mut(index) {
            record.outcome = outcome;
        }
    }
}

/// A request that runs; dropping it settles its outcome.
#[derive(Debug)]
pub struct RunEntry {
    ledger: RunLedger,
    index: usize,
    outcome: RunOutcome,
}

impl RunEntry {
    /// Settles that the request ran to its end.
    pub fn complete(mut self) {
        self.outcome = RunOutcome::Completed;
    }
}

impl Drop for RunEntry {
    fn drop(&mut self) {
        self.ledger.settle(self.index, self.outcome);
    }
}
