//! Keeps in the platform's table which instances have left, for a process of this daemon that starts later.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{DaemonId, InstanceId, InstanceRun};
use crate::instances::{LATE_ANNOUNCEMENTS, LeaveRows, LeftRuns};
use crate::logs::log_target;
use crate::platform::PlatformService;
use crate::time::{Deadline, ProcessClock};

/// Longest time for which the acknowledgement of a leave waits for the platform. The instance takes an
/// acknowledgement within a second.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(400);
/// Pause before a call that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the deletion of the rows when the daemon stops.
const DELETE_TIMEOUT: Duration = Duration::from_millis(50);

/// A leave that has a row, or is to get one.
#[derive(Debug, Clone, Copy)]
struct JournalEntry {
    run: InstanceRun,
    /// From when on no announcement that was sent before the leave arrives any more.
    outdated_at: Deadline,
}

struct JournalState {
    rows: LeaveRows,
    left_runs: LeftRuns,
    clock: ProcessClock,
    entries: RefCell<FastMap<InstanceId, JournalEntry>>,
    has_recalled: Cell<bool>,
}

/// Writes each leave before it is acknowledged, and reads those that an earlier process wrote. Clones share
/// one state.
///
/// Other daemons remember leaves too, unless they are killed at the same time.
#[derive(Clone)]
pub struct LeaveJournal {
    state: Rc<JournalState>,
}

impl LeaveJournal {
    /// Creates the journal of `daemon` in `platform`. Leaves that it reads go to `left_runs`.
    #[must_use]
    pub fn open(
        platform: Rc<dyn PlatformService>,
        daemon: &DaemonId,
        left_runs: LeftRuns,
        clock: ProcessClock,
    ) -> Self {
        let state = JournalState {
            rows: LeaveRows::open(platform, daemon),
            left_runs,
            clock,
            entries: RefCell::default(),
            has_recalled: Cell::new(false),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// The runs that have left.
    #[must_use]
    pub fn left_runs(&self) -> LeftRuns {
        self.state.left_runs.clone()
    }

    /// Writes that `run` of `instance` has left, unless that was done. Waits at most `ACKNOWLEDGE_WAIT`; a
    /// write that takes longer goes on.
    pub async fn record(&self, instance: &InstanceId, run: InstanceRun) {
        if !self.add_entry(instance, run) {
            return;
        }
        let writing = actix_rt::spawn(self.clone().write(instance.clone(), run));
        if actix_rt::time::timeout(ACKNOWLEDGE_WAIT, writing)
            .await
            .is_err()
        {
            log::warn!(target: log_target::INSTANCES, instance:%, run:%; "Leave acknowledged before the platform has confirmed its row.");
        }
    }

    /// Reads the leaves that earlier processes wrote, once, in the background.
    pub fn recall(&self) {
        if !self.state.has_recalled.replace(true) {
            actix_rt::spawn(self.clone().read());
        }
    }

    /// Deletes the rows, as the daemon stops: the other daemons have heard of the leaves. Waits at most
    /// `DELETE_TIMEOUT`.
    pub async fn delete(&self) {
        let instances: Vec<_> = self.state.entries.borrow().keys().cloned().collect();
        if instances.is_empty() {
            return;
        }
        let deletion = self.state.rows.delete(&instances);
        let deleted = actix_rt::time::timeout(DELETE_TIMEOUT, deletion).await;
        if !matches!(deleted, Ok(Ok(()))) {
            log::warn!(target: log_target::INSTANCES, rows = instances.len(); "Rows of instances that left stay: the platform did not confirm their deletion.");
        }
    }

    /// Adds an entry of a leave. Returns whether it has none yet.
    fn add_entry(&self, instance: &InstanceId, run: InstanceRun) -> bool {
        let mut entries = self.state.entries.borrow_mut();
        if entries.get(instance).is_some_and(|known| known.run >= run) {
            return false;
        }
        let outdated_at = self.state.clock.now().after(LATE_ANNOUNCEMENTS);
        entries.insert(instance.clone(), JournalEntry { run, outdated_at });
        true
    }

    async fn write(self, instance: InstanceId, run: InstanceRun) {
        let end = self.state.clock.now().after(LATE_ANNOUNCEMENTS);
        let outdated = self.outdated();
        loop {
            let cause = match self.state.rows.write(&instance, run, &outdated).await {
                Ok(()) => break,
                Err(cause) => cause,
            };
            if end.has_passed(self.state.clock.now()) {
                log::warn!(target: log_target::INSTANCES, instance:%, run:%, cause:%; "Leave not written to the platform; a late announcement cannot arrive any more.");
                return;
            }
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
        let mut entries = self.state.entries.borrow_mut();
        entries.retain(|name, _| !outdated.contains(name));
    }

    /// The instances whose rows are needed no more.
    fn outdated(&self) -> Vec<InstanceId> {
        let now = self.state.clock.now();
        let entries = self.state.entries.borrow();
        let outdated = entries
            .iter()
            .filter(|(_, entry)| entry.outdated_at.has_passed(now));
        outdated.map(|(name, _)| name.clone()).collect()
    }

    async fn read(self) {
        let end = self.state.clock.now().after(LATE_ANNOUNCEMENTS);
        loop {
            let cause = match self.state.rows.read().await {
                Ok(runs) => return self.take_in(&runs),
                Err(cause) => cause,
            };
            if end.has_passed(self.state.clock.now()) {
                log::warn!(target: log_target::INSTANCES, cause:%; "Leaves of before the start not read from the platform.");
                return;
            }
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn take_in(&self, runs: &[(InstanceId, InstanceRun)]) {
        let now = self.state.clock.now();
        for (instance, run) in runs {
            self.add_entry(instance, *run);
            if self.state.left_runs.recall(instance, *run, now) {
                log::info!(target: log_target::INSTANCES, instance:%, run:%; "Instance has left before the start, as the platform's table states.");
            }
        }
    }
}
