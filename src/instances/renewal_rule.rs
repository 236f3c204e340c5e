//! Decides from which announcement on an instance that is new to this process is used.

use std::time::Duration;

use crate::hash::FastSet;
use crate::ids::InstanceId;
use crate::instances::Announcement;
use crate::time::{Deadline, MonoTime};
use crate::wire::InstancePhase;

/// Time after the start of a process in which announcements that were sent before it may arrive. They
/// are a few seconds old at most.
const LATE_ANNOUNCEMENTS: Duration = Duration::from_secs(30);
/// How long before the end of the trust an unconfirmed instance is taken out of use, so that requests
/// on their way to it arrive before the end.
const TRUST_MARGIN: Duration = Duration::from_millis(200);

/// Decides whether an instance that this process hears of for the first time is used at once.
///
/// An earlier process of this daemon may have acknowledged that the instance leaves, and the announcement
/// may be older than that. A later one of the same run shows that the instance has not left: it announces
/// nothing after it is gone, and `draining` before that. Shortly after the start the first announcement
/// is trusted nevertheless, so that a restart of all daemons does not leave the fleet without instances.
#[derive(Debug, Clone, Default)]
pub struct RenewalRule {
    /// Unix time of the start of the process in milliseconds.
    started_millis: u64,
    trusted_until: Option<Deadline>,
    checked_until: Option<Deadline>,
    /// Instances that the earlier process published as gone.
    left: FastSet<InstanceId>,
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
            left: FastSet::default(),
        }
    }

    /// Trusts no first announcement of `instance`: the earlier process published it as gone.
    pub fn note_left(&mut self, instance: &InstanceId) {
        self.left.insert(instance.clone());
    }

    /// What the first announcement of `instance` permits that arrives at `now`.
    ///
    /// An announcement without an order cannot be confirmed by a later one, and is trusted.
    #[must_use]
    pub fn first_use(
        &self,
        instance: &InstanceId,
        announcement: &Announcement,
        now: MonoTime,
    ) -> FirstUse {
        let (Some(trusted_until), Some(checked_until), Some(order)) =
            (self.trusted_until, self.checked_until, announcement.order)
        else {
            return FirstUse::Confirmed;
        };
        let is_younger = order.started_millis >= self.started_millis;
        let is_ready = announcement.phase == InstancePhase::Ready;
        if is_younger || !is_ready || checked_until.has_passed(now) {
            return FirstUse::Confirmed;
        }
        match self.left.contains(instance) {
            true => FirstUse::Until(Deadline::at(now)),
            false => FirstUse::Until(trusted_until),
        }
    }
}
