//! Table of the instances on this VM and their leases.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{InstanceId, InstanceRun};
use crate::instances::{
    AnnounceError, AnnounceOrder, Announcement, FirstUse, LATE_ANNOUNCEMENTS, LeftRuns,
    LocalInstance, RenewalRule,
};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstancePhase;

/// Maximum number of instances on one VM, those that are gone included.
const MAX_INSTANCES: usize = 64;
/// How long an instance counts as draining after its lease expired, so that its last requests can
/// end.
const DRAIN_AFTER_EXPIRY: Duration = Duration::from_secs(10);
/// How long an instance that is gone is kept, to recognize its late announcements.
const GONE_RETENTION: Duration = LATE_ANNOUNCEMENTS;

#[derive(Debug, Clone)]
struct LeasedInstance {
    local: LocalInstance,
    /// Whether the instance itself announced `draining` or `gone`.
    is_leaving: bool,
    /// Position of the newest announcement, if the instance sent one.
    order: Option<AnnounceOrder>,
    /// When the instance moves on to the next phase, or is forgotten, unless the lease is renewed.
    expiry: Deadline,
    /// Until when the instance is used unless a later announcement confirms it; none if it is confirmed.
    unconfirmed_until: Option<Deadline>,
}

/// Derives the phase of each instance from its announcements and its lease.
///
/// An instance that announced `draining` or `gone` does not become ready again until it announces
/// `starting` or announces a later start of its process.
/// So a renewal that was sent before the drain and arrives after it does not undo the drain, also when
/// [`LeftRuns`] knows of the drain from an earlier process of this daemon.
///
/// An instance that is new to this process counts as draining while [`RenewalRule`] asks for a later
/// announcement.
#[derive(Debug, Default)]
pub struct AnnounceTable {
    instances: FastMap<InstanceId, LeasedInstance>,
    rule: RenewalRule,
    left_runs: LeftRuns,
}

impl AnnounceTable {
    /// Creates an empty table that takes in new instances by `rule`, but no run of `left_runs`, to which it
    /// adds the runs that announce their leave.
    #[must_use]
    pub fn open(rule: RenewalRule, left_runs: LeftRuns) -> Self {
        Self {
            instances: FastMap::default(),
            rule,
            left_runs,
        }
    }

    /// Whether `announcement` is the first one of `instance` and may be from before its leave.
    #[must_use]
    pub fn may_be_late(
        &self,
        instance: &InstanceId,
        announcement: &Announcement,
        now: MonoTime,
    ) -> bool {
        let is_new = !self.instances.contains_key(instance);
        is_new && self.rule.may_be_late(announcement, now)
    }

    /// Applies an announcement. Returns the instance and whether anything but its lease changed.
    ///
    /// An announcement that is older than the newest one of the same run is ignored.
    ///
    /// # Errors
    /// `Leaving` for a renewal after a drain, `Replaced` if an instance that started later
    /// announced the same address, and `TooManyInstances` if the table is full.
    pub fn announce(
        &mut self,
        instance: &InstanceId,
        announcement: &Announcement,
        now: MonoTime,
    ) -> Result<(LocalInstance, bool), AnnounceError> {
        let known = self.instances.get(instance);
        let restarted = known.is_some_and(|known| known.started_before(announcement));
        let has_left = self.left_runs.includes(instance, announcement.order, now);
        let is_leaving = has_left || known.is_some_and(|known| known.is_leaving) && !restarted;
        if let Some(known) = known
            && known.is_newer_than(announcement)
        {
            return Ok((known.local.clone(), false));
        }
        if is_leaving && announcement.phase == InstancePhase::Ready {
            return Err(AnnounceError::Leaving(instance.clone()));
        }
        if self.is_replaced(instance, announcement) {
            return Err(AnnounceError::Replaced(
                instance.clone(),
                announcement.address,
            ));
        }
        if known.is_none() && self.instances.len() >= MAX_INSTANCES {
            return Err(AnnounceError::TooManyInstances(MAX_INSTANCES));
        }
        let phase = match restarted {
            true => announcement.phase,
            false => phase_after(known, announcement.phase),
        };
        let mut leased = lease(instance, announcement, phase, now);
        leased.unconfirmed_until = match known {
            Some(known) if known.is_confirmed_by(announcement) => None,
            Some(known) => known.unconfirmed_until,
            None => match self.rule.first_use(announcement, now) {
                FirstUse::Confirmed => None,
                FirstUse::Until(deadline) => Some(deadline),
            },
        };
        leased.end_trust(now);
        if is_leaving && !leased.is_leaving {
            self.left_runs.note_return(instance);
        }
        let is_new_leave = leased.note_leave(&self.left_runs, now);
        let changed =
            restarted || is_new_leave || known.is_none_or(|known| known.local != leased.local);
        let local = leased.local.clone();
        self.instances.insert(instance.clone(), leased);
        Ok((local, changed))
    }

