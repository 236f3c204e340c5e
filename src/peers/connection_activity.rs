//! Counts the open streams of an outgoing connection.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// The open streams of a connection, which is only checked for life while it has some.
#[derive(Debug, Default)]
pub(crate) struct ConnectionActivity {
    open_streams: Cell<usize>,
    opened: Notify,
}

/// Counts one stream as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenStream(Rc<ConnectionActivity>);

impl OpenStream {
    /// Counts a stream of the connection with `activity`.
    pub(crate) fn open(activity: &Rc<ConnectionActivity>) -> Self {
        activity.open_streams.set(activity.open_streams.get() + 1);
        activity.opened.notify_one();
        Self(Rc::clone(activity))
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get() - 1);
    }
}

impl ConnectionActivity {
    /// Waits until a stream is open.
    pub(crate) async fn wait_for_stream(&self) {
        while self.open_streams.get() == 0 {
            self.opened.notified().await;
        }
    }
}
