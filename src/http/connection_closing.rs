//! Tells the task of a connection that it is closed for others.

use tokio::sync::oneshot;

use crate::http::ServerConnections;
use crate::http::connection_table::ConnectionId;

/// Ends the task of one connection when that is closed for others. The task drops it after the socket.
pub(crate) struct ConnectionClosing {
    connections: ServerConnections,
    id: ConnectionId,
    closer: oneshot::Receiver<()>,
}

impl ConnectionClosing {
    pub(crate) const fn open(
        connections: ServerConnections,
        id: ConnectionId,
        closer: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            connections,
            id,
            closer,
        }
    }

    /// Waits until the connection is to be closed. It also ends when the connection's slot is dropped.
    pub(crate) async fn wait(&mut self) {
        let _ = (&mut self.closer).await;
    }
}

impl Drop for ConnectionClosing {
    fn drop(&mut self) {
        self.connections.finish_closing(self.id);
    }
}
