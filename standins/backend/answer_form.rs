//! The forms of an answer: whole, wrong or cut.

use std::io;
use std::time::Duration;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::stream;

use crate::server_fault::FaultEffect;

/// Header that names the caller's request; echoed.
pub const TAG: &str = "x-tag";
const REQUEST_ID: &str = "x-request-id";
const CHECKSUM: &str = "x-checksum";
const INSTANCE: &str = "x-instance";
const SERVICE_MICROS: &str = "x-service-micros";
const WRONG_TAG: &str = "not-yours";
const WRONG_BODY: &[u8] = b"\x00garbage\xff";
const FILL: u8 = b'.';

/// What an answer is made of.
pub struct AnswerForm<'a> {
    /// The headers of the request.
    pub headers: &'a HeaderMap,
    /// The body of the request.
    pub body: &'a Bytes,
    /// The name of the instance.
    pub instance: &'a str,
    /// Time that it was served for.
    pub time: Duration,
    /// Least length of the answer's body.
    pub least_bytes: usize,
}

impl AnswerForm<'_> {
    /// The answer under `effect`.
    pub fn respond(&self, effect: FaultEffect) -> Response<BoxBody> {
        let body = self.right_body();
        match effect {
            FaultEffect::ServeWrong => self.wrong(&body),
            FaultEffect::ServeCut => self.with_headers(cut(body.clone()), &self.tag(), &body),
            _ => self.with_headers(BoxBody::new(body.clone()), &self.tag(), &body),
        }
    }

    /// The tag, the request's body and a filling up to the least length.
    fn right_body(&self) -> Bytes {
        let mut body = BytesMut::from(self.tag().as_bytes());
        body.extend_from_slice(b"\n");
        body.extend_from_slice(self.body);
        if body.len() < self.least_bytes {
            body.resize(self.least_bytes, FILL);
        }
        body.freeze()
    }

    fn tag(&self) -> String {
        header_text(self.headers, TAG)
    }

    fn wrong(&self, right: &Bytes) -> Response<BoxBody> {
        let body = BoxBody::new(Bytes::from_static(WRONG_BODY));
        let mut response = self.with_headers(body, WRONG_TAG, right);
        response
            .headers_mut()
            .insert(name(REQUEST_ID), HeaderValue::from_static(WRONG_TAG));
        response
    }

    fn with_headers(&self, body: BoxBody, tag: &str, right: &Bytes) -> Response<BoxBody> {
        let mut response = Response::with_body(StatusCode::OK, body);
        let headers = response.headers_mut();
        let checksum = blake3::hash(right).to_hex();
        insert(headers, TAG, tag);
        insert(headers, CHECKSUM, checksum.as_str());
        insert(headers, INSTANCE, self.instance);
        let micros = self.time.as_micros().to_string();
        insert(headers, SERVICE_MICROS, &micros);
        insert(headers, "content-type", "application/octet-stream");
        if let Some(id) = self.headers.get(REQUEST_ID) {
            headers.insert(name(REQUEST_ID), id.clone());
        }
        response
    }
}

/// A body that ends in an error halfway, although its head promised all of it.
fn cut(body: Bytes) -> BoxBody {
    let half = body.slice(..body.len() / 2);
    let parts = [
        Ok(half),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    BoxBody::new(SizedStream::new(body.len() as u64, stream::iter(parts)))
}

/// The header `name` as text, empty when absent.
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
