//! The body of an announcement.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::instances::AnnounceError;
use crate::units::{Slots, TimeSpan};
use crate::wire::InstancePhase;

/// Shortest lease that an instance may ask for.
pub const MIN_LEASE: TimeSpan = TimeSpan::from_millis(500);
/// Longest lease that an instance may ask for.
pub const MAX_LEASE: TimeSpan = TimeSpan::from_secs(60);

/// What a backend server says of one of its instances.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its phase.
    pub phase: InstancePhase,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// How long the announcement holds without a renewal.
    pub lease: TimeSpan,
    /// Tells a late announcement from the newest one, where the backend server says so.
    #[serde(default)]
    pub order: Option<AnnounceOrder>,
}

/// Orders the announcements of one backend server and its restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceOrder {
    /// When the backend server started, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// Counts its announcements since then.
    pub sequence: u64,
}

impl Announcement {
    /// Reads an announcement from JSON.
    ///
    /// # Errors
    /// `AnnounceError` names what is wrong and the remedy.
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
