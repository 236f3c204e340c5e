//! Streams configuration changes from a daemon and reconnects when the stream ends.

use std::time::Duration;

use awc::http::Method;
use bytes::BytesMut;
use futures_util::StreamExt;

use crate::admin::ChangeEvent;
use crate::client::{ApiClient, ClientError};
use crate::ids::Revision;

const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of consecutive connections without a line before a failed one ends the watch.
const MAX_FAILURES: u32 = 10;

/// Watches the changes on one daemon and resumes after the last revision received.
pub struct ChangeWatcher<'a> {
    client: &'a ApiClient,
    from: Option<Revision>,
    failures: u32,
}

impl<'a> ChangeWatcher<'a> {
    /// Creates a watcher of the changes after revision `from`, or only of future changes if `None`.
    #[must_use]
    pub const fn open(client: &'a ApiClient, from: Option<Revision>) -> Self {
        Self {
            client,
            from,
            failures: 0,
        }
    }

    /// Passes every change to `print` until the daemon refuses or stays unreachable.
    ///
    /// # Errors
    /// Returns `ClientError` when the first connection fails, when the daemon refuses one, or when one
    /// fails after more than 10 in a row without a line.
    pub async fn run(mut self, print: &mut dyn FnMut(&ChangeEvent)) -> Result<(), ClientError> {
        let mut has_connected = false;
        loop {
            let outcome = self.connect(print).await;
            has_connected |= outcome.is_ok();
            self.failures += 1;
            match outcome {
                Err(error) if !has_connected || self.failures > MAX_FAILURES => return Err(error),
                Err(error @ ClientError::Refused(..)) => return Err(error),
                Ok(()) | Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Connects and processes lines until the stream ends.
    async fn connect(&mut self, print: &mut dyn FnMut(&ChangeEvent)) -> Result<(), ClientError> {
        let path = match self.from {
            Some(from) => format!("/v1/watch?from={from}"),
            None => "/v1/watch".to_owned(),
        };
        let mut stream = self.client.stream(Method::GET, &path).await?;
        let mut buffer = BytesMut::new();
        while let Some(Ok(chunk)) = stream.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                self.handle_line(&line, print)?;
            }
        }
        Ok(())
    }

    fn handle_line(
        &mut self,
        line: &[u8],
        print: &mut dyn FnMut(&ChangeEvent),
    ) -> Result<(), ClientError> {
        self.failures = 0;
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let change: ChangeEvent = serde_json::from_slice(line)
            .map_err(|cause| ClientError::Malformed(cause.to_string()))?;
        self.from = Some(change.revision);
        print(&change);
        Ok(())
    }
}
