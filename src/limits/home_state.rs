//! An ingress's dealings with the home of one half of an account's shares.

use std::time::Duration;

use crate::limits::{HomeRole, HomeStatus};
use crate::time::{Deadline, MonoTime};

/// A home that has not answered for this long is passed over.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// A home that failed is passed over for this long, if there is another.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
/// A daemon that is no home is passed over for this long.
const NOT_HOME_BACKOFF: Duration = Duration::from_millis(20);
/// How long a backup that has answered is asked in place of a home that has no loans yet: the loans
/// pass to the home meanwhile.
const BACKUP_PREFERENCE: Duration = Duration::from_millis(500);

/// What is known of one half.
#[derive(Debug, Clone, Copy)]
pub struct HomeState {
    used: bool,
    requested: Option<MonoTime>,
    empty_until: MonoTime,
    /// Until when it is not asked.
    skipped_until: MonoTime,
    /// Until when it counts as lost.
    silent_until: MonoTime,
    /// Until when the home is left to borrow, having said that it has no loans.
    borrowing_until: MonoTime,
    /// Until when the backup is expected to have loans.
    backup_ready_until: MonoTime,
}

impl HomeState {
    /// A lane; `used` when the account has shares in this half.
    #[must_use]
    pub const fn open(used: bool) -> Self {
        Self {
            used,
            requested: None,
            empty_until: MonoTime::ZERO,
            skipped_until: MonoTime::ZERO,
            silent_until: MonoTime::ZERO,
            borrowing_until: MonoTime::ZERO,
            backup_ready_until: MonoTime::ZERO,
        }
    }

    /// Whether the account has shares in this half.
    #[must_use]
    pub const fn is_used(&self) -> bool {
        self.used
    }

    /// Whether an ask may leave, if only to report.
    #[must_use]
    pub fn can_report(&self, now: MonoTime) -> bool {
        self.used && self.requested.is_none() && now >= self.skipped_until
    }

    /// Whether an ask for tokens may leave.
    #[must_use]
    pub fn can_request(&self, now: MonoTime) -> bool {
        self.can_report(now) && now >= self.empty_until
    }

    /// Whether an answer is still to be expected soon.
    #[must_use]
    pub fn awaits_answer(&self, now: MonoTime) -> bool {
        self.requested
            .is_some_and(|sent| now.since(sent) < HEDGE_DELAY)
    }

    /// Whether the home said that there are no tokens.
    #[must_use]
    pub fn is_empty(&self, now: MonoTime) -> bool {
        now < self.empty_until
    }

    /// Whether the home did not answer just now.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        now < self.silent_until
    }

    /// What the home is known to say.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HomeStatus {
        match self {
            home if !home.used => HomeStatus::Unused,
            home if home.is_empty(now) => HomeStatus::Empty(home.empty_until.since(now)),
            home if home.is_silent(now) => HomeStatus::Silent,
            _ => HomeStatus::Unknown,
        }
    }

    /// Until when there are no tokens.
    #[must_use]
    pub const fn empty_until(&self) -> Deadline {
        Deadline::at(self.empty_until)
    }

    /// An ask leaves.
    pub const fn record_request(&mut self, now: MonoTime) {
        self.requested = Some(now);
    }

    /// An answer came that is no refusal of the role.
    pub fn record_answer(&mut self, role: HomeRole, now: MonoTime) {
        self.requested = None;
        if role == HomeRole::Backup {
            self.backup_ready_until = now + BACKUP_PREFERENCE;
        }
    }

    /// Whether the backup should be asked although the home answers.
    #[must_use]
    pub fn prefers_backup(&self, now: MonoTime) -> bool {
        now < self.borrowing_until.min(self.backup_ready_until)
    }

    /// There are no tokens for `wait`.
    pub fn record_empty(&mut self, wait: Duration, now: MonoTime) {
        self.empty_until = now + wait;
    }

    /// The daemon is no home of this half yet: it may borrow for it within milliseconds.
    pub fn record_not_home(&mut self, role: HomeRole, now: MonoTime) {
        self.requested = None;
        self.skipped_until = now + NOT_HOME_BACKOFF;
        self.silent_until = now;
        if role == HomeRole::Home {
            self.borrowing_until = now + BACKUP_PREFERENCE;
        }
    }

    /// The ask failed; `is_last` when there is no other daemon to ask instead.
    pub fn record_failure(&mut self, is_last: bool, now: MonoTime) {
        self.requested = None;
        self.silent_until = now + FAILURE_BACKOFF;
        self.skipped_until = match is_last {
            true => self.silent_until,
            false => now,
        };
    }
}
