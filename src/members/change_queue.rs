//! Changes that still ride on outgoing datagrams.

use std::collections::BTreeMap;

use crate::hash::FastMap;
use crate::ids::{DaemonId, InstanceId};

/// What changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ChangeKey {
    /// A member's record.
    Member(DaemonId),
    /// An instance's record.
    Instance(InstanceId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    can_wait: bool,
    transmissions: u32,
    sequence: u64,
}

/// Changes, urgent ones first, then by how often they were sent.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    positions: FastMap<ChangeKey, QueuePosition>,
    order: BTreeMap<QueuePosition, ChangeKey>,
    last_sequence: u64,
}

impl ChangeQueue {
    /// Queues a change anew; one of the same key starts over.
    pub fn push(&mut self, key: ChangeKey) {
        self.remove(&key);
        self.insert(key, true, 0);
    }

    /// Queues a change anew, before all that can wait.
    pub fn push_urgent(&mut self, key: ChangeKey) {
        self.remove(&key);
        self.insert(key, false, 0);
    }

    /// Drops the change of `key`.
    pub fn remove(&mut self, key: &ChangeKey) {
        if let Some(position) = self.positions.remove(key) {
            self.order.remove(&position);
        }
    }

    /// The changes in the order in which they should go, at most `limit`.
    #[must_use]
    pub fn next_batch(&self, limit: usize) -> Vec<ChangeKey> {
        self.order.values().take(limit).cloned().collect()
    }

    /// Counts a sending of `key`, or a peer's proof that it knows the change already.
    pub fn count_transmission(&mut self, key: &ChangeKey, limit: u32) {
        let Some(position) = self.positions.remove(key) else {
            return;
        };
        self.order.remove(&position);
        if position.transmissions + 1 < limit {
            self.insert(key.clone(), position.can_wait, position.transmissions + 1);
        }
    }

    /// Number of changes that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no change waits.
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
