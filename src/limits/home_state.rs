//! An ingress's dealings with the home of one half of an account's shares.

use std::time::Duration;

use crate::limits::{HomeRole, HomeStatus};
use crate::time::{Deadline, MonoTime};

/// A home that has not answered for this long is passed over.
const HEDGE_WAIT: Duration = Duration::from_millis(40);
/// A home that failed is passed over for this long, if there is another.
const SILENT_WAIT: Duration = Duration::from_millis(300);
/// A daemon that is no home is passed over for this long.
const NOT_HOME_WAIT: Duration = Duration::from_millis(20);
/// How long a backup that has answered is asked in place of a home that has no loans yet: the loans
/// pass to the home meanwhile.
const BACKUP_WAIT: Duration = Duration::from_millis(500);

/// What is known of one half.
#[derive(Debug, Clone, Copy)]
pub struct HomeState {
    used: bool,
    asked: Option<MonoTime>,
    empty_until: MonoTime,
    /// Until when it is not asked.
    passed_until: MonoTime,
    /// Until when it counts as lost.
    silent_until: MonoTime,
    /// Until when the home is left to borrow, having said that it has no loans.
    borrows_until: MonoTime,
    /// Until when the backup is expected to have loans.
    backed_until: MonoTime,
}

impl HomeState {
    /// A lane; `used` when the account has shares in this half.
    #[must_use]
    pub const fn open(used: bool) -> Self {
        Self {
            used,
            asked: None,
            empty_until: MonoTime::ZERO,
            passed_until: MonoTime::ZERO,
            silent_until: MonoTime::ZERO,
            borrows_until: MonoTime::ZERO,
            backed_until: MonoTime::ZERO,
        }
    }

    /// Whether the account has shares in this half.
    #[must_use]
    pub const fn is_used(&self) -> bool {
        self.used
    }

    /// Whether an ask may leave, if only to report.
    #[must_use]
    pub fn is_open(&self, now: MonoTime) -> bool {
        self.used && self.asked.is_none() && now >= self.passed_until
    }

    /// Whether an ask for tokens may leave.
    #[must_use]
    pub fn is_ready(&self, now: MonoTime) -> bool {
        self.is_open(now) && now >= self.empty_until
    }

    /// Whether an answer is still to be expected soon.
    #[must_use]
    pub fn is_pending_fresh(&self, now: MonoTime) -> bool {
        self.asked.is_some_and(|sent| now.since(sent) < HEDGE_WAIT)
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
            lane if !lane.used => HomeStatus::Unused,
            lane if lane.is_empty(now) => HomeStatus::Empty(lane.empty_until.since(now)),
            lane if lane.is_silent(now) => HomeStatus::Silent,
            _ => HomeStatus::Unknown,
        }
    }

    /// Until when there are no tokens.
    #[must_use]
    pub const fn empty_until(&self) -> Deadline {
        Deadline::at(self.empty_until)
    }

    /// An ask leaves.
    pub const fn ask(&mut self, now: MonoTime) {
        self.asked = Some(now);
    }

    /// An answer came that is no refusal of the role.
    pub fn answered(&mut self, role: HomeRole, now: MonoTime) {
        self.asked = None;
        if role == HomeRole::Backup {
            self.backed_until = now + BACKUP_WAIT;
        }
    }

    /// Whether the backup should be asked although the home answers.
    #[must_use]
    pub fn prefers_backup(&self, now: MonoTime) -> bool {
        now < self.borrows_until.min(self.backed_until)
    }

    /// There are no tokens for `wait`.
    pub fn empty(&mut self, wait: Duration, now: MonoTime) {
        self.empty_until = now + wait;
    }

    /// The daemon is no home of this half yet: it may borrow for it within milliseconds.
    pub fn not_home(&mut self, role: HomeRole, now: MonoTime) {
        self.asked = None;
        self.passed_until = now + NOT_HOME_WAIT;
        self.silent_until = now;
        if role == HomeRole::Home {
            self.borrows_until = now + BACKUP_WAIT;
        }
    }

    /// The ask failed; `is_last` when there is no other daemon to ask instead.
    pub fn failed(&mut self, is_last: bool, now: MonoTime) {
        self.asked = None;
        self.silent_until = now + SILENT_WAIT;
        self.passed_until = match is_last {
            true => self.silent_until,
            false => now,
        };
    }
}
