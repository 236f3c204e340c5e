//! Follows the changes of a fleet.

use std::time::Duration;

use awc::http::Method;
use bytes::BytesMut;
use futures_util::StreamExt;

use crate::admin::ChangeEvent;
use crate::client::{ApiClient, ClientError};
use crate::ids::Revision;

const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Connections in turn that bring nothing before the watcher gives up.
const MOST_FAILURES: u32 = 10;

/// Watches one daemon, and connects again where the last connection ended.
pub struct ChangeWatcher<'a> {
    client: &'a ApiClient,
    from: Option<Revision>,
    failures: u32,
}

impl<'a> ChangeWatcher<'a> {
    /// A watcher of the changes after `from`, or of those to come.
    #[must_use]
    pub const fn open(client: &'a ApiClient, from: Option<Revision>) -> Self {
        Self {
            client,
            from,
            failures: 0,
        }
    }

    /// Hands every change to `print` until no connection can be made any more.
    ///
    /// # Errors
    /// `ClientError` of the first connection, or of the last of many in turn.
    pub async fn run(mut self, print: &mut dyn FnMut(&ChangeEvent)) -> Result<(), ClientError> {
        let mut has_connected = false;
        loop {
            let outcome = self.connect(print).await;
            has_connected |= outcome.is_ok();
            self.failures += 1;
            match outcome {
                Err(error) if !has_connected || self.failures > MOST_FAILURES => return Err(error),
                Err(error @ ClientError::Refused(..)) => return Err(error),
                Ok(()) | Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Reads one connection to its end.
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
                self.take_line(&line, print)?;
            }
        }
        Ok(())
    }

    fn take_line(
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