    /// Marks as gone the instances that have the address of `newcomer` and started before it, and
    /// returns them. Only one process can use the address, so they must have ended.
    pub fn end_replaced(&mut self, newcomer: &LocalInstance, now: MonoTime) -> Vec<LocalInstance> {
        let order = self
            .instances
            .get(&newcomer.instance)
            .and_then(|leased| leased.order);
        let mut replaced = Vec::new();
        for (name, leased) in &mut self.instances {
            let has_same_address = leased.local.address == newcomer.address;
            if *name != newcomer.instance
                && has_same_address
                && is_present(&leased.local)
                && started_before(leased.order, order)
            {
                leased.mark_gone(now);
                leased.note_leave(&self.left_runs, now);
                replaced.push(leased.local.clone());
            }
        }
        replaced
    }

    /// Turns an instance that leaves to draining and returns it; `None` if it already drains, is gone or is
    /// unknown. Its lease goes on.
    pub fn drain_leaving(&mut self, instance: &InstanceId, now: MonoTime) -> Option<LocalInstance> {
        let leased = self.instances.get_mut(instance)?;
        let was_ready = leased.drain_leaving();
        leased.note_leave(&self.left_runs, now);
        was_ready.then(|| leased.local.clone())
    }

    /// Turns the instances to draining whose runs have left, as this process has learnt after it took them
    /// in, and returns them.
    pub fn drain_left(&mut self, now: MonoTime) -> Vec<LocalInstance> {
        let mut drained = Vec::new();
        for (name, leased) in &mut self.instances {
            let has_left = self.left_runs.includes(name, leased.order, now);
            if has_left && !leased.is_leaving && leased.drain_leaving() {
                drained.push(leased.local.clone());
            }
        }
        drained
    }

    /// Marks `instance` as gone and returns it; `None` if it is unknown.
    pub fn remove(&mut self, instance: &InstanceId, now: MonoTime) -> Option<LocalInstance> {
        let leased = self.instances.get_mut(instance)?;
        leased.mark_gone(now);
        leased.note_leave(&self.left_runs, now);
        Some(leased.local.clone())
    }

    /// The run of `instance` that announced its leave last; none if it has not, or without an order.
    #[must_use]
    pub fn leaving_run(&self, instance: &InstanceId) -> Option<InstanceRun> {
        let leased = self.instances.get(instance)?;
        let order = leased.order.filter(|_| leased.is_leaving)?;
        Some(order.run())
    }

    /// Whether an instance that started later has announced the same address.
    fn is_replaced(&self, instance: &InstanceId, announcement: &Announcement) -> bool {
        self.instances.iter().any(|(name, leased)| {
            name != instance
                && leased.local.address == announcement.address
                && started_before(announcement.order, leased.order)
        })
    }

    /// Turns the instances to draining that no announcement has confirmed in time, and returns them.
    pub fn end_unconfirmed(&mut self, now: MonoTime) -> Vec<LocalInstance> {
        let mut ended = Vec::new();
        for leased in self.instances.values_mut() {
            if leased.end_trust(now) {
                ended.push(leased.local.clone());
            }
        }
        ended
    }

    /// Moves the instances whose lease has expired by `now` on to their next phase and returns
    /// those that changed. Forgets the instances that have been gone for `GONE_RETENTION`.
    pub fn expire_leases(&mut self, now: MonoTime) -> Vec<LocalInstance> {
        let mut changed = Vec::new();
        self.instances.retain(|_, leased| {
            if !leased.expiry.has_passed(now) {
                return true;
            }
            let keep = leased.local.phase != InstancePhase::Gone;
            if keep {
                changed.extend(leased.expire(now));
            }
            keep
        });
        changed
    }

    /// The instance with this name; `None` if it is unknown or gone.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&LocalInstance> {
        let leased = self.instances.get(instance)?;
        is_present(&leased.local).then_some(&leased.local)
    }

    /// Whether no newer announcement of `instance` than this one has arrived.
    #[must_use]
    pub fn is_newest(&self, instance: &InstanceId, announcement: &Announcement) -> bool {
        let leased = self.instances.get(instance);
        leased.is_some_and(|leased| !leased.is_newer_than(announcement))
    }

    /// Whether `instance` may start a new request at `now`: it is ready and its lease has not
    /// expired.
    ///
    /// The lease is checked here too, since `expire_leases` runs late if this process was paused.
    #[must_use]
    pub fn accepts_work(&self, instance: &InstanceId, now: MonoTime) -> bool {
        let leased = self.instances.get(instance);
        leased.is_some_and(|leased| {
            let is_ready = leased.local.phase == InstancePhase::Ready;
            let has_left = self.left_runs.includes(instance, leased.order, now);
            is_ready && !has_left && !leased.expiry.has_passed(now) && !leased.has_trust_ended(now)
        })
    }

    /// Every instance that is not gone, sorted by name.
    #[must_use]
    pub fn present_instances(&self) -> Vec<LocalInstance> {
        let all = self.instances.values().map(|leased| &leased.local);
        let mut present: Vec<_> = all.filter(|local| is_present(local)).cloned().collect();
        present.sort_unstable_by(|left, right| left.instance.cmp(&right.instance));
        present
    }
}

