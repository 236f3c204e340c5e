//! The table of suspected requests that ingress, egress and membership of a daemon share.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use crate::crashes::{CrashRules, RequestStanding, SuspectRecord, SuspectTable};
use crate::ids::InstanceId;
use crate::logs::log_target;
use crate::time::ProcessClock;
use crate::wire::{KnownRun, RequestDigest, RunOutcome, RunReport};

/// Sends reports of this daemon to the fleet.
type ReportPublisher = Box<dyn Fn(&[RunReport])>;

/// Handle of the daemon's table of suspected requests; clones share it.
#[derive(Clone)]
pub struct SuspectsHandle {
    clock: ProcessClock,
    table: Rc<RefCell<SuspectTable>>,
    instance_ends: Rc<Cell<u64>>,
    /// Empty until the membership runs.
    publisher: Rc<OnceCell<ReportPublisher>>,
}

impl SuspectsHandle {
    /// Opens an empty table.
    #[must_use]
    pub fn open(rules: CrashRules, clock: ProcessClock) -> Self {
        Self {
            clock,
            table: Rc::new(RefCell::new(SuspectTable::open(rules))),
            instance_ends: Rc::default(),
            publisher: Rc::default(),
        }
    }

    /// Sets how this daemon's reports reach the fleet. Only the first call has an effect.
    pub fn publish_by(&self, publish: impl Fn(&[RunReport]) + 'static) {
        let _ = self.publisher.set(Box::new(publish));
    }

    /// What is known of the request now.
    #[must_use]
    pub fn standing(&self, digest: RequestDigest) -> RequestStanding {
        let table = self.table.borrow();
        match table.is_empty() {
            true => RequestStanding::Clear,
            false => table.standing(digest, self.clock.now()),
        }
    }

    /// Records and publishes that an instance ended while it ran `running`.
    pub fn report_end(&self, instance: &InstanceId, running: &[RequestDigest]) {
        self.instance_ends.set(self.instance_ends.get() + 1);
        let now = self.clock.now();
        let reports = self.table.borrow().reports_of_end(running, now);
        self.publish(&reports, &format!("instance {instance}"));
    }

    /// Records and publishes that the request ran to its end, if it is suspected.
    pub fn report_completed(&self, instance: &InstanceId, digest: RequestDigest) {
        if self.standing(digest).is_suspect() {
            let report = RunReport::open(digest, RunOutcome::Completed);
            self.publish(&[report], &format!("instance {instance}"));
        }
    }

    /// Clears a request of suspicion for an operator; returns false if it is not suspected.
    pub fn clear(&self, digest: RequestDigest) -> bool {
        let is_suspect = self.standing(digest).is_suspect();
        if is_suspect {
            let report = RunReport::open(digest, RunOutcome::Cleared);
            self.publish(&[report], "an operator");
        }
        is_suspect
    }

    /// Takes in reports of other daemons. Only what leads to a refusal or ends one is logged: the daemon
    /// that reports has logged the rest.
    pub fn receive(&self, reports: &[RunReport]) {
        for report in reports {
            log_received(report, self.record(report));
        }
    }

    /// Takes in what another daemon knows of the past.
    pub fn receive_known(&self, runs: &[KnownRun]) {
        let now = self.clock.now();
        for known in runs {
            let change = self.table.borrow_mut().record_known(known, now);
            log_received(&known.report, change);
        }
    }

    /// The report of the last end that counts against the request.
    #[must_use]
    pub fn last_end(&self, digest: RequestDigest) -> Option<RunReport> {
        self.table.borrow().last_end(digest)
    }

    /// The reports that a daemon needs that starts.
    #[must_use]
    pub fn known_runs(&self) -> Vec<KnownRun> {
        self.table.borrow().known_runs(self.clock.now())
    }

    /// The suspected and refused requests, sorted by digest.
    #[must_use]
    pub fn suspects(&self) -> Vec<SuspectRecord> {
        self.table.borrow().suspects(self.clock.now())
    }

    /// Ends of instances beside this daemon while they ran requests.
    #[must_use]
    pub fn instance_ends(&self) -> u64 {
        self.instance_ends.get()
    }

    fn publish(&self, reports: &[RunReport], source: &str) {
        for report in reports {
            if let Some((before, after)) = self.record(report) {
                log_evidence(report, source, before, after);
            }
        }
        if let Some(publish) = self.publisher.get() {
            publish(reports);
        }
    }

    fn record(&self, report: &RunReport) -> Option<(RequestStanding, RequestStanding)> {
        let now = self.clock.now();
        self.table.borrow_mut().record(report, now)
    }
}

fn log_received(report: &RunReport, change: Option<(RequestStanding, RequestStanding)>) {
    if let Some((before, after)) = change
        && before.is_refused() != after.is_refused()
    {
        log_evidence(report, "another daemon", before, after);
    }
}

fn log_evidence(report: &RunReport, source: &str, before: RequestStanding, after: RequestStanding) {
    log::info!(
        target: log_target::CRASHES,
        digest:% = report.digest,
        report:% = report.id,
        outcome:% = report.outcome,
        source,
        before:?,
        after:?;
        "Evidence on a request that was running when an instance ended."
    );
}
