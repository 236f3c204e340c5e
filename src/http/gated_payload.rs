//! Body of a request that is read as fast as its handler reads it.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;

use crate::http::client_connection::ClientConnection;

/// A body that tells its connection when its handler has read all that has arrived.
pub(crate) struct GatedPayload {
    payload: Payload,
    connection: ClientConnection,
}

impl GatedPayload {
    pub(crate) const fn open(payload: Payload, connection: ClientConnection) -> Self {
        Self {
            payload,
            connection,
        }
    }
}

impl Stream for GatedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = Pin::new(&mut self.payload).poll_next(context);
        if next.is_pending() {
            self.connection.drain_body();
        }
        next
    }
}

impl Drop for GatedPayload {
    fn drop(&mut self) {
        self.connection.discard_body();
    }
}
