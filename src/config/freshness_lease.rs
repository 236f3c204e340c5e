//! How long a daemon may go on admitting requests by what it knows.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::ids::Revision;
use crate::time::MonoTime;

/// How long the fleet's largest size is remembered after it shrank.
const PEAK_MEMORY: Duration = Duration::from_secs(3_600);

/// What a daemon knows of how new its configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Freshness {
    /// The platform had nothing newer a short time ago.
    Confirmed,
    /// Nobody heard can reach the platform, and most of the fleet is heard: nothing can be accepted unheard.
    Outage,
    /// A newer revision exists or may exist, and cannot be had.
    Stale,
}

impl Freshness {
    /// Whether requests may be admitted.
    #[must_use]
    pub const fn admits(self) -> bool {
        match self {
            Self::Confirmed | Self::Outage => true,
            Self::Stale => false,
        }
    }
}

impl fmt::Display for Freshness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Confirmed => "confirmed",
            Self::Outage => "outage",
            Self::Stale => "stale",
        })
    }
}

/// Evidence that no newer revision had been accepted at some time.
///
/// A confirmation counts from when its question was sent, less the age that the answering
/// peer reports, so that handing it on never makes it younger.
#[derive(Debug)]
pub struct FreshnessLease {
    length: Duration,
    confirmed: Option<MonoTime>,
    pending: Option<(Revision, MonoTime)>,
    answered: Option<MonoTime>,
    newest: Revision,
    peak_members: u32,
    peak_seen: MonoTime,
    live_members: u32,
}

impl FreshnessLease {
    /// A lease of `length` that nothing has confirmed yet.
    #[must_use]
    pub const fn open(length: Duration) -> Self {
        Self {
            length,
            confirmed: None,
            pending: None,
            answered: None,
            newest: Revision(0),
            peak_members: 1,
            peak_seen: MonoTime::ZERO,
            live_members: 1,
        }
    }

    /// Takes note that at `time` no revision above `revision` had been accepted; `have` is in force here.
    pub fn confirm(&mut self, revision: Revision, time: MonoTime, have: Revision) {
        self.observe_revision(revision);
        if revision <= have {
            self.settle(time);
        } else if self.pending.is_none_or(|(waiting, _)| waiting <= have) {
            self.pending = Some((revision, time));
        }
    }

    /// Takes note that `have` is in force now.
    pub fn advance(&mut self, have: Revision) {
        self.observe_revision(have);
        if let Some((revision, time)) = self.pending.filter(|(revision, _)| *revision <= have) {
            self.pending = None;
            self.settle(time);
            log::trace!(target: crate::logs::part::CONFIG, revision:%; "Confirmation caught up.");
        }
    }

    /// Takes note that `revision` exists.
    pub fn observe_revision(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// Takes note of a peer's answer to a question sent at `sent`, and of the fleet's size that it knew.
    pub fn record_peer_answer(&mut self, sent: MonoTime, members: u32) {
        self.answered = self.answered.max(Some(sent));
        if self.confirmed.is_none() && members > self.peak_members {
            self.peak_members = members;
            self.peak_seen = sent;
        }
    }

    /// Sets the number of live daemons, this one included.
    pub const fn set_members(&mut self, members: u32) {
        self.live_members = members;
    }

    /// The newest revision heard of.
    #[must_use]
    pub const fn newest(&self) -> Revision {
        self.newest
    }

    /// Time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed.map(|time| now.since(time))
    }

    /// Largest size of the fleet at the confirmations of the last hour, or as peers report it.
    #[must_use]
    pub const fn peak_members(&self) -> u32 {
        self.peak_members
    }

    /// Number of live daemons, this one included.
    #[must_use]
    pub const fn live_members(&self) -> u32 {
        self.live_members
    }

    /// Whether a peer answered within the last `span`.
    #[must_use]
    pub fn has_peer_answer(&self, now: MonoTime, span: Duration) -> bool {
        self.answered.is_some_and(|sent| now.since(sent) < span)
    }

    /// What is known at `now`, with `have` in force.
    #[must_use]
    pub fn freshness(&self, now: MonoTime, have: Revision) -> Freshness {
        if self.age(now).is_some_and(|age| age < self.length) {
            return Freshness::Confirmed;
        }
        if have >= self.newest && self.hears_most(now) {
            return Freshness::Outage;
        }
        Freshness::Stale
    }

    /// A sole daemon has no peers to hear; else most of the fleet must be live, and some peer must answer.
    fn hears_most(&self, now: MonoTime) -> bool {
        let is_sole = self.peak_members == 1 && self.confirmed.is_some();
        let is_heard = is_sole || self.has_peer_answer(now, self.length);
        is_heard && 2 * self.live_members > self.peak_members
    }

    /// The size is remembered for a while, so that a daemon that loses its peers first and the
    /// platform later does not take itself for a sole one.
    fn settle(&mut self, time: MonoTime) {
        if self.confirmed >= Some(time) {
            return;
        }
        self.confirmed = Some(time);
        let is_forgotten = time.since(self.peak_seen) > PEAK_MEMORY;
        if self.live_members >= self.peak_members || is_forgotten {
            self.peak_members = self.live_members;
            self.peak_seen = time;
        }
    }
}
