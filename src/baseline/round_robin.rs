//! Instances in turn, whatever their load and health.

use crate::ids::InstanceId;
use crate::wire::{InstancePhase, InstanceRecord};

/// Picks ready instances in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// The next ready instance that was not tried.
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
