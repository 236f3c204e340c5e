//! Classification of HTTP client errors by whether the request was sent.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether the request was provably never sent, because no connection was established.
///
/// `ConnectError::Disconnected` proves nothing: `awc` also reports it when an open connection ends
/// before the response, and the server may have processed the request by then.
#[must_use]
pub const fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}
