//! The instances beside this daemon and their leases.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::InstanceId;
use crate::instances::{AnnounceError, AnnounceOrder, Announcement, LocalInstance};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstancePhase;

/// Instances on one VM.
const MOST_INSTANCES: usize = 64;
/// How long after a missed lease an instance counts as draining: its last work ends meanwhile.
const GONE_AFTER_MISSED: Duration = Duration::from_secs(10);
/// How long an instance that is gone is remembered: a late announcement is seconds old at most.
const REMEMBER_GONE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct LeasedInstance {
    local: LocalInstance,
    /// The instance itself said that it leaves.
    has_left: bool,
    /// The newest announcement's place, where the instance says so.
    order: Option<AnnounceOrder>,
    /// When the next step without a renewal is due.
    due: Deadline,
}

/// Turns announcements and missed leases into phases.
///
/// An instance that said that it drains or is gone stays so until it announces `starting`:
/// a renewal that was sent before the drain and arrives after it changes nothing.
#[derive(Debug, Default)]
pub struct AnnounceTable {
    instances: FastMap<InstanceId, LeasedInstance>,
}

impl AnnounceTable {
    /// Takes in an announcement; the instance, and whether more than its lease changed.
    ///
    /// # Errors
    /// `AnnounceError::Leaving` for a renewal after a drain, and `AnnounceError::TooManyInstances`.
    pub fn announce(
        &mut self,
        instance: &InstanceId,
        announcement: &Announcement,
        now: MonoTime,
    ) -> Result<(LocalInstance, bool), AnnounceError> {
        let known = self.instances.get(instance);
        let restarted = known.is_some_and(|known| known.started_before(announcement));
        let has_left = known.is_some_and(|known| known.has_left) && !restarted;
        if let Some(known) = known
            && known.is_later_than(announcement)
        {
            return Ok((known.local.clone(), false));
        }
        if has_left && announcement.phase == InstancePhase::Ready {
            return Err(AnnounceError::Leaving(instance.clone()));
        }
        if self.is_replaced(instance, announcement) {
            return Err(AnnounceError::Replaced(
                instance.clone(),
                announcement.address,
            ));
        }
        if known.is_none() && self.instances.len() >= MOST_INSTANCES {
            return Err(AnnounceError::TooManyInstances(MOST_INSTANCES));
        }
        let phase = match restarted {
            true => announcement.phase,
            false => phase_after(known, announcement.phase),
        };
        let leased = lease(instance, announcement, phase, now);
        let changed = restarted || known.is_none_or(|known| known.local != leased.local);
        let local = leased.local.clone();
        self.instances.insert(instance.clone(), leased);
        Ok((local, changed))
    }

    /// The instances that `newcomer` replaces at its address: they have ended, whatever they said.
    pub fn end_replaced(&mut self, newcomer: &LocalInstance, now: MonoTime) -> Vec<LocalInstance> {
        let order = self
            .instances
            .get(&newcomer.instance)
            .and_then(|leased| leased.order);
        let mut replaced = Vec::new();
        for (name, leased) in &mut self.instances {
            let is_same_place = leased.local.address == newcomer.address;
            if *name != newcomer.instance
                && is_same_place
                && is_present(&leased.local)
                && started_before(leased.order, order)
            {
                leased.leave(now);
                replaced.push(leased.local.clone());
            }
        }
        replaced
    }

    /// Takes in that `instance` has ended its work; the instance, if it was known.
    pub fn remove(&mut self, instance: &InstanceId, now: MonoTime) -> Option<LocalInstance> {
        let leased = self.instances.get_mut(instance)?;
        leased.leave(now);
        Some(leased.local.clone())
    }

    /// Whether an instance that started later has been seen at the address.
    fn is_replaced(&self, instance: &InstanceId, announcement: &Announcement) -> bool {
        self.instances.iter().any(|(name, leased)| {
            name != instance
                && leased.local.address == announcement.address
                && started_before(announcement.order, leased.order)
        })
    }

