//! Why an announcement was refused.

use std::net::SocketAddr;

use actix_http::StatusCode;
use quick_error::quick_error;

use crate::http::BodyError;
use crate::ids::{InstanceId, NameError};
use crate::instances::{MAX_LEASE, MIN_LEASE};
use crate::units::TimeSpan;

quick_error! {
    /// Names what is wrong and the remedy.
    #[derive(Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// The instance's name in the path is no name.
        InvalidName(cause: NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The body is not valid.
        InvalidBody(cause: String) {
            display("announcement is not valid: {cause}; send service, address, phase, slots and lease")
        }
        /// The body could not be read.
        UnreadableBody(cause: BodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The lease is out of range.
        LeaseOutOfRange(lease: TimeSpan) {
            display("lease '{lease}' is out of range; use {MIN_LEASE} to {MAX_LEASE}")
        }
        /// The address is not one of this VM.
        AddressNotLocal(address: SocketAddr) {
            display("address '{address}' is not on this VM; announce it to the daemon beside it")
        }
        /// The announcement came from another VM.
        RemoteCaller(peer: String) {
            display("announcements from '{peer}' are refused; announce to the daemon on the same VM")
        }
        /// The instance has said that it leaves.
        Leaving(instance: InstanceId) {
            display("instance '{instance}' is leaving; announce 'starting' to begin anew")
        }
        /// Another instance has taken the address since.
        Replaced(instance: InstanceId, address: SocketAddr) {
            display("instance '{instance}' is late: one that started after it announced '{address}'")
        }
        /// The instance is not known.
        UnknownInstance(instance: InstanceId) {
            display("instance '{instance}' is not known here; nothing to remove")
        }
        /// There is no room for another instance.
        TooManyInstances(most: usize) {
            display("this daemon serves {most} instances already; run fewer on one VM")
        }
        /// The daemon stops.
        Stopping {
            display("this daemon is stopping; announce again to its successor")
        }
    }
}

impl AnnounceError {
    /// The HTTP status that tells it.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::InvalidName(_)
            | Self::InvalidBody(_)
            | Self::LeaseOutOfRange(_)
            | Self::AddressNotLocal(_) => StatusCode::BAD_REQUEST,
            Self::UnreadableBody(BodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnreadableBody(BodyError::Malformed(_)) => StatusCode::BAD_REQUEST,
            Self::RemoteCaller(_) => StatusCode::FORBIDDEN,
            Self::Leaving(_) | Self::Replaced(..) => StatusCode::CONFLICT,
            Self::UnknownInstance(_) => StatusCode::NOT_FOUND,
            Self::TooManyInstances(_) | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
