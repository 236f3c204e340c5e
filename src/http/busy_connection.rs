//! Counts the connections that a graceful shutdown waits for.

use std::cell::Cell;
use std::rc::Rc;

/// Counts its connection as busy from a response until that is flushed to the socket, and from
/// `mark_closing` until the connection is dropped. It also knows whether a request is being handled,
/// which whoever handles it counts. Clones share the state.
///
/// The server attaches one to each connection. A graceful shutdown waits for the busy connections but
/// not for the idle ones.
#[derive(Debug, Clone)]
pub struct BusyConnection {
    state: Rc<BusyState>,
}

#[derive(Debug)]
struct BusyState {
    /// The server's number of busy connections.
    busy: Rc<Cell<usize>>,
    /// Whether this connection is counted in `busy`.
    is_counted: Cell<bool>,
    /// Whether the server has yet to take the rest of a response's body.
    has_body: Cell<bool>,
    /// Whether the server may have bytes of a response that the socket has not accepted.
    is_unflushed: Cell<bool>,
    is_closing: Cell<bool>,
    /// Whether a request has been read whose response does not exist yet.
    has_request: Cell<bool>,
}

impl BusyConnection {
    /// Creates the state of a new connection, which is idle and adds itself to `busy` when it is not.
    #[must_use]
    pub fn open(busy: Rc<Cell<usize>>) -> Self {
        let state = BusyState {
            busy,
            is_counted: Cell::new(false),
            has_body: Cell::new(false),
            is_unflushed: Cell::new(false),
            is_closing: Cell::new(false),
            has_request: Cell::new(false),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Counts the connection as closing; called when its response carries `Connection: close`.
    pub fn mark_closing(&self) {
        self.state.is_closing.set(true);
        self.state.update_count();
    }

    /// Records that a request has been read. It is handled until `begin_body`.
    pub(crate) fn begin_request(&self) {
        self.state.has_request.set(true);
    }

    /// Whether the connection waits for a request: every request read from it is answered, and the
    /// responses are flushed to the socket.
    pub(crate) fn is_idle(&self) -> bool {
        !self.state.has_request.get() && !self.state.is_counted.get()
    }

    /// Records that the request has a response, which counts as busy until `end_body` and the flush after
    /// that.
    pub(crate) fn begin_body(&self) {
        self.state.has_request.set(false);
        self.state.has_body.set(true);
        self.state.update_count();
    }

    /// Records that the server needs the response's body no more: its last bytes are in the write
    /// buffer. The HTTP/1 dispatcher drops a body before it flushes the bytes.
    pub(crate) fn end_body(&self) {
        self.state.has_body.set(false);
        self.state.is_unflushed.set(true);
        self.state.update_count();
    }

    /// Records that the socket has accepted all bytes. The HTTP/1 dispatcher flushes its socket only
    /// when its write buffer is empty.
    pub(crate) fn record_flush(&self) {
        self.state.is_unflushed.set(false);
        self.state.update_count();
    }
}

impl BusyState {
    fn update_count(&self) {
        let is_busy = self.has_body.get() || self.is_unflushed.get() || self.is_closing.get();
        match (self.is_counted.replace(is_busy), is_busy) {
            (false, true) => self.busy.set(self.busy.get() + 1),
            (true, false) => self.busy.set(self.busy.get() - 1),
            _ => {}
        }
    }
}

impl Drop for BusyState {
    fn drop(&mut self) {
        if self.is_counted.get() {
            self.busy.set(self.busy.get() - 1);
        }
    }
}
