//! A grant of tokens at an ingress.

use std::time::Duration;

use crate::ids::BootId;
use crate::time::{Deadline, MonoTime};
use crate::wire::GrantUsage;

/// A grant with less than 1/4 of its life left is closed, and its unspent tokens return to the
/// home.
const CLOSING_DIVISOR: u32 = 4;

/// A grant that the ingress may spend.
#[derive(Debug)]
pub struct HeldGrant {
    /// The half of the shares that it is from, 0 or 1.
    pub half: u8,
    /// The home that issued it.
    pub home: BootId,
    /// The home's id for it.
    pub id: u64,
    /// Unspent tokens.
    pub left: u32,
    /// Spent tokens.
    pub spent: u32,
    /// Spent tokens that were reported to the home.
    pub reported: u32,
    /// When it expires.
    pub until: Deadline,
    /// Its life when it was issued.
    pub life: Duration,
    /// Whether spent tokens are reported at once, because the burst is short.
    pub reports_at_once: bool,
}

impl HeldGrant {
    /// When its unspent tokens return to the home; `now` if that is past.
    #[must_use]
    pub fn closes_at(&self, now: MonoTime) -> MonoTime {
        let left = self.until.remaining(now);
        now + left.saturating_sub(self.life / CLOSING_DIVISOR)
    }

    /// Whether a report to the home is due.
    #[must_use]
    pub fn needs_report(&self, now: MonoTime) -> bool {
        let unspent = self.left > 0 && self.is_expiring(now);
        let unreported = self.spent > self.reported && (self.reports_at_once || self.left == 0);
        unspent || unreported
    }

    /// Builds the report to the home, or `None` if nothing has changed. Closes the grant if it is
    /// about to expire.
    pub fn report(&mut self, now: MonoTime) -> Option<GrantUsage> {
        let closed = self.is_expiring(now) || self.left == 0;
        let is_changed = self.spent > self.reported || (closed && self.left > 0);
        if closed {
            self.left = 0;
        }
        self.reported = self.spent;
        is_changed.then_some(GrantUsage {
            grant: self.id,
            spent: self.spent,
            closed,
        })
    }

    fn is_expiring(&self, now: MonoTime) -> bool {
        self.until.remaining(now) < self.life / CLOSING_DIVISOR
    }
}
