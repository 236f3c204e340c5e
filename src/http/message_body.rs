//! Request bodies of limited size, and responses in plain text and JSON.

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quick_error::quick_error;
use serde::Serialize;

use crate::units::{ByteSize, TimeSpan};

quick_error! {
    /// The error of reading a request body.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The body is longer than the limit.
        TooLarge(limit: ByteSize) {
            display("request body is larger than {limit}; send a smaller one")
        }
        /// The body ended early or is malformed.
        Malformed(cause: String) {
            display("request body cannot be read: {cause}")
        }
        /// No byte arrived for this long.
        Stalled(span: TimeSpan) {
            display("request body made no progress for {span}; send it again without a pause")
        }
        /// The bodies of all callers together need more memory than allowed.
        NoMemory {
            display("request bodies take all the memory that they may; send the request again later")
        }
    }
}

impl BodyError {
    /// The HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::Stalled(_) => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// `BodyError` when the body is larger, truncated or malformed.
pub async fn read_body(payload: &mut Payload, limit: ByteSize) -> Result<Bytes, BodyError> {
    read_body_with(payload, limit, None, |_| true).await
}

/// Reads a complete body of at most `limit` bytes. `reserve` gets the size of each chunk and returns
/// whether there is memory for it.
///
/// # Errors
/// `BodyError` when the body is larger, truncated or malformed, when no byte arrives for
/// `progress_timeout`, or when `reserve` returns false.
pub async fn read_body_with(
    payload: &mut Payload,
    limit: ByteSize,
    progress_timeout: Option<TimeSpan>,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = next_chunk(payload, progress_timeout).await? {
        let chunk = chunk.map_err(|cause| BodyError::Malformed(cause.to_string()))?;
        if body.len() + chunk.len() > limit.as_usize() {
            return Err(BodyError::TooLarge(limit));
        }
        if !reserve(chunk.len()) {
            return Err(BodyError::NoMemory);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

async fn next_chunk(
    payload: &mut Payload,
    progress_timeout: Option<TimeSpan>,
) -> Result<Option<Result<Bytes, PayloadError>>, BodyError> {
    let Some(span) = progress_timeout else {
        return Ok(payload.next().await);
    };
    let chunk = actix_rt::time::timeout(span.get(), payload.next()).await;
    chunk.map_err(|_| BodyError::Stalled(span))
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
