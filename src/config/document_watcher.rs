//! Follows a configuration that is one document in a store.

use std::time::Duration;

use crate::config::{ConfigDocument, DocumentReading, DocumentUpdate, StoreClock, WatchResponse};
use crate::ids::Version;
use crate::platform::PlatformError;
use crate::time::{Deadline, MonoTime};

/// Pause after the first failed call in a row; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: a store that is back is heard of within about a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Part of the freshness lease that one question waits at the store: the rest is enough to read
/// anew after a lost answer, before the lease ends.
const WAIT_PART: f64 = 0.6;

/// The next call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherStep {
    /// Read the document.
    Read,
    /// Wait for a change after this position, for at most this span.
    Watch(Version, Duration),
    /// Call nothing before this time.
    Pause(Deadline),
}

/// What an answer proves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherUpdate {
    /// A document to put in force.
    pub document: Option<ConfigDocument>,
    /// The time at which nothing newer than what was read had been accepted; none when what is
    /// newest could not be used.
    pub confirmed: Option<MonoTime>,
    /// Why the newest document cannot be used.
    pub unusable: Option<String>,
}

/// A pure state machine; its driver makes the calls.
#[derive(Debug)]
pub struct DocumentWatcher {
    lease: Duration,
    clock: StoreClock,
    position: Option<Version>,
    /// The newest document could not be used, so that nothing confirms the one before.
    is_blind: bool,
    failures: u32,
    resume_at: Deadline,
}

impl DocumentWatcher {
    /// A follower whose confirmations are good for `lease`.
    #[must_use]
    pub fn open(lease: Duration, now: MonoTime) -> Self {
        Self {
            lease,
            clock: StoreClock::default(),
            position: None,
            is_blind: false,
            failures: 0,
            resume_at: Deadline::at(now),
        }
    }

    /// The next call at `now`.
    #[must_use]
    pub fn next(&self, now: MonoTime) -> WatcherStep {
        if !self.resume_at.has_passed(now) {
            return WatcherStep::Pause(self.resume_at);
        }
        match self.position {
            Some(position) => WatcherStep::Watch(position, self.lease.mul_f64(WAIT_PART)),
            None => WatcherStep::Read,
        }
    }

    /// Takes the answer to a call sent at `sent`; none when it proves nothing.
    pub fn answered(
        &mut self,
        sent: MonoTime,
        now: MonoTime,
        answer: Result<WatchResponse, PlatformError>,
        rng: &mut fastrand::Rng,
    ) -> Option<WatcherUpdate> {
        match answer {
            Ok(WatchResponse::Reading(reading)) => Some(self.take(sent, now, reading)),
            Ok(WatchResponse::HistoryLost) => {
                self.position = None;
                None
            }
            Err(_) => {
                self.fail(now, rng);
                None
            }
        }
    }

    /// Failed calls in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    fn take(&mut self, sent: MonoTime, now: MonoTime, reading: DocumentReading) -> WatcherUpdate {
        self.failures = 0;
        self.position = Some(reading.position);
        let dated = self
            .clock
            .answer_lower_bound(sent, now, reading.store_millis);
        let (document, unusable) = match reading.document {
            DocumentUpdate::Unchanged => (None, None),
            DocumentUpdate::New(document) => (Some(document), None),
            DocumentUpdate::Invalid(cause) => (None, Some(cause)),
        };
        self.is_blind = match (&document, &unusable) {
            (Some(_), _) => false,
            (None, Some(_)) => true,
            (None, None) => self.is_blind,
        };
        WatcherUpdate {
            document,
            confirmed: (!self.is_blind).then_some(dated),
            unusable,
        }
    }

    fn fail(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        let doubled = FIRST_PAUSE * 2_u32.pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        let pause = doubled.min(LONGEST_PAUSE).mul_f64(0.5 + rng.f64() / 2.0);
        self.resume_at = now.after(pause);
    }
}
