//! Maps failed platform calls to errors that tell whether the call may have taken effect.

use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;

use crate::http::never_sent;
use crate::platform::PlatformError;

/// Whether a call modifies data in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEffect {
    /// A read, which can be repeated safely.
    Read,
    /// A write, which takes effect if the request reaches the store.
    Write,
}

impl CallEffect {
    /// Returns the error for a call whose response was lost.
    ///
    /// A write may have taken effect; a read never has one.
    #[must_use]
    pub fn response_lost(self, cause: &str) -> PlatformError {
        match self {
            Self::Read => PlatformError::Unavailable(cause.to_owned()),
            Self::Write => PlatformError::ResponseLost(cause.to_owned()),
        }
    }

    /// Returns the error for a call that failed before the response's head arrived.
    ///
    /// A request that was provably not sent had no effect.
    #[must_use]
    pub fn send_failed(self, cause: &SendRequestError) -> PlatformError {
        match never_sent(cause) {
            true => PlatformError::Unavailable(cause.to_string()),
            false => self.response_lost(&cause.to_string()),
        }
    }

    /// Returns the error for a response with an unexpected status.
    ///
    /// The platform sends 503 and 4xx only for calls that had no effect. Any other status leaves
    /// open whether a write took effect.
    #[must_use]
    pub fn error_status(self, status: StatusCode) -> PlatformError {
        if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
            return PlatformError::Unavailable(format!("status {status}"));
        }
        self.response_lost(&format!("status {status}"))
    }
}

/// Returns the object in the response to a read, or `None` when the object does not exist.
///
/// # Errors
/// Returns `PlatformError::Unavailable` for any status other than 200 and 404.
pub fn object_from_response(
    status: StatusCode,
    bytes: &Bytes,
) -> Result<Option<Vec<u8>>, PlatformError> {
    match status {
        StatusCode::OK => Ok(Some(bytes.to_vec())),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(CallEffect::Read.error_status(status)),
    }
}
