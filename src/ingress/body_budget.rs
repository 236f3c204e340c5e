//! Limit on the memory that the bodies of all requests, or of all responses, take together.

use std::cell::Cell;
use std::rc::Rc;

use crate::units::ByteSize;

/// Counts the bytes of all request bodies, or response bodies, that the ingress holds.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

/// The part of the budget that one body takes; freed when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn open(limit: ByteSize) -> Self {
        Self {
            limit: limit.as_usize(),
            used: Rc::default(),
        }
    }

    /// Starts the reservation of a body, with no bytes yet.
    #[must_use]
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes reserved at present.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

impl BodyReservation {
    /// Adds `bytes` to the reservation. Returns false if the budget does not allow it.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() + bytes;
        if used > self.budget.limit {
            return false;
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used.saturating_sub(self.bytes));
    }
}
