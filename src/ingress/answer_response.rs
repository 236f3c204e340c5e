//! Turns a backend server's answer into the caller's.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;

use crate::ingress::answer_body::AnswerBody;
use crate::ingress::attempt_task::LongAnswer;
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::verdict_name;
use crate::time::{Deadline, ProcessClock};
use crate::verdict::Verdict;
use crate::wire::AnswerHead;

/// A long answer's body; its request counts as under way until it has left.
struct CountedBody {
    body: AnswerBody,
    _count: InFlightGuard,
}

impl MessageBody for CountedBody {
    type Error = <AnswerBody as MessageBody>::Error;

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

/// An answer that is here whole.
pub(crate) fn whole_response(head: &AnswerHead, body: Vec<u8>) -> Response<BoxBody> {
    answer_response(head, BoxBody::new(body))
}

/// An answer whose rest is still to come.
pub(crate) fn long_response(
    long: LongAnswer,
    deadline: Deadline,
    clock: ProcessClock,
    count: InFlightGuard,
) -> Response<BoxBody> {
    let head = long.head.clone();
    let body = AnswerBody::spawn(long, deadline, clock);
    answer_response(
        &head,
        BoxBody::new(CountedBody {
            body,
            _count: count,
        }),
    )
}

fn answer_response(head: &AnswerHead, body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, body);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(verdict_name(), verdict);
    response
}
