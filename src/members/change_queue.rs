//! Queue of the changes that are piggybacked on outgoing datagrams.

use std::collections::BTreeMap;

use crate::hash::FastMap;
use crate::ids::{DaemonId, InstanceId};

/// Identifies the record that changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ChangeKey {
    /// The member record of this daemon.
    Member(DaemonId),
    /// The record of this instance.
    Instance(InstanceId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    can_wait: bool,
    transmissions: u32,
    sequence: u64,
}

/// Changes to transmit: urgent ones first, then the least transmitted, then the oldest.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    positions: FastMap<ChangeKey, QueuePosition>,
    order: BTreeMap<QueuePosition, ChangeKey>,
    last_sequence: u64,
}

impl ChangeQueue {
    /// Queues a change behind urgent ones; resets the transmissions of a change of the same key.
    pub fn push(&mut self, key: ChangeKey) {
        self.remove(&key);
        self.insert(key, true, 0);
    }

    /// Queues a change ahead of all that are not urgent; resets its transmissions likewise.
    pub fn push_urgent(&mut self, key: ChangeKey) {
        self.remove(&key);
        self.insert(key, false, 0);
    }

    /// Removes the change of `key`, if it is queued.
    pub fn remove(&mut self, key: &ChangeKey) {
        if let Some(position) = self.positions.remove(key) {
            self.order.remove(&position);
        }
    }

    /// Returns the first changes in transmission order, at most `limit`; they stay queued.
    #[must_use]
    pub fn next_batch(&self, limit: usize) -> Vec<ChangeKey> {
        self.order.values().take(limit).cloned().collect()
    }

    /// Counts a transmission of `key`, or a peer's proof that it knows the change already, and
    /// removes the change once `limit` is reached.
    pub fn count_transmission(&mut self, key: &ChangeKey, limit: u32) {
        let Some(position) = self.positions.remove(key) else {
            return;
        };
        self.order.remove(&position);
        if position.transmissions + 1 < limit {
            self.insert(key.clone(), position.can_wait, position.transmissions + 1);
        }
    }

    /// Returns the number of queued changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no change is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn insert(&mut self, key: ChangeKey, can_wait: bool, transmissions: u32) {
        self.last_sequence += 1;
        let position = QueuePosition {
            can_wait,
            transmissions,
            sequence: self.last_sequence,
        };
        self.positions.insert(key.clone(), position);
        self.order.insert(position, key);
    }
}
