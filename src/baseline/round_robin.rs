//! Round robin over instances, regardless of load and health.

use crate::ids::InstanceId;
use crate::wire::{InstancePhase, InstanceRecord};

/// Picks the ready instances of a service in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Number of picks so far.
    next: usize,
}

impl RoundRobin {
    /// Returns the next ready instance that is not in `tried`; `None` if there is none.
    pub fn pick(&mut self, records: &[InstanceRecord], tried: &[InstanceId]) -> Option<InstanceId> {
        let ready: Vec<&InstanceRecord> = records
            .iter()
            .filter(|record| record.phase == InstancePhase::Ready)
            .filter(|record| !tried.contains(&record.instance))
            .collect();
        let index = self.next.checked_rem(ready.len())?;
        self.next = self.next.wrapping_add(1);
        Some(ready[index].instance.clone())
    }
}
