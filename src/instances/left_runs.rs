//! The runs of this VM's instances that have announced their leave.

use std::cell::RefCell;
use std::rc::Rc;

use crate::hash::FastMap;
use crate::ids::{InstanceId, InstanceRun};
use crate::instances::{AnnounceOrder, LATE_ANNOUNCEMENTS};
use crate::time::{Deadline, MonoTime};

/// Maximum number of instances whose leaves are kept. One VM has few.
const MAX_INSTANCES: usize = 64;

/// The newest run of an instance that announced its leave.
#[derive(Debug, Clone, Copy)]
struct LeftRun {
    run: InstanceRun,
    /// Whether the run has announced `starting` since, and serves again.
    has_returned: bool,
    /// From when on no announcement that was sent before the leave arrives any more. A run that seems to be
    /// older is then a new one, after a step of the clock.
    outdated_at: Deadline,
}

/// Newest run of each instance that announced `draining` or `gone`, to this process or to an earlier one of
/// this daemon. Clones share one state.
///
/// A run that has left stays out of use, whichever of its announcements still arrive.
#[derive(Debug, Clone, Default)]
pub struct LeftRuns {
    runs: Rc<RefCell<FastMap<InstanceId, LeftRun>>>,
}

impl LeftRuns {
    /// Takes in that `run` of `instance` announced its leave to this process. Returns whether that was not
    /// known.
    pub fn note(&self, instance: &InstanceId, run: InstanceRun, now: MonoTime) -> bool {
        self.insert_unless(instance, run, now, |known| {
            known.run > run || known.run == run && !known.has_returned
        })
    }

    /// Takes in that `run` of `instance` announced its leave to an earlier process. Returns whether that was
    /// not known. What this process has heard of the run is newer.
    pub fn recall(&self, instance: &InstanceId, run: InstanceRun, now: MonoTime) -> bool {
        self.insert_unless(instance, run, now, |known| known.run >= run)
    }

    /// Takes in that the run of `instance` that left has announced `starting` and serves again.
    pub fn note_return(&self, instance: &InstanceId) {
        if let Some(left) = self.runs.borrow_mut().get_mut(instance) {
            left.has_returned = true;
        }
    }

    /// The newest run of `instance` that has left, as [`InstanceRecord`](crate::wire::InstanceRecord) states
    /// it.
    #[must_use]
    pub fn newest(&self, instance: &InstanceId) -> Option<InstanceRun> {
        let left = self.runs.borrow().get(instance).copied()?;
        match left.has_returned {
            true => Some(InstanceRun::default()),
            false => Some(left.run),
        }
    }

    fn insert_unless(
        &self,
        instance: &InstanceId,
        run: InstanceRun,
        now: MonoTime,
        is_known: impl Fn(&LeftRun) -> bool,
    ) -> bool {
        let mut runs = self.runs.borrow_mut();
        if runs.get(instance).is_some_and(is_known) {
            return false;
        }
        let left = LeftRun {
            run,
            has_returned: false,
            outdated_at: now.after(LATE_ANNOUNCEMENTS),
        };
        runs.insert(instance.clone(), left);
        if runs.len() > MAX_INSTANCES {
            let oldest = runs.iter().min_by_key(|(_, left)| left.run);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                runs.remove(&oldest);
            }
        }
        true
    }

    /// Whether an announcement of `instance` with `order` that arrives at `now` is of a run that has left.
    /// `false` without an order.
    #[must_use]
    pub fn includes(
        &self,
        instance: &InstanceId,
        order: Option<AnnounceOrder>,
        now: MonoTime,
    ) -> bool {
        let runs = self.runs.borrow();
        let (Some(left), Some(order)) = (runs.get(instance), order) else {
            return false;
        };
        !left.has_returned && order.run() <= left.run && !left.outdated_at.has_passed(now)
    }
}
