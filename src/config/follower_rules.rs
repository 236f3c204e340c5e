//! How often a follower asks.

use std::time::Duration;

use crate::limits::clock_margin;
use crate::settings::PlatformSettings;

const LEAST_POLL: Duration = Duration::from_secs(1);

/// Intervals and bounds of a follower.
#[derive(Debug, Clone, Copy)]
pub struct FollowerRules {
    /// How long a confirmation is good for.
    pub lease: Duration,
    /// Pause between two questions to partners.
    pub query_interval: Duration,
    /// Reads of the head that the whole fleet makes in a second.
    pub fleet_polls_per_second: u32,
    /// Whether the configuration is one document, which only its store confirms.
    pub is_document: bool,
}

impl FollowerRules {
    /// The rules of `settings`.
    #[must_use]
    pub fn from_settings(settings: &PlatformSettings) -> Self {
        Self {
            lease: settings.freshness.get(),
            query_interval: Duration::from_secs(1),
            fleet_polls_per_second: settings.head_polls_per_second.max(1),
            is_document: false,
        }
    }

    /// The rules for a configuration that is one document.
    #[must_use]
    pub fn for_document(settings: &PlatformSettings) -> Self {
        Self {
            lease: clock_margin::shortened(settings.freshness.get()),
            is_document: true,
            ..Self::from_settings(settings)
        }
    }

    /// Pause between two reads of the head in a fleet of `members` daemons.
    ///
    /// The fleet's total stays the same at any size. A daemon that hears no peer has
    /// nothing but the platform to confirm its lease, and reads more often.
    #[must_use]
    pub fn poll_interval(&self, members: u32, has_peer_answer: bool) -> Duration {
        let shared = Duration::from_secs(u64::from(members)) / self.fleet_polls_per_second;
        let pause = shared.max(LEAST_POLL);
        if has_peer_answer {
            return pause;
        }
        pause.min((self.lease / 4).max(LEAST_POLL))
    }
}
