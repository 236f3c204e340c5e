//! Reads the client key from a request's `Authorization` header.

use actix_http::header::{AUTHORIZATION, HeaderMap};

use crate::ingress::request_refusal::RequestRefusal;

/// The authentication scheme, in lower case.
const SCHEME: &str = "bearer";

/// Returns the secret of the client key in the `Authorization: Bearer` header.
///
/// # Errors
/// `RequestRefusal::NoKey` when the header is missing, repeated or malformed.
pub fn bearer_secret(headers: &HeaderMap) -> Result<&str, RequestRefusal> {
    let mut values = headers.get_all(AUTHORIZATION);
    let value = values.next().ok_or(RequestRefusal::NoKey)?;
    if values.next().is_some() {
        return Err(RequestRefusal::NoKey);
    }
    let text = value.to_str().map_err(|_| RequestRefusal::NoKey)?;
    let (scheme, secret) = text.split_once(' ').ok_or(RequestRefusal::NoKey)?;
    let secret = secret.trim();
    if !scheme.eq_ignore_ascii_case(SCHEME) || secret.is_empty() {
        return Err(RequestRefusal::NoKey);
    }
    Ok(secret)
}
