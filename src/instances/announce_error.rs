//! Errors that a backend server gets in reply to an announcement.

use std::net::SocketAddr;

use actix_http::StatusCode;
use quick_error::quick_error;

use crate::http::BodyError;
use crate::ids::{InstanceId, NameError};
use crate::instances::{MAX_LEASE, MIN_LEASE};
use crate::units::TimeSpan;

quick_error! {
    /// Reason why an announcement or removal was refused. The message also tells how to fix it.
    #[derive(Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// The instance name in the URL path is malformed.
        InvalidName(cause: NameError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The body is not a valid JSON announcement.
        InvalidBody(cause: String) {
            display("announcement is not valid: {cause}; send service, address, phase, slots and lease")
        }
        /// The body is too large or was not received completely.
        UnreadableBody(cause: BodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The lease is shorter than `MIN_LEASE` or longer than `MAX_LEASE`.
        LeaseOutOfRange(lease: TimeSpan) {
            display("lease '{lease}' is out of range; use {MIN_LEASE} to {MAX_LEASE}")
        }
        /// The address is not an IP address of this VM, or its port is 0.
        AddressNotLocal(address: SocketAddr) {
            display("address '{address}' is not on this VM; announce it to the daemon beside it")
        }
        /// The request came from another VM.
        RemoteCaller(peer: String) {
            display("announcements from '{peer}' are refused; announce to the daemon on the same VM")
        }
        /// The instance announced `draining` or `gone` before, and may only return with `starting`.
        Leaving(instance: InstanceId) {
            display("instance '{instance}' is leaving; announce 'starting' to begin anew")
        }
        /// An instance that started later has announced the same address.
        Replaced(instance: InstanceId, address: SocketAddr) {
            display("instance '{instance}' is late: one that started after it announced '{address}'")
        }
        /// The instance to remove is not registered at this daemon.
        UnknownInstance(instance: InstanceId) {
            display("instance '{instance}' is not known here; nothing to remove")
        }
        /// The maximum number of instances is registered already.
        TooManyInstances(maximum: usize) {
            display("this daemon serves {maximum} instances already; run fewer on one VM")
        }
        /// The daemon is shutting down and accepts no new instance.
        Stopping {
            display("this daemon is stopping; announce again to its successor")
        }
    }
}

impl AnnounceError {
    /// The HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::InvalidName(_)
            | Self::InvalidBody(_)
            | Self::LeaseOutOfRange(_)
            | Self::AddressNotLocal(_) => StatusCode::BAD_REQUEST,
            Self::UnreadableBody(error) => error.status(),
            Self::RemoteCaller(_) => StatusCode::FORBIDDEN,
            Self::Leaving(_) | Self::Replaced(..) => StatusCode::CONFLICT,
            Self::UnknownInstance(_) => StatusCode::NOT_FOUND,
            Self::TooManyInstances(_) | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
