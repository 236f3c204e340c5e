//! A backend server's answer whose body is still to come.

use actix_http::ResponseHead;
use actix_http::header::CONTENT_LENGTH;
use bytes::Bytes;

use crate::egress::backend_client::ClientOptions;
use crate::egress::backend_connection::{BackendConnection, ResponseBody, is_bodiless, is_framed};
use crate::wire::{AnswerHead, FailureCause, LoadFigure, RequestOffer};

/// Whether an answer is to another request than `name`: a second or late one.
pub(crate) fn is_foreign(head: &ResponseHead, options: &ClientOptions, name: &str) -> bool {
    let echoed = head.headers().get(options.headers.request());
    echoed.is_some_and(|echoed| echoed.as_bytes() != name.as_bytes())
}

/// The head of an answer and what follows it.
pub struct BackendResponse {
    /// The head.
    pub head: AnswerHead,
    /// Whether the backend server says that it did not run the request.
    pub is_not_run: bool,
    rest: ResponseBody,
    received_bytes: u64,
}

impl BackendResponse {
    /// The answer to `offer`.
    ///
    /// # Errors
    /// `FailureCause::BadAnswer` when it does not mark its end, unless the rules accept that: an
    /// answer that only ends with its connection is hard to tell from a cut one.
    pub(crate) fn open(
        head: &ResponseHead,
        rest: ResponseBody,
        offer: &RequestOffer,
        options: &ClientOptions,
    ) -> Result<Self, FailureCause> {
        let headers = head.headers();
        let marks_end = is_bodiless(offer.method == "HEAD", head) || is_framed(head);
        if !options.accept_unframed && !marks_end {
            return Err(FailureCause::BadAnswer);
        }
        let is_not_run = options.headers.says_not_run(head.status.as_u16(), headers);
        let named = headers.get(CONTENT_LENGTH);
        let length = match rest {
            ResponseBody::Empty(_) => Some(0),
            ResponseBody::Streaming(_) => named.and_then(|value| value.to_str().ok()?.parse().ok()),
        };
        let head = AnswerHead {
            status: head.status.as_u16(),
            headers: options.headers.crossing(headers),
            length,
            load: LoadFigure::default(),
        };
        Ok(Self {
            head,
            is_not_run,
            rest,
            received_bytes: 0,
        })
    }

    /// The next bytes, or none at the end of the whole answer.
    ///
    /// # Errors
    /// `FailureCause` when the body is cut, malformed, or has no mark of its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, FailureCause> {
        let ResponseBody::Streaming(body) = &mut self.rest else {
            return Ok(None);
        };
        let chunk = body.next().await?;
        self.received_bytes += chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        Ok(chunk)
    }

    /// Bytes of the body received so far.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// The connection after the whole answer, if it may be used again.
    pub(crate) fn finish(self) -> Option<BackendConnection> {
        match self.rest {
            ResponseBody::Empty(connection) => connection,
            ResponseBody::Streaming(body) => body.finish(),
        }
    }
}
