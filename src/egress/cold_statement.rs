//! What an instance says about its coldness.

use std::time::Duration;

use crate::instances::AnnounceOrder;
use crate::time::MonoTime;

/// Longest time that an announcement is taken to be under way.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_secs(4);

/// A statement of an instance about how long it stays cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStatement {
    /// Time that the instance stays cold; zero while it is warm.
    pub left: Duration,
    /// Earliest time at which the instance may have made the statement. None if it may be from before
    /// this process started.
    pub made_after: Option<MonoTime>,
    /// Position of the announcement that holds the statement, if it has one.
    pub order: Option<AnnounceOrder>,
}

impl ColdStatement {
    /// Returns the statement of an announcement that arrived at `now`.
    #[must_use]
    pub fn of_announcement(left: Duration, order: Option<AnnounceOrder>, now: MonoTime) -> Self {
        let age = now.since(MonoTime::ZERO).checked_sub(MAX_ANNOUNCE_DELAY);
        Self {
            left,
            made_after: age.map(|age| MonoTime::ZERO + age),
            order,
        }
    }

    /// Returns the statement of a response to a request that was sent at `sent`.
    #[must_use]
    pub const fn of_response(left: Duration, sent: MonoTime) -> Self {
        Self {
            left,
            made_after: Some(sent),
            order: None,
        }
    }
}
