//! Tells connections that were told to close from idle ones.

use std::cell::Cell;
use std::rc::Rc;

/// Rides on each connection; marked once an answer has told the client to close.
pub struct ConnectionMark {
    closing: Rc<Cell<usize>>,
    is_marked: Cell<bool>,
}

impl ConnectionMark {
    /// A mark for a new connection that counts in `closing` once set.
    #[must_use]
    pub const fn open(closing: Rc<Cell<usize>>) -> Self {
        Self {
            closing,
            is_marked: Cell::new(false),
        }
    }

    /// The connection ends by itself once its answer has left.
    pub fn set(&self) {
        if !self.is_marked.replace(true) {
            self.closing.set(self.closing.get() + 1);
        }
    }
}

impl Drop for ConnectionMark {
    fn drop(&mut self) {
        if self.is_marked.get() {
            self.closing.set(self.closing.get() - 1);
        }
    }
}
