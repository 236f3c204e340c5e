//! A backend server's answer whose body is still to come.

use actix_http::ResponseHead;
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use bytes::Bytes;

use crate::egress::backend_connection::{AnswerRest, BackendConnection};
use crate::ingress::header_rules::{self, REQUEST_HEADER};
use crate::wire::{AnswerHead, FailureCause, LoadFigure, RequestOffer};

/// The head of an answer and what follows it.
pub struct BackendAnswer {
    /// The head.
    pub head: AnswerHead,
    rest: AnswerRest,
    received: u64,
}

impl BackendAnswer {
    /// The answer to `offer`, which went out under `name`.
    ///
    /// # Errors
    /// `FailureCause::BadAnswer` when it names another request, or does not mark its end: an
    /// answer that only ends with its connection cannot be told from a cut one.
    pub(crate) fn open(
        head: &ResponseHead,
        rest: AnswerRest,
        offer: &RequestOffer,
        name: &str,
    ) -> Result<Self, FailureCause> {
        let headers = head.headers();
        let echoed = headers.get(REQUEST_HEADER);
        let is_crossed = echoed.is_some_and(|echoed| echoed.as_bytes() != name.as_bytes());
        if is_crossed || !marks_end(head, &offer.method) {
            return Err(FailureCause::BadAnswer);
        }
        let named = headers.get(CONTENT_LENGTH);
        let length = match rest {
            AnswerRest::Nothing(_) => Some(0),
            AnswerRest::Body(_) => named.and_then(|value| value.to_str().ok()?.parse().ok()),
        };
        let head = AnswerHead {
            status: head.status.as_u16(),
            headers: header_rules::crossing(headers),
            length,
            load: LoadFigure::default(),
        };
        Ok(Self {
            head,
            rest,
            received: 0,
        })
    }

    /// The next bytes, or none at the end of the whole answer.
    ///
    /// # Errors
    /// `FailureCause` when the body is cut, malformed, or has no mark of its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, FailureCause> {
        let AnswerRest::Body(body) = &mut self.rest else {
            return Ok(None);
        };
        let chunk = body.next().await?;
        self.received += chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        Ok(chunk)
    }

    /// Bytes of the body received so far.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    /// The connection after the whole answer, if it may be used again.
    pub(crate) fn finish(self) -> Option<BackendConnection> {
        match self.rest {
            AnswerRest::Nothing(connection) => connection,
            AnswerRest::Body(body) => body.finish(),
        }
    }
}

fn marks_end(head: &ResponseHead, method: &str) -> bool {
    let headers = head.headers();
    let is_bodiless = method == "HEAD" || matches!(head.status.as_u16(), 204 | 304);
    is_bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
