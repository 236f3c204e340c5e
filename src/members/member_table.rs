//! The daemons that this one knows of.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::members::{NameDigest, SuspicionTimer};
use crate::time::{Deadline, MonoTime};
use crate::wire::{MemberRecord, MemberState};

const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// It is older than what is known.
    Stale,
    /// It is what is known.
    Same,
    /// It is newer; liveness stayed.
    Newer,
    /// It is newer, and the member became live or ceased to be.
    LivenessChanged,
}

/// One daemon other than this one.
#[derive(Debug)]
pub struct MemberEntry {
    /// Its newest record.
    pub record: MemberRecord,
    /// Hash of its name.
    pub owner_hash: u32,
    /// Digest of its name and incarnation.
    pub digest: u64,
    /// When a datagram came from it last.
    pub last_heard: Option<MonoTime>,
    suspicion: Option<SuspicionTimer>,
    purge_at: Option<Deadline>,
}

/// Every other daemon by name.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: FastMap<DaemonId, MemberEntry>,
    live: usize,
}

impl MemberTable {
    /// Takes in a record of another daemon.
    pub fn merge(
        &mut self,
        record: &MemberRecord,
        consecutive_failures: u32,
        now: MonoTime,
    ) -> MemberChange {
        let live = self.live + 1;
        let Some(entry) = self.entries.get_mut(&record.daemon) else {
            return self.insert(record, live, now);
        };
        if !record.outranks(&entry.record) {
            return entry.compare(record);
        }
        let was_live = entry.record.state.is_live();
        entry.replace(record);
        entry.restart_timers(live, consecutive_failures, now);
        let is_live = record.state.is_live();
        self.count(was_live, is_live);
        match was_live == is_live {
            true => MemberChange::Newer,
            false => MemberChange::LivenessChanged,
        }
    }

    fn insert(&mut self, record: &MemberRecord, live: usize, now: MonoTime) -> MemberChange {
        if !record.state.is_live() {
            return MemberChange::Stale;
        }
        let mut entry = MemberEntry {
            owner_hash: NameDigest::of(record.daemon.as_str(), 0).low(),
            digest: digest_of(record),
            record: record.clone(),
            last_heard: None,
            suspicion: None,
            purge_at: None,
        };
        entry.restart_timers(live, 0, now);
        self.entries.insert(record.daemon.clone(), entry);
        self.live += 1;
        MemberChange::LivenessChanged
    }

    fn count(&mut self, was_live: bool, is_live: bool) {
        match (was_live, is_live) {
            (false, true) => self.live += 1,
            (true, false) => self.live -= 1,
            _ => {}
        }
    }

    /// The entry of `daemon`.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&MemberEntry> {
        self.entries.get(daemon)
    }

    /// Notes that a datagram came from `daemon`.
    pub fn mark_heard(&mut self, daemon: &DaemonId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(daemon) {
            entry.last_heard = Some(now);
        }
    }

    /// Whether `daemon` counts as live.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonId) -> bool {
        self.get(daemon)
            .is_some_and(|entry| entry.record.state.is_live())
    }

    /// Every entry.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// The records of live members.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.state.is_live())
    }

    /// Number of live members besides this daemon.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.live
    }

    /// The members whose suspicion has ended by `now`, and `grace` besides.
    #[must_use]
    pub fn expired_suspicions(&self, grace: Duration, now: MonoTime) -> Vec<MemberRecord> {
        let is_due = |entry: &&MemberEntry| match &entry.suspicion {
            Some(timer) => (timer.deadline().time() + grace) <= now,
            None => false,
        };
        let due = self.entries.values().filter(is_due);
        due.map(|entry| entry.record.clone()).collect()
    }

    /// Forgets members that have been dead for long, and names them.
    pub fn purge_dead(&mut self, now: MonoTime) -> Vec<DaemonId> {
        let is_due = |entry: &MemberEntry| entry.purge_at.is_some_and(|end| end.has_passed(now));
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        let purged: Vec<_> = due.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in &purged {
            self.entries.remove(daemon);
        }
        purged
    }
}

impl MemberEntry {
    /// Takes in a record that does not outrank the known one.
    fn compare(&mut self, record: &MemberRecord) -> MemberChange {
        let known = &self.record;
        if record.incarnation != known.incarnation || record.state.rank() != known.state.rank() {
            return MemberChange::Stale;
        }
        let confirmed = match (&record.state, &mut self.suspicion) {
            (MemberState::Suspect(reporter), Some(timer)) => timer.confirm(reporter),
            _ => false,
        };
        if !confirmed {
            return MemberChange::Same;
        }
        // The latest accuser travels on, so that others count it too.
        self.record.state = record.state.clone();
        MemberChange::Newer
    }

    fn replace(&mut self, record: &MemberRecord) {
        self.record = record.clone();
        self.digest = digest_of(record);
    }

    fn restart_timers(&mut self, live: usize, consecutive_failures: u32, now: MonoTime) {
        self.suspicion = match &self.record.state {
            MemberState::Suspect(reporter) => Some(SuspicionTimer::start(
                reporter.clone(),
                live,
                consecutive_failures,
                now,
            )),
            _ => None,
        };
        self.purge_at = match self.record.state.is_live() {
            true => None,
            false => Some(now.after(DEAD_MEMBER_RETENTION)),
        };
    }
}

/// Digest of a member's record, the same for every state that counts as live.
#[must_use]
pub fn digest_of(record: &MemberRecord) -> u64 {
    NameDigest::of(record.daemon.as_str(), record.incarnation.0).get()
}
