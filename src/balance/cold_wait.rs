//! Waits for the tokens of cold instances.

use std::time::Duration;

use crate::balance::InstancePicker;
use crate::ids::InstanceId;
use crate::time::{Deadline, MonoTime};
use crate::wire::{InstancePhase, InstanceRecord};

impl InstancePicker {
    /// Offers nothing to a cold instance until `until`, because its egress refused a request.
    pub fn wait_for_token(&mut self, instance: &InstanceId, until: Deadline) {
        self.stats_mut(instance).cold_until = until;
    }

    /// Time until the first of the cold instances that take no request now takes one; none if there
    /// is no such instance.
    #[must_use]
    pub fn cold_wait(&self, records: &[InstanceRecord], now: MonoTime) -> Option<Duration> {
        records
            .iter()
            .filter(|record| record.phase == InstancePhase::Ready)
            .filter_map(|record| self.stats.get(&record.instance))
            .map(|stats| stats.cold_until.remaining(now))
            .filter(|wait| !wait.is_zero())
            .min()
    }

    /// Whether the instance is cold and takes no request now.
    pub(super) fn waits_for_token(&self, record: &InstanceRecord, now: MonoTime) -> bool {
        let stats = self.stats.get(&record.instance);
        stats.is_some_and(|stats| !stats.cold_until.has_passed(now))
    }
}
