//! What a call to the platform that went wrong proves.

use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;

use crate::http::never_sent;
use crate::platform::PlatformError;

/// Whether a call changes anything at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEffect {
    /// It does not.
    Read,
    /// It does, if it arrives.
    Write,
}

impl CallEffect {
    /// The answer was lost: that says nothing of a write; a read never has an effect.
    #[must_use]
    pub fn response_lost(self, cause: &str) -> PlatformError {
        match self {
            Self::Read => PlatformError::Unavailable(cause.to_owned()),
            Self::Write => PlatformError::Unknown(cause.to_owned()),
        }
    }

    /// The call failed before its answer came.
    #[must_use]
    pub fn send_failed(self, cause: &SendRequestError) -> PlatformError {
        match never_sent(cause) {
            true => PlatformError::Unavailable(cause.to_string()),
            false => self.response_lost(&cause.to_string()),
        }
    }

    /// The platform answered with an error: 503 and 4xx only when it did nothing, others say nothing.
    #[must_use]
    pub fn error_status(self, status: StatusCode) -> PlatformError {
        if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
            return PlatformError::Unavailable(format!("status {status}"));
        }
        self.response_lost(&format!("status {status}"))
    }
}

/// The object that an answer to a read of one holds.
///
/// # Errors
/// `PlatformError::Unavailable` for any status but 200 and 404.
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
