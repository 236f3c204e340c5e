//! Tells when the caller at the other end of a connection has left.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Rides on each connection; set once the caller has closed or reset it.
#[derive(Debug, Clone, Default)]
pub struct DisconnectSignal {
    state: Rc<SignalState>,
}

#[derive(Debug, Default)]
struct SignalState {
    has_left: Cell<bool>,
    left: Notify,
}

impl DisconnectSignal {
    /// The caller has left.
    pub fn notify(&self) {
        if !self.state.has_left.replace(true) {
            self.state.left.notify_waiters();
        }
    }

    /// Ends once the caller has left.
    pub async fn wait(&self) {
        let left = self.state.left.notified();
        if !self.state.has_left.get() {
            left.await;
        }
    }
}