impl LeasedInstance {
    /// Whether the newest announcement received is newer than `announcement`: of the same run with
    /// a higher sequence number, or of a later run. `false` if either has no order.
    fn is_newer_than(&self, announcement: &Announcement) -> bool {
        match (self.order, announcement.order) {
            (Some(known), Some(offered)) => known > offered,
            _ => false,
        }
    }

    /// Whether `announcement` is from a run that started later than the known one.
    fn started_before(&self, announcement: &Announcement) -> bool {
        started_before(self.order, announcement.order)
    }

    /// Whether `announcement` shows that the instance has not left before this process started: a later
    /// one of the same run, or one of a later run.
    fn is_confirmed_by(&self, announcement: &Announcement) -> bool {
        match (self.order, announcement.order) {
            (Some(known), Some(offered)) => known < offered,
            _ => true,
        }
    }

    /// Adds the run to `left_runs` if it has announced its leave. Returns whether that was not known.
    fn note_leave(&self, left_runs: &LeftRuns, now: MonoTime) -> bool {
        let order = self.order.filter(|_| self.is_leaving);
        order.is_some_and(|order| left_runs.note(&self.local.instance, order.run(), now))
    }

    /// Drains the instance for good, as it leaves. Returns whether it was ready.
    fn drain_leaving(&mut self) -> bool {
        self.is_leaving = true;
        let was_ready = self.local.phase == InstancePhase::Ready;
        if was_ready {
            self.local.phase = InstancePhase::Draining;
        }
        was_ready
    }

    fn has_trust_ended(&self, now: MonoTime) -> bool {
        self.unconfirmed_until
            .is_some_and(|deadline| deadline.has_passed(now))
    }

    /// Turns a ready instance to draining if it is not confirmed in time. Returns whether it did.
    fn end_trust(&mut self, now: MonoTime) -> bool {
        let is_ready = self.local.phase == InstancePhase::Ready;
        let has_ended = is_ready && self.has_trust_ended(now);
        if has_ended {
            self.local.phase = InstancePhase::Draining;
        }
        has_ended
    }

    /// Moves the instance to `Gone`, where it stays until it announces `starting` or a later start.
    fn mark_gone(&mut self, now: MonoTime) {
        self.local.phase = InstancePhase::Gone;
        self.is_leaving = true;
        self.expiry = now.after(GONE_RETENTION);
    }

    /// Moves on to the next phase after the lease, or the drain that followed it, has expired.
    /// Returns `None` if the instance is gone already.
    fn expire(&mut self, now: MonoTime) -> Option<LocalInstance> {
        let (phase, duration) = match self.local.phase {
            InstancePhase::Starting | InstancePhase::Ready => {
                (InstancePhase::Draining, DRAIN_AFTER_EXPIRY)
            }
            InstancePhase::Draining => (InstancePhase::Gone, GONE_RETENTION),
            InstancePhase::Gone => return None,
        };
        self.local.phase = phase;
        self.expiry = now.after(duration);
        Some(self.local.clone())
    }
}

fn lease(
    instance: &InstanceId,
    announcement: &Announcement,
    phase: InstancePhase,
    now: MonoTime,
) -> LeasedInstance {
    let duration = match phase {
        InstancePhase::Gone => GONE_RETENTION,
        _ => announcement.lease.get(),
    };
    LeasedInstance {
        local: LocalInstance {
            instance: instance.clone(),
            service: announcement.service.clone(),
            address: announcement.address,
            phase,
            slots: announcement.slots,
        },
        order: announcement.order,
        is_leaving: matches!(phase, InstancePhase::Draining | InstancePhase::Gone),
        expiry: now.after(duration),
        unconfirmed_until: None,
    }
}

/// Whether the run of `earlier` started before that of `later`; `false` if either is unknown.
fn started_before(earlier: Option<AnnounceOrder>, later: Option<AnnounceOrder>) -> bool {
    match (earlier, later) {
        (Some(earlier), Some(later)) => earlier.started_millis < later.started_millis,
        _ => false,
    }
}

/// The phase after an announcement of the same run: `announced`, except that a late `draining` does
/// not bring back an instance that announced that it is gone.
fn phase_after(known: Option<&LeasedInstance>, announced: InstancePhase) -> InstancePhase {
    match (known, announced) {
        (Some(known), InstancePhase::Draining)
            if known.is_leaving && known.local.phase == InstancePhase::Gone =>
        {
            InstancePhase::Gone
        }
        _ => announced,
    }
}

fn is_present(local: &LocalInstance) -> bool {
    local.phase != InstancePhase::Gone
}
