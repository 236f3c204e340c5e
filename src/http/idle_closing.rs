//! Closes the idle connections of a server that shuts down.

use std::rc::Rc;

use tokio::sync::watch;

/// Tells the connections of a server to close those that are idle; clones share the state.
///
/// An idle connection is closed without another read: a request that its client may be sending is not
/// read, so the client can tell that it has not run.
#[derive(Debug, Clone, Default)]
pub struct IdleClosing {
    state: Rc<watch::Sender<bool>>,
}

impl IdleClosing {
    /// Closes the connections that are idle, and every connection accepted from now on. The others are
    /// served until they end.
    pub fn begin(&self) {
        self.state.send_replace(true);
    }

    /// Waits for `begin`.
    pub(crate) async fn wait(&self) {
        // The sender outlives this call, so the wait ends only with `begin`.
        let _ = self
            .state
            .subscribe()
            .wait_for(|has_begun| *has_begun)
            .await;
    }
}
