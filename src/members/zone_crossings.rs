//! Changes of the own zone that a relay has yet to send to the other zones.

use std::collections::BTreeMap;

use crate::ids::ZoneId;
use crate::members::{ChangeKey, ChangeQueue};

/// Changes by the zone that lacks them. Each is sent there once; digests repair what is lost.
#[derive(Debug, Default)]
pub struct ZoneCrossings {
    pending: BTreeMap<ZoneId, ChangeQueue>,
    urgent: BTreeMap<ZoneId, ChangeQueue>,
}

impl ZoneCrossings {
    /// Adds a change for `zone` that can wait for the next message.
    pub fn push(&mut self, zone: &ZoneId, key: ChangeKey) {
        self.pending.entry(zone.clone()).or_default().push(key);
    }

    /// Adds a change for `zone` that is sent at once.
    pub fn push_urgent(&mut self, zone: &ZoneId, key: ChangeKey) {
        if let Some(pending) = self.pending.get_mut(zone) {
            pending.remove(&key);
        }
        self.urgent.entry(zone.clone()).or_default().push(key);
    }

    /// Returns the first changes for `zone`, at most `limit`.
    #[must_use]
    pub fn next_batch(&self, zone: &ZoneId, limit: usize) -> Vec<ChangeKey> {
        let pending = self.pending.get(zone);
        pending.map_or_else(Vec::new, |pending| pending.next_batch(limit))
    }

    /// Removes a change that was sent to `zone`.
    pub fn remove(&mut self, zone: &ZoneId, key: &ChangeKey) {
        if let Some(pending) = self.pending.get_mut(zone) {
            pending.remove(key);
        }
    }

    /// The zones for which changes wait.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneId> {
        let waiting = self.pending.iter();
        let waiting = waiting.filter(|(_, pending)| !pending.is_empty());
        waiting.map(|(zone, _)| zone.clone()).collect()
    }

    /// Removes and returns the urgent changes by zone, at most `limit` for each.
    pub fn take_urgent(&mut self, limit: usize) -> Vec<(ZoneId, Vec<ChangeKey>)> {
        let urgent = std::mem::take(&mut self.urgent).into_iter();
        urgent
            .map(|(zone, keys)| (zone, keys.next_batch(limit)))
            .collect()
    }

    /// Drops all changes, as this daemon is no longer a relay.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.urgent.clear();
    }
}
