//! Signal that the client of an HTTP connection has disconnected.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// A signal that is set once the client has closed or reset its connection; clones share it.
///
/// The server attaches one to each connection, so that a handler can cancel its work.
#[derive(Debug, Clone, Default)]
pub struct DisconnectSignal {
    state: Rc<SignalState>,
}

#[derive(Debug, Default)]
struct SignalState {
    is_disconnected: Cell<bool>,
    disconnected: Notify,
}

impl DisconnectSignal {
    /// Sets the signal and wakes all waiters.
    pub fn notify(&self) {
        if !self.state.is_disconnected.replace(true) {
            self.state.disconnected.notify_waiters();
        }
    }

    /// Waits until the client has disconnected.
    pub async fn wait(&self) {
        let disconnected = self.state.disconnected.notified();
        if !self.state.is_disconnected.get() {
            disconnected.await;
        }
    }
}
