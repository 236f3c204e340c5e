//! Whether a failed request of the HTTP client can have arrived.

use awc::error::{ConnectError, SendRequestError};

/// Whether the request provably never left, because there was no connection.
///
/// `ConnectError::Disconnected` is no such proof: the client reports it, too, when an open
/// connection ends before the answer, and the request may have been carried out then.
#[must_use]
pub const fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}
