//! Which headers cross the fleet, and where a key may hide.

use actix_http::header::HeaderMap;
use memchr::{memchr, memmem};

/// Header in which callers present their key.
pub const KEY_HEADER: &str = "authorization";

/// Header in which a caller names its deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header that names a request; an answer that names another request is not passed on.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Headers that may carry a credential; none crosses.
const CREDENTIAL_HEADERS: [&str; 6] = [
    KEY_HEADER,
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "api-key",
    "cookie",
];

/// Headers that belong to one connection, as HTTP names them, and those that each hop sets anew.
const CONNECTION_HEADERS: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host",
    REQUEST_HEADER,
    DEADLINE_HEADER,
    "x-wagtailtrack-verdict",
];

/// Plain names and values, as they travel between daemons.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// The headers of a caller's request that may cross to a backend server.
#[must_use]
pub fn crossing_request(headers: &HeaderMap, secret: &str) -> HeaderList {
    crossing(headers)
        .into_iter()
        .filter(|(name, _)| !CREDENTIAL_HEADERS.contains(&name.as_str()))
        .filter(|(name, value)| !contains(value, secret) && !contains(name.as_bytes(), secret))
        .collect()
}

/// The headers of a backend server's answer that may cross to the caller.
#[must_use]
pub fn crossing(headers: &HeaderMap) -> HeaderList {
    let named = named_by_connection(headers);
    headers
        .iter()
        .map(|(name, value)| {
            (
                name.as_str().to_ascii_lowercase(),
                value.as_bytes().to_vec(),
            )
        })
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !named.contains(name))
        .collect()
}

/// Whether `bytes` hold the secret, plainly or percent-encoded.
#[must_use]
pub fn contains(bytes: &[u8], secret: &str) -> bool {
    if secret.is_empty() {
        return false;
    }
    let is_escaped = memchr(b'%', bytes).is_some();
    memmem::find(bytes, secret.as_bytes()).is_some()
        || (is_escaped && memmem::find(&percent_decoded(bytes), secret.as_bytes()).is_some())
}

fn percent_decoded(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, after)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| hex_byte(after)).flatten();
        decoded.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() {
            &after[2..]
        } else {
            after
        };
    }
    decoded
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(text, 16).ok()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
