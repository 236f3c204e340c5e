//! Intervals at which a configuration follower queries peers and polls the platform.

use std::time::Duration;

use crate::limits::clock_margin;
use crate::settings::PlatformSettings;

/// Shortest interval between two polls of the head by one daemon.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Lease duration and intervals of a configuration follower.
#[derive(Debug, Clone, Copy)]
pub struct FollowerRules {
    /// How long a confirmation that the catalog is the newest stays valid.
    pub lease: Duration,
    /// Mean interval between two queries to partners.
    pub query_interval: Duration,
    /// Reads of the head per second by the whole fleet together; at least 1.
    pub fleet_polls_per_second: u32,
    /// Whether the configuration is a single document, whose freshness only its store can confirm.
    pub is_document: bool,
}

impl FollowerRules {
    /// Rules for a configuration in the platform's table.
    #[must_use]
    pub fn from_settings(settings: &PlatformSettings) -> Self {
        Self {
            lease: settings.freshness.get(),
            query_interval: Duration::from_secs(1),
            fleet_polls_per_second: settings.head_polls_per_second.max(1),
            is_document: false,
        }
    }

    /// Rules for a configuration that is a single document; the lease is shortened by the clock
    /// margin.
    #[must_use]
    pub fn for_document(settings: &PlatformSettings) -> Self {
        Self {
            lease: clock_margin::shortened(settings.freshness.get()),
            is_document: true,
            ..Self::from_settings(settings)
        }
    }

    /// Mean interval between two reads of the head by one daemon in a fleet of `members` daemons.
    ///
    /// The interval grows with the fleet, so that the fleet's total rate stays the same. A daemon
    /// without answers from peers can renew its lease only at the platform, so its mean
    /// interval is at most a quarter of the lease, or one second if that is longer.
    #[must_use]
    pub fn poll_interval(&self, members: u32, has_peer_answer: bool) -> Duration {
        let shared = Duration::from_secs(u64::from(members)) / self.fleet_polls_per_second;
        let interval = shared.max(MIN_POLL_INTERVAL);
        if has_peer_answer {
            return interval;
        }
        interval.min((self.lease / 4).max(MIN_POLL_INTERVAL))
    }
}
