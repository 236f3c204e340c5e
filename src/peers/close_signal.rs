//! Signal that the connections of a listener are to be closed.

use std::future::pending;

use tokio::sync::watch;

/// Set when the listener closes its connections. The listener waits until all clones are dropped.
#[derive(Debug, Clone)]
pub(crate) struct CloseSignal(watch::Receiver<bool>);

impl CloseSignal {
    /// Creates the signal and the sender that sets it.
    pub(crate) fn open() -> (watch::Sender<bool>, Self) {
        let (sender, receiver) = watch::channel(false);
        (sender, Self(receiver))
    }

    /// Waits until the signal is set. Never returns if the listener is dropped before.
    pub(crate) async fn wait(&mut self) {
        if self.0.wait_for(|is_set| *is_set).await.is_err() {
            pending().await
        }
    }
}
