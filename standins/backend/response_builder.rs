//! Builds the HTTP response of a served request: complete, mismatched or truncated.

use std::io;
use std::time::Duration;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::stream;

use crate::server_fault::FaultEffect;

/// Request header with a tag chosen by the caller; the response repeats it.
pub const TAG: &str = "x-tag";
const REQUEST_ID: &str = "x-request-id";
const CHECKSUM: &str = "x-checksum";
const INSTANCE: &str = "x-instance";
const LIMIT: &str = "x-instance-limit";
const LEAVING: &str = "x-instance-leaving";
const SERVICE_MICROS: &str = "x-service-micros";
const MISMATCHED_TAG: &str = "not-yours";
const MISMATCHED_BODY: &[u8] = b"\x00garbage\xff";
const PADDING: u8 = b'.';

/// The parts of a response to one served request.
pub struct ResponseBuilder<'a> {
    /// Request headers, of which the tag and the request ID are repeated.
    pub headers: &'a HeaderMap,
    /// Request body, repeated in the response body.
    pub body: &'a Bytes,
    /// Name of the instance, sent in `x-instance`.
    pub instance: &'a str,
    /// Time that the request was served for, sent in `x-service-micros`.
    pub service_time: Duration,
    /// Minimum length of the response body, in bytes; a shorter one is padded.
    pub min_bytes: usize,
    /// Limit in requests per second, sent in `x-instance-limit`; none is not sent.
    pub limit: Option<f64>,
    /// Whether `x-instance-leaving` is sent.
    pub says_leaving: bool,
}

impl ResponseBuilder<'_> {
    /// Builds the response, with a mismatched or truncated body if `effect` asks for one.
    pub fn build(&self, effect: FaultEffect) -> Response<BoxBody> {
        let body = self.expected_body();
        match effect {
            FaultEffect::ServeMismatched => self.mismatched(&body),
            FaultEffect::ServeTruncated => {
                self.with_headers(truncated(body.clone()), &self.tag(), &body)
            }
            _ => self.with_headers(BoxBody::new(body.clone()), &self.tag(), &body),
        }
    }

    /// The tag, a line feed and the request body, padded to `min_bytes`.
    fn expected_body(&self) -> Bytes {
        let mut body = BytesMut::from(self.tag().as_bytes());
        body.extend_from_slice(b"\n");
        body.extend_from_slice(self.body);
        if body.len() < self.min_bytes {
            body.resize(self.min_bytes, PADDING);
        }
        body.freeze()
    }

    fn tag(&self) -> String {
        header_text(self.headers, TAG)
    }

    /// A response whose body, tag and request ID belong to no request.
    fn mismatched(&self, expected: &Bytes) -> Response<BoxBody> {
        let body = BoxBody::new(Bytes::from_static(MISMATCHED_BODY));
        let mut response = self.with_headers(body, MISMATCHED_TAG, expected);
        response
            .headers_mut()
            .insert(name(REQUEST_ID), HeaderValue::from_static(MISMATCHED_TAG));
        response
    }

    fn with_headers(&self, body: BoxBody, tag: &str, expected: &Bytes) -> Response<BoxBody> {
        let mut response = Response::with_body(StatusCode::OK, body);
        let headers = response.headers_mut();
        let checksum = blake3::hash(expected).to_hex();
        insert(headers, TAG, tag);
        insert(headers, CHECKSUM, checksum.as_str());
        insert(headers, INSTANCE, self.instance);
        let micros = self.service_time.as_micros().to_string();
        insert(headers, SERVICE_MICROS, &micros);
        insert(headers, "content-type", "application/octet-stream");
        if self.says_leaving {
            insert(headers, LEAVING, "1");
        }
        if let Some(limit) = self.limit {
            insert(headers, LIMIT, &limit.to_string());
        }
        if let Some(id) = self.headers.get(REQUEST_ID) {
            headers.insert(name(REQUEST_ID), id.clone());
        }
        response
    }
}

/// A body that fails after its first half, although `content-length` announces all of it.
fn truncated(body: Bytes) -> BoxBody {
    let half = body.slice(..body.len() / 2);
    let parts = [
        Ok(half),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    BoxBody::new(SizedStream::new(body.len() as u64, stream::iter(parts)))
}

/// The value of header `name` as text; empty if the header is absent.
pub fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).map(HeaderValue::as_bytes);
    String::from_utf8_lossy(value.unwrap_or_default()).into_owned()
}

fn insert(headers: &mut HeaderMap, field: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name(field), value);
    }
}

const fn name(field: &'static str) -> HeaderName {
    HeaderName::from_static(field)
}
