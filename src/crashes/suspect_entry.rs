//! The evidence against one request.

use crate::crashes::{CrashRules, RequestStanding};
use crate::ids::ReportId;
use crate::time::Deadline;
use crate::wire::{RunOutcome, RunReport};

/// Most reports kept of one request. More ends of instances add nothing to the verdict.
const MAX_REPORTS: usize = 16;

/// The reports on one request.
#[derive(Debug, Clone)]
pub struct SuspectEntry {
    /// Ends of instances since the last run that completed, oldest first.
    ends: Vec<RunReport>,
    /// Reports that are settled: ends before a completed run, and the completed runs.
    settled: Vec<ReportId>,
    /// The last completed run or clearance, for daemons that know only the ends before it.
    clearance: Option<RunReport>,
    expiry: Deadline,
}

impl SuspectEntry {
    /// Creates an entry without reports.
    pub(super) const fn open(expiry: Deadline) -> Self {
        Self {
            ends: Vec::new(),
            settled: Vec::new(),
            clearance: None,
            expiry,
        }
    }

    /// Takes in a report that counts until `expiry`; returns false if it is known.
    ///
    /// A request that ends instances ends each that runs it, so that a completed run clears it of
    /// all ends before.
    pub(super) fn record(&mut self, report: &RunReport, expiry: Deadline) -> bool {
        let is_known =
            self.settled.contains(&report.id) || self.ends.iter().any(|end| end.id == report.id);
        if is_known {
            return false;
        }
        if self.expiry.time() < expiry.time() {
            self.expiry = expiry;
        }
        match report.outcome {
            RunOutcome::InstanceEnded { .. } if self.ends.len() < MAX_REPORTS => {
                self.ends.push(*report);
            }
            RunOutcome::InstanceEnded { .. } => {}
            RunOutcome::Completed | RunOutcome::Cleared => {
                let ended = self.ends.drain(..).map(|end| end.id);
                self.settled.extend(ended);
                self.settled.push(report.id);
                let surplus = self.settled.len().saturating_sub(MAX_REPORTS);
                self.settled.drain(..surplus);
                self.clearance = Some(*report);
            }
        }
        true
    }

    /// What the reports say.
    ///
    /// All requests that run when an instance ends are suspected, and one is guilty. A refusal
    /// therefore needs an end at which the request was the only suspect. Several ends at one moment are
    /// no such evidence: they may have a common cause.
    pub(super) fn standing(&self, rules: &CrashRules) -> RequestStanding {
        let is_sole = |end: &RunReport| {
            matches!(
                end.outcome,
                RunOutcome::InstanceEnded {
                    was_only_suspect: true
                }
            )
        };
        match self.ends.len() {
            0 => RequestStanding::Clear,
            count if count >= rules.limit && self.ends.iter().any(is_sole) => {
                RequestStanding::Refused(count)
            }
            count => RequestStanding::Suspected(count),
        }
    }

    /// The last end of an instance that counts.
    pub(super) fn last_end(&self) -> Option<RunReport> {
        self.ends.last().copied()
    }

    /// The reports that another daemon needs to know as much.
    pub(super) fn reports(&self) -> impl Iterator<Item = RunReport> {
        self.clearance.iter().chain(&self.ends).copied()
    }

    pub(super) const fn expiry(&self) -> Deadline {
        self.expiry
    }
}
