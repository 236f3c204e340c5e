//! Builds the caller's HTTP response from a backend server's response.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;

use crate::execution_verdict::ExecutionVerdict;
use crate::ingress::BodyBudget;
use crate::ingress::attempt_task::StreamingResponse;
use crate::ingress::held_body::HeldBody;
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::response_body::ResponseBody;
use crate::ingress::verdict_header;
use crate::time::{Deadline, ProcessClock};
use crate::wire::BackendHead;

/// A streamed body that counts its request as in flight until the body is sent or dropped.
struct TrackedBody {
    body: ResponseBody,
    _guard: InFlightGuard,
}

impl MessageBody for TrackedBody {
    type Error = <ResponseBody as MessageBody>::Error;

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

/// Builds the response for a body that was received completely.
pub(crate) fn complete_response(head: &BackendHead, body: HeldBody) -> Response<BoxBody> {
    build_response(head, BoxBody::new(body))
}

/// Builds the response for a body that is streamed until `deadline`.
pub(crate) fn streaming_response(
    response: StreamingResponse,
    deadline: Deadline,
    clock: ProcessClock,
    guard: InFlightGuard,
    budget: &BodyBudget,
) -> Response<BoxBody> {
    let head = response.head.clone();
    let body = ResponseBody::spawn(response, deadline, clock, budget);
    build_response(
        &head,
        BoxBody::new(TrackedBody {
            body,
            _guard: guard,
        }),
    )
}

fn build_response(head: &BackendHead, body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, body);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    let verdict = HeaderValue::from_static(ExecutionVerdict::Ran.as_str());
    response.headers_mut().insert(verdict_header(), verdict);
    response
}
