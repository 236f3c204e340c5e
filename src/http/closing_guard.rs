//! Tells connections that were told to close from idle ones.

use std::cell::Cell;
use std::rc::Rc;

/// Rides on each connection; marked once an answer has told the client to close.
pub struct ClosingGuard {
    closing: Rc<Cell<usize>>,
    is_closing: Cell<bool>,
}

impl ClosingGuard {
    /// A mark for a new connection that counts in `closing` once set.
    #[must_use]
    pub const fn open(closing: Rc<Cell<usize>>) -> Self {
        Self {
            closing,
            is_closing: Cell::new(false),
        }
    }

    /// The connection ends by itself once its answer has left.
    pub fn mark_closing(&self) {
        if !self.is_closing.replace(true) {
            self.closing.set(self.closing.get() + 1);
        }
    }
}

impl Drop for ClosingGuard {
    fn drop(&mut self) {
        if self.is_closing.get() {
            self.closing.set(self.closing.get() - 1);
        }
    }
}
