//! Body of the HTTP request by which a backend server registers its instance.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceRun, ServiceId};
use crate::instances::AnnounceError;
use crate::units::{Slots, TimeSpan};
use crate::wire::InstancePhase;

/// Shortest lease that an instance may request.
pub const MIN_LEASE: TimeSpan = TimeSpan::from_millis(500);
/// Longest lease that an instance may request.
pub const MAX_LEASE: TimeSpan = TimeSpan::from_secs(60);
/// Time in which announcements that were sent before some moment may arrive after it. They are a few
/// seconds late at most.
pub const LATE_ANNOUNCEMENTS: Duration = Duration::from_secs(30);

/// State of an instance as announced by its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the instance belongs to.
    pub service: ServiceId,
    /// Address at which the instance accepts requests; it must be on this VM.
    pub address: SocketAddr,
    /// Lifecycle phase of the instance.
    pub phase: InstancePhase,
    /// Maximum number of requests that the instance processes concurrently.
    pub slots: Slots,
    /// How long the announcement is valid unless it is renewed.
    pub lease: TimeSpan,
    /// Position of this announcement, by which late ones are recognized. Optional: without it,
    /// announcements take effect in the order in which they arrive.
    #[serde(default)]
    pub order: Option<AnnounceOrder>,
    /// How long the instance stays cold, zero while it is warm. Optional: an instance that does not
    /// report it counts as warm some time after its start.
    #[serde(default)]
    pub cold: Option<TimeSpan>,
}

/// Position in the announcements of one backend server, across its restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceOrder {
    /// When the backend server started, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// Number of the announcement since that start; higher is newer.
    pub sequence: u64,
}

impl AnnounceOrder {
    /// The run that the announcement belongs to.
    #[must_use]
    pub const fn run(self) -> InstanceRun {
        InstanceRun(self.started_millis)
    }
}

impl Announcement {
    /// Parses an announcement from JSON and validates it.
    ///
    /// # Errors
    /// `InvalidBody` if the JSON does not match, `LeaseOutOfRange` if the lease is not between
    /// `MIN_LEASE` and `MAX_LEASE`, and `AddressNotLocal` if the IP address is unspecified or the
    /// port is 0.
    pub fn parse(body: &[u8]) -> Result<Self, AnnounceError> {
        let announcement: Self = serde_json::from_slice(body)
            .map_err(|cause| AnnounceError::InvalidBody(cause.to_string()))?;
        let lease = announcement.lease;
        if lease < MIN_LEASE || lease > MAX_LEASE {
            return Err(AnnounceError::LeaseOutOfRange(lease));
        }
        if announcement.address.port() == 0 || announcement.address.ip().is_unspecified() {
            return Err(AnnounceError::AddressNotLocal(announcement.address));
        }
        Ok(announcement)
    }
}
