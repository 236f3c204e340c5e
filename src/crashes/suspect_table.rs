//! The requests that were running when instances ended.

use std::time::Duration;

use crate::crashes::{CrashRules, RequestStanding, SuspectEntry, SuspectRecord};
use crate::hash::FastMap;
use crate::time::{Deadline, MonoTime};
use crate::wire::{KnownRun, RequestDigest, RunOutcome, RunReport};

/// Most requests of one client account. An account that sends many such requests displaces its own.
pub const MAX_ACCOUNT_SUSPECTS: usize = 64;
/// Most requests of all client accounts; the account with the most gives up its oldest.
pub const MAX_SUSPECTS: usize = 1_024;

/// Counts the ends of instances by the requests that were running, and decides which requests are
/// refused. Empty as long as no instance ends.
#[derive(Debug)]
pub struct SuspectTable {
    rules: CrashRules,
    entries: FastMap<RequestDigest, SuspectEntry>,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn open(rules: CrashRules) -> Self {
        Self {
            rules,
            entries: FastMap::default(),
        }
    }

    /// What is known of the request at `now`.
    #[must_use]
    pub fn standing(&self, digest: RequestDigest, now: MonoTime) -> RequestStanding {
        let entry = self.entries.get(&digest);
        let entry = entry.filter(|entry| !entry.expiry().has_passed(now));
        entry.map_or(RequestStanding::Clear, |entry| entry.standing(&self.rules))
    }

    /// Takes in a report that has just been made. Returns the standing before and after, or none if the
    /// report is known or says nothing new.
    pub fn record(
        &mut self,
        report: &RunReport,
        now: MonoTime,
    ) -> Option<(RequestStanding, RequestStanding)> {
        self.record_until(report, now.after(self.rules.hold), now)
    }

    /// Takes in a report of the past that another daemon knows. Returns the same.
    pub fn record_known(
        &mut self,
        known: &KnownRun,
        now: MonoTime,
    ) -> Option<(RequestStanding, RequestStanding)> {
        let left = Duration::from_millis(u64::from(known.left_millis));
        let expiry = now.after(left.min(self.rules.hold));
        self.record_until(&known.report, expiry, now)
    }

    fn record_until(
        &mut self,
        report: &RunReport,
        expiry: Deadline,
        now: MonoTime,
    ) -> Option<(RequestStanding, RequestStanding)> {
        if self.rules.limit == 0 {
            return None;
        }
        self.remove_expired(now);
        let is_end = matches!(report.outcome, RunOutcome::InstanceEnded { .. });
        if !is_end && !self.entries.contains_key(&report.digest) {
            return None;
        }
        let before = self.standing(report.digest, now);
        if !self.entries.contains_key(&report.digest) {
            self.make_room(report.digest.account);
        }
        let entry = self.entries.entry(report.digest);
        let entry = entry.or_insert_with(|| SuspectEntry::open(expiry));
        let is_new = entry.record(report, expiry);
        is_new.then(|| (before, self.standing(report.digest, now)))
    }

    /// Returns one report for each request that was running when an instance ended.
    #[must_use]
    pub fn reports_of_end(&self, running: &[RequestDigest], now: MonoTime) -> Vec<RunReport> {
        let mut digests = running.to_vec();
        digests.sort_unstable();
        // The same request may have been running twice.
        digests.dedup();
        let is_suspect = |digest: &RequestDigest| self.standing(*digest, now).is_suspect();
        let suspects = digests.iter().filter(|digest| is_suspect(digest)).count();
        let report = |digest| {
            let was_only_suspect = suspects == 1 && is_suspect(&digest);
            RunReport::open(digest, RunOutcome::InstanceEnded { was_only_suspect })
        };
        digests.into_iter().map(report).collect()
    }

    /// The report of the last end that counts against the request.
    #[must_use]
    pub fn last_end(&self, digest: RequestDigest) -> Option<RunReport> {
        self.entries.get(&digest)?.last_end()
    }

    /// The reports that another daemon needs to know as much as this one.
    #[must_use]
    pub fn known_runs(&self, now: MonoTime) -> Vec<KnownRun> {
        let entries = self.entries.values();
        let live = entries.filter(|entry| !entry.expiry().has_passed(now));
        live.flat_map(|entry| {
            let left = entry.expiry().remaining(now).as_millis();
            let left_millis = u32::try_from(left).unwrap_or(u32::MAX);
            entry.reports().map(move |report| KnownRun {
                report,
                left_millis,
            })
        })
        .collect()
    }

    /// The suspected and refused requests, sorted by digest.
    #[must_use]
    pub fn suspects(&self, now: MonoTime) -> Vec<SuspectRecord> {
        let digests = self.entries.keys();
        let records =
            digests.filter_map(|digest| SuspectRecord::open(*digest, self.standing(*digest, now)));
        let mut records: Vec<_> = records.collect();
        records.sort_unstable_by_key(|record| record.digest);
        records
    }

    /// Whether no request has an entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.entries
            .retain(|_, entry| !entry.expiry().has_passed(now));
    }

    /// Removes the oldest entry of `account` if it has too many, or that of the account with the most
    /// if the table is full.
    fn make_room(&mut self, account: u32) {
        let mut counts: FastMap<u32, usize> = FastMap::default();
        for digest in self.entries.keys() {
            *counts.entry(digest.account).or_default() += 1;
        }
        let full = match counts.get(&account) {
            Some(count) if *count >= MAX_ACCOUNT_SUSPECTS => Some(account),
            _ if self.entries.len() >= MAX_SUSPECTS => counts
                .into_iter()
                .max_by_key(|(account, count)| (*count, *account))
                .map(|(account, _)| account),
            _ => None,
        };
        let Some(full) = full else { return };
        let entries = self.entries.iter();
        let oldest = entries
            .filter(|(digest, _)| digest.account == full)
            .min_by_key(|(digest, entry)| (entry.expiry(), **digest))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}
