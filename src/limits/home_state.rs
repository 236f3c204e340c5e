//! What an ingress knows of a daemon that grants it tokens: outstanding request, backoff and last
//! answer.

use std::time::Duration;

use crate::limits::{HomeRole, HomeStatus};
use crate::time::MonoTime;

/// If a home has not answered after this time, tokens are requested from the other home as well.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// How long a home counts as silent after a failed request. If no other daemon can take its place,
/// it is not called during this time.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
/// How long a daemon that answered that it is not the home is not called.
const NOT_HOME_BACKOFF: Duration = Duration::from_millis(20);
/// How long a backup that has answered is called in place of a home without loans: the loans pass
/// from the backup to the home in this time.
const BACKUP_PREFERENCE: Duration = Duration::from_millis(500);

/// How long requests wait for a home that answers that it has no loans, at the start of a fleet and
/// later. A starting fleet lends its shares in this time, also if the short loans of its run before must
/// end first; later on, a home borrows those that are unused within a few messages, and has to wait for
/// the others as long as a loan lasts.
const STARTING_WAIT: Duration = Duration::from_millis(1_200);
const BORROWING_WAIT: Duration = Duration::from_millis(100);

/// State of one home, as its ingress sees it.
#[derive(Debug, Clone, Copy)]
pub struct HomeState {
    used: bool,
    /// When the outstanding request was sent.
    requested: Option<MonoTime>,
    empty_until: MonoTime,
    /// Until when the home is not called.
    skipped_until: MonoTime,
    /// Until when the home counts as silent after a failed request.
    silent_until: MonoTime,
    /// Until when the home, which answered that it has no loans or no tokens, is given time to borrow.
    borrowing_until: MonoTime,
    /// Until when the backup is expected to have loans.
    backup_ready_until: MonoTime,
    /// Since when all answers were that the daemon is not the home.
    not_home_since: Option<MonoTime>,
    /// Whether a home of this half ever answered that it has tokens, or none.
    has_started: bool,
    /// Whether the last answer came from a replacement of the home that has loans.
    served_by_backup: bool,
    /// When a replacement of the home lost its loans.
    returned_at: Option<MonoTime>,
}

impl HomeState {
    /// Creates the state. `used` is whether the account has shares in this half.
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
            not_home_since: None,
            has_started: false,
            served_by_backup: false,
            returned_at: None,
        }
    }

    /// Whether the account has shares in this half.
    #[must_use]
    pub const fn is_used(&self) -> bool {
        self.used
    }

    /// Whether a request may be sent, at least one that only reports spent tokens.
    #[must_use]
    pub fn can_report(&self, now: MonoTime) -> bool {
        self.used && self.requested.is_none() && now >= self.skipped_until
    }

    /// Whether a request for tokens may be sent.
    #[must_use]
    pub fn can_request(&self, now: MonoTime) -> bool {
        self.can_report(now) && now >= self.empty_until
    }

    /// Whether a request was sent less than `HEDGE_DELAY` ago and is unanswered.
    #[must_use]
    pub fn awaits_answer(&self, now: MonoTime) -> bool {
        self.requested
            .is_some_and(|sent| now.since(sent) < HEDGE_DELAY)
    }

    /// Whether tokens may come from this half in time: an answer is under way and not overdue, a
    /// request can be sent, or the home is about to borrow shares. `patience` is how long an answer
    /// usually takes at most.
    #[must_use]
    pub fn may_answer(&self, patience: Duration, now: MonoTime) -> bool {
        if !self.used || self.is_empty(now) {
            return false;
        }
        if let Some(sent) = self.requested {
            return now.since(sent) < patience;
        }
        let longest = match self.has_started {
            true => BORROWING_WAIT,
            false => STARTING_WAIT,
        };
        let is_borrowing = self
            .not_home_since
            .is_some_and(|since| now.since(since) < longest);
        is_borrowing || self.can_request(now)
    }

    /// When a replacement of the home lost its loans. The lenders withhold them once the home asks, so
    /// the home has probably returned.
    #[must_use]
    pub const fn returned_at(&self) -> Option<MonoTime> {
        self.returned_at
    }

    /// Whether the last answer came from a replacement of the home that has loans.
    #[must_use]
    pub const fn is_served_by_backup(&self) -> bool {
        self.served_by_backup
    }

    /// Earliest time at which the home may answer with tokens.
    #[must_use]
    pub fn ready_at(&self, now: MonoTime) -> MonoTime {
        let times = [self.empty_until, self.skipped_until, self.silent_until];
        times.into_iter().fold(now, MonoTime::max)
    }

    /// Whether the home has no tokens at `now`, by its last answer.
    #[must_use]
    pub fn is_empty(&self, now: MonoTime) -> bool {
        now < self.empty_until
    }

    /// Whether a request to the home failed recently.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        now < self.silent_until
    }

    /// The last known status, for refusals.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HomeStatus {
        match self {
            home if !home.used => HomeStatus::Unused,
            home if home.is_empty(now) => HomeStatus::Empty(home.empty_until.since(now)),
            home if home.is_silent(now) => HomeStatus::Silent,
            _ => HomeStatus::Unknown,
        }
    }

    /// Records that a request was sent.
    pub const fn record_request(&mut self, now: MonoTime) {
        self.requested = Some(now);
    }

    /// Records an answer other than "not the home".
    pub fn record_answer(&mut self, role: HomeRole, now: MonoTime) {
        self.requested = None;
        self.not_home_since = None;
        self.has_started = true;
        self.served_by_backup = role == HomeRole::Backup;
        if role == HomeRole::Backup {
            self.backup_ready_until = now + BACKUP_PREFERENCE;
        }
    }

    /// Whether the backup should be called although the home answers.
    #[must_use]
    pub fn prefers_backup(&self, now: MonoTime) -> bool {
        now < self.borrowing_until.min(self.backup_ready_until)
    }

    /// Records the answer that there are no tokens for `wait`.
    ///
    /// If the backup had tokens recently, it is called next: while loans pass between the two, each
    /// has some of the shares.
    pub fn record_empty(&mut self, role: HomeRole, wait: Duration, now: MonoTime) {
        let is_backup_next = now >= self.borrowing_until && now < self.backup_ready_until;
        if role == HomeRole::Home && is_backup_next {
            self.borrowing_until = now + wait;
        } else {
            self.empty_until = now + wait;
        }
    }

    /// Records the answer that the daemon is not the home of this half. It may become the home
    /// within milliseconds, once it has borrowed shares.
    pub fn record_not_home(&mut self, role: HomeRole, now: MonoTime) {
        self.requested = None;
        self.skipped_until = now + NOT_HOME_BACKOFF;
        self.silent_until = now;
        self.not_home_since = self.not_home_since.or(Some(now));
        if self.served_by_backup {
            self.returned_at = Some(now);
        }
        self.served_by_backup = false;
        match role {
            HomeRole::Home => self.borrowing_until = now + BACKUP_PREFERENCE,
            // The backup has lost its loans, so that only the home can have them.
            HomeRole::Backup => self.backup_ready_until = now,
        }
    }

    /// Records a failed request. `is_last` is whether no other daemon can be called instead.
    pub fn record_failure(&mut self, is_last: bool, now: MonoTime) {
        self.requested = None;
        self.silent_until = now + FAILURE_BACKOFF;
        self.skipped_until = match is_last {
            true => self.silent_until,
            false => now,
        };
    }
}
