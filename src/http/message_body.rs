//! Request bodies of limited size, and responses in plain text and JSON.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quick_error::quick_error;
use serde::Serialize;

use crate::units::ByteSize;

quick_error! {
    /// The error of reading a request body.
    #[derive(Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The body is longer than the limit.
        TooLarge(limit: ByteSize) {
            display("request body is larger than {limit}; send a smaller one")
        }
        /// The body ended early or is malformed.
        Malformed(cause: String) {
            display("request body cannot be read: {cause}")
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// `BodyError` when the body is larger, truncated or malformed.
pub async fn read_body(payload: &mut Payload, limit: ByteSize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|cause| BodyError::Malformed(cause.to_string()))?;
        if body.len() + chunk.len() > limit.as_usize() {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Builds a plain-text response that ends with a line feed.
#[must_use]
pub fn text_response(status: StatusCode, message: &str) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(format!("{message}\n")));
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Builds a JSON response, or a plain-text 500 when `value` cannot be serialized.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::with_body(status, BoxBody::new(bytes));
            let content_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(cause) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string()),
    }
}
