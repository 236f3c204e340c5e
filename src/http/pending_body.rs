//! Body of a response that is being sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::http::client_connection::ClientConnection;

/// Longest part that the server takes at once; it copies each into its write buffer.
const MAX_PART: usize = 32 * 1024;

/// A body that tells its connection what the server takes, and when the server drops it.
pub(crate) struct PendingBody {
    body: BoxBody,
    /// The rest of a part that was longer than `MAX_PART`.
    rest: Bytes,
    connection: ClientConnection,
}

impl PendingBody {
    pub(crate) const fn open(body: BoxBody, connection: ClientConnection) -> Self {
        Self {
            body,
            rest: Bytes::new(),
            connection,
        }
    }
}

impl MessageBody for PendingBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_next(context)) {
                Some(Ok(part)) => self.rest = part,
                end => return Poll::Ready(end),
            }
        }
        let length = self.rest.len().min(MAX_PART);
        let part = self.rest.split_to(length);
        self.connection.add_unsent(length);
        Poll::Ready(Some(Ok(part)))
    }
}

impl Drop for PendingBody {
    fn drop(&mut self) {
        self.connection.busy().end_body();
    }
}
