//! Counts the connections that close after their current response.

use std::cell::Cell;
use std::rc::Rc;

/// Counts its connection as closing from `mark_closing` until it is dropped.
///
/// The server attaches one to each connection. A graceful shutdown waits for the closing connections
/// but not for the idle ones.
pub struct ClosingGuard {
    /// The server's number of closing connections.
    closing: Rc<Cell<usize>>,
    is_closing: Cell<bool>,
}

impl ClosingGuard {
    /// Creates the guard of a new connection, which adds itself to `closing` when marked.
    #[must_use]
    pub const fn open(closing: Rc<Cell<usize>>) -> Self {
        Self {
            closing,
            is_closing: Cell::new(false),
        }
    }

    /// Counts the connection as closing; called when its response carries `Connection: close`.
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
