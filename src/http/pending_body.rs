//! Body of a response that is being sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::http::BusyConnection;

/// A body that tells its connection when the server drops it.
pub(crate) struct PendingBody {
    body: BoxBody,
    connection: BusyConnection,
}

impl PendingBody {
    pub(crate) const fn open(body: BoxBody, connection: BusyConnection) -> Self {
        Self { body, connection }
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
        Pin::new(&mut self.body).poll_next(context)
    }
}

impl Drop for PendingBody {
    fn drop(&mut self) {
        self.connection.end_body();
    }
}