    /// Moves on to `now`; the instances that a missed lease changed.
    pub fn expire_leases(&mut self, now: MonoTime) -> Vec<LocalInstance> {
        let mut changed = Vec::new();
        self.instances.retain(|_, leased| {
            if !leased.due.has_passed(now) {
                return true;
            }
            let keep = leased.local.phase != InstancePhase::Gone;
            if keep {
                changed.extend(leased.miss(now));
            }
            keep
        });
        changed
    }

    /// The instance of this name, unless it is gone.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&LocalInstance> {
        let leased = self.instances.get(instance)?;
        is_present(&leased.local).then_some(&leased.local)
    }

    /// Whether `instance` may begin new work at `now`: it is ready, and its lease holds.
    ///
    /// The lease is checked here and not only in `expire_leases`, as this process may have been paused.
    #[must_use]
    pub fn accepts_work(&self, instance: &InstanceId, now: MonoTime) -> bool {
        let leased = self.instances.get(instance);
        leased.is_some_and(|leased| {
            leased.local.phase == InstancePhase::Ready && !leased.due.has_passed(now)
        })
    }

    /// Every instance that is not gone, by name.
    #[must_use]
    pub fn present_instances(&self) -> Vec<LocalInstance> {
        let all = self.instances.values().map(|leased| &leased.local);
        let mut present: Vec<_> = all.filter(|local| is_present(local)).cloned().collect();
        present.sort_unstable_by(|left, right| left.instance.cmp(&right.instance));
        present
    }
}

impl LeasedInstance {
    /// Whether an announcement of the same run came after `announcement`, or the run is over.
    fn is_later_than(&self, announcement: &Announcement) -> bool {
        match (self.order, announcement.order) {
            (Some(known), Some(offered)) => known > offered,
            _ => false,
        }
    }

    /// Whether `announcement` is of a later start.
    fn started_before(&self, announcement: &Announcement) -> bool {
        started_before(self.order, announcement.order)
    }

    /// The instance has said that it is gone.
    fn leave(&mut self, now: MonoTime) {
        self.local.phase = InstancePhase::Gone;
        self.has_left = true;
        self.due = now.after(REMEMBER_GONE);
    }

    /// Takes the step that a missed lease asks for.
    fn miss(&mut self, now: MonoTime) -> Option<LocalInstance> {
        let (phase, wait) = match self.local.phase {
            InstancePhase::Starting | InstancePhase::Ready => {
                (InstancePhase::Draining, GONE_AFTER_MISSED)
            }
            InstancePhase::Draining => (InstancePhase::Gone, REMEMBER_GONE),
            InstancePhase::Gone => return None,
        };
        self.local.phase = phase;
        self.due = now.after(wait);
        Some(self.local.clone())
    }
}

fn lease(
    instance: &InstanceId,
    announcement: &Announcement,
    phase: InstancePhase,
    now: MonoTime,
) -> LeasedInstance {
    let span = match phase {
        InstancePhase::Gone => REMEMBER_GONE,
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
        has_left: matches!(phase, InstancePhase::Draining | InstancePhase::Gone),
        due: now.after(span),
    }
}

fn started_before(earlier: Option<AnnounceOrder>, later: Option<AnnounceOrder>) -> bool {
    match (earlier, later) {
        (Some(earlier), Some(later)) => earlier.started_millis < later.started_millis,
        _ => false,
    }
}

/// A late drain does not bring back an instance that said that it is gone.
fn phase_after(known: Option<&LeasedInstance>, announced: InstancePhase) -> InstancePhase {
    match (known, announced) {
        (Some(known), InstancePhase::Draining)
            if known.has_left && known.local.phase == InstancePhase::Gone =>
        {
            InstancePhase::Gone
        }
        _ => announced,
    }
}

fn is_present(local: &LocalInstance) -> bool {
    local.phase != InstancePhase::Gone
}
