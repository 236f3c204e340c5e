//! HTTP response of a backend server, with its body as a stream.

use std::time::Duration;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;

use crate::egress::backend_client::ClientOptions;
use crate::egress::backend_connection::{BackendBody, BackendConnection, is_bodiless, is_framed};
use crate::units::Rate;
use crate::wire::{BackendHead, FailureCause, InstanceLoad, RequestOffer};

/// Whether the response names another request than `name` in its request ID header, because it
/// is late or a duplicate. A response without the header matches unless `requires_name` is set.
pub(crate) fn is_mismatched(
    head: &ResponseHead,
    options: &ClientOptions,
    name: &str,
    requires_name: bool,
) -> bool {
    let echoed = head.headers().get(options.headers.request());
    echoed.map_or(requires_name, |echoed| echoed.as_bytes() != name.as_bytes())
}

/// A response whose head has arrived and whose body can be read in chunks.
pub struct BackendResponse {
    /// Status and headers as the ingress gets them.
    pub head: BackendHead,
    /// Whether the backend server states that it did not execute the request.
    pub is_not_run: bool,
    /// Requests per second that the backend server states as its limit.
    pub limit: Option<Rate>,
    /// How long the backend server says that it stays cold, zero while it is warm; none if it does
    /// not say.
    pub cold: Option<Duration>,
    /// Whether the backend server says that it leaves.
    pub is_leaving: bool,
    body: BackendBody,
    received_bytes: u64,
    max_bytes: u64,
}

impl BackendResponse {
    /// Wraps the response to `offer` that was received as `head` and `body`.
    ///
    /// # Errors
    /// `FailureCause::BadResponse` if nothing but the end of the connection marks the end of the
    /// response and the options do not accept that: such a response looks the same as a
    /// truncated one. Also if it declares a larger body than the options allow.
    pub(crate) fn open(
        head: &ResponseHead,
        body: BackendBody,
        offer: &RequestOffer,
        options: &ClientOptions,
    ) -> Result<Self, FailureCause> {
        let headers = head.headers();
        let marks_end = is_bodiless(offer.method == "HEAD", head) || is_framed(head);
        if !options.accept_unframed && !marks_end {
            return Err(FailureCause::BadResponse);
        }
        let is_not_run = options.headers.says_not_run(head.status.as_u16(), headers);
        let limit = options.headers.stated_limit(headers);
        let named = headers.get(CONTENT_LENGTH);
        let length = match body {
            BackendBody::Empty(_) => Some(0),
            BackendBody::Streaming(_) => named.and_then(|value| value.to_str().ok()?.parse().ok()),
        };
        let max_bytes = options.max_answer.bytes();
        if length.is_some_and(|length| length > max_bytes) {
            return Err(FailureCause::BadResponse);
        }
        let head = BackendHead {
            status: head.status.as_u16(),
            headers: options.headers.forwardable(headers),
            length,
            load: InstanceLoad::default(),
            calls: None,
        };
        Ok(Self {
            head,
            is_not_run,
            limit,
            cold: options.headers.stated_coldness(headers),
            is_leaving: options.headers.says_leaving(headers),
            body,
            received_bytes: 0,
            max_bytes,
        })
    }

    /// Whether another instance than the expected one has the address.
    #[must_use]
    pub fn is_from_other_instance(&self) -> bool {
        self.is_not_run && self.head.status == StatusCode::MISDIRECTED_REQUEST.as_u16()
    }

    /// Waits for the next bytes of the body; none at its end.
    ///
    /// # Errors
    /// `FailureCause` if the body is truncated, malformed or larger than the options allow.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, FailureCause> {
        let BackendBody::Streaming(body) = &mut self.body else {
            return Ok(None);
        };
        let chunk = body.next_chunk().await?;
        self.received_bytes += chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if self.received_bytes > self.max_bytes {
            return Err(FailureCause::BadResponse);
        }
        Ok(chunk)
    }

    /// Number of body bytes received so far.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// The connection, if the response was read to its end and the connection can be reused.
    pub(crate) fn into_reusable(self) -> Option<BackendConnection> {
        match self.body {
            BackendBody::Empty(connection) => connection,
            BackendBody::Streaming(body) => body.into_reusable(),
        }
    }
}
