//! Short answers and bounded bodies.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quick_error::quick_error;
use serde::Serialize;

use crate::units::ByteSize;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// It is longer than allowed.
        TooLarge(most: ByteSize) {
            display("request body is larger than {most}; send a smaller one")
        }
        /// It ended early or is malformed.
        Malformed(cause: String) {
            display("request body cannot be read: {cause}")
        }
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
/// `BodyError` when it is larger, cut or malformed.
pub async fn read_body(payload: &mut Payload, most: ByteSize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|cause| BodyError::Malformed(cause.to_string()))?;
        if body.len() + chunk.len() > most.as_usize() {
            return Err(BodyError::TooLarge(most));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// An answer in plain text.
#[must_use]
pub fn text_response(status: StatusCode, message: &str) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(format!("{message}\n")));
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// An answer in JSON.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::with_body(status, BoxBody::new(bytes));
            let kind = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
        Err(cause) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string()),
    }
}
