//! Decides from which announcement on an instance that is new to this process is used.

use std::time::Duration;

use crate::instances::{Announcement, LATE_ANNOUNCEMENTS};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstancePhase;

/// How long before the end of the trust an unconfirmed instance is taken out of use, so that requests
/// on their way to it arrive before the end.
const TRUST_MARGIN: Duration = Duration::from_millis(200);

/// Decides whether an instance that this process hears of for the first time is used at once.
///
/// An earlier process of this daemon may have acknowledged that the instance leaves, and the announcement
/// may be older than that. What that process knew is learnt from other daemons and from the platform; see
/// [`LeftRuns`](crate::instances::LeftRuns). Until then, and if neither answers, a later announcement
/// of the same run counts as a sign that the instance has not left. Shortly after the start the first one is
/// trusted, so that a restart of all daemons does not leave the fleet without instances.
#[derive(Debug, Clone, Default)]
pub struct RenewalRule {
    /// Unix time of the start of the process in milliseconds.
    started_millis: u64,
    trusted_until: Option<Deadline>,
    checked_until: Option<Deadline>,
}

/// What a first announcement permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstUse {
    /// The instance is used.
    Confirmed,
    /// The instance is used until this deadline, unless a later announcement confirms it. The deadline
    /// may have passed.
    Until(Deadline),
}

impl RenewalRule {
    /// Creates the rule of a process that started at `start`, which is `started_millis` as Unix time, and
    /// trusts first announcements for `trust`.
    #[must_use]
    pub fn open(start: MonoTime, started_millis: u64, trust: Duration) -> Self {
        Self {
            started_millis,
            trusted_until: Some(start.after(trust.saturating_sub(TRUST_MARGIN))),
            checked_until: Some(start.after(LATE_ANNOUNCEMENTS)),
        }
    }

    /// Whether `announcement`, the first one of its instance, may be from before a leave that an earlier
    /// process acknowledged.
    ///
    /// One without an order cannot be told from others, and is trusted.
    #[must_use]
    pub fn may_be_late(&self, announcement: &Announcement, now: MonoTime) -> bool {
        let (Some(checked_until), Some(order)) = (self.checked_until, announcement.order) else {
            return false;
        };
        let is_older = order.started_millis < self.started_millis;
        is_older && announcement.phase == InstancePhase::Ready && !checked_until.has_passed(now)
    }

    /// What `announcement`, the first one of its instance, permits that arrives at `now`.
    #[must_use]
    pub fn first_use(&self, announcement: &Announcement, now: MonoTime) -> FirstUse {
        match self.trusted_until {
            Some(trusted_until) if self.may_be_late(announcement, now) => {
                FirstUse::Until(trusted_until)
            }
            _ => FirstUse::Confirmed,
        }
    }
}
