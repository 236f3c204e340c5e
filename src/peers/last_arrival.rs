//! Time of the last bytes that arrived on a connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;

/// When bytes last arrived on a connection; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct LastArrival(Rc<Cell<Instant>>);

impl LastArrival {
    /// Creates the record of a connection that opens now.
    pub(crate) fn open() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    /// Records that bytes arrive now.
    pub(crate) fn record(&self) {
        self.0.set(Instant::now());
    }

    /// Returns once nothing has arrived for `span`, which may have begun before the call.
    pub(crate) async fn wait_for_silence(&self, span: Duration) {
        self.wait_for_silence_from(self.0.get(), span).await;
    }

    /// Returns once nothing has arrived for `span`, which begins at the call at the earliest.
    pub(crate) async fn wait_for_new_silence(&self, span: Duration) {
        self.wait_for_silence_from(Instant::now(), span).await;
    }

    async fn wait_for_silence_from(&self, mut silent_since: Instant, span: Duration) {
        loop {
            actix_rt::time::sleep_until(silent_since + span).await;
            let last = self.0.get();
            if last <= silent_since {
                return;
            }
            silent_since = last;
        }
    }
}
