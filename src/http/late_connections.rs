//! Connections that a server accepts after it has begun to shut down.

use std::cell::Cell;
use std::rc::Rc;

/// Tracks the connections that are accepted after `begin`; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct LateConnections {
    state: Rc<LateState>,
}

#[derive(Debug, Default)]
struct LateState {
    has_begun: Cell<bool>,
    /// Late connections on which no request has arrived.
    silent: Cell<usize>,
}

impl LateConnections {
    /// Counts every connection accepted from now on as late.
    pub fn begin(&self) {
        self.state.has_begun.set(true);
    }

    /// Returns the number of open late connections on which no request has arrived. A shutdown gives
    /// them a short time: their requests may have been sent already.
    #[must_use]
    pub fn silent(&self) -> usize {
        self.state.silent.get()
    }

    /// Returns the guard of a connection that is accepted now; none if it is not late.
    pub(crate) fn accept(&self) -> Option<LateConnection> {
        if !self.state.has_begun.get() {
            return None;
        }
        self.state.silent.set(self.state.silent.get() + 1);
        Some(LateConnection {
            state: Rc::clone(&self.state),
            is_silent: Cell::new(true),
        })
    }
}

/// Attached to a late connection; counts it as silent until `mark_request` or the drop.
pub(crate) struct LateConnection {
    state: Rc<LateState>,
    is_silent: Cell<bool>,
}

impl LateConnection {
    /// Called when a request has arrived on the connection.
    pub(crate) fn mark_request(&self) {
        if self.is_silent.replace(false) {
            self.state.silent.set(self.state.silent.get() - 1);
        }
    }
}

impl Drop for LateConnection {
    fn drop(&mut self) {
        self.mark_request();
    }
}
