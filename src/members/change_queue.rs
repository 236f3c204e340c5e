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
struct QueuePlace {
    can_wait: bool,
    sent: u32,
    order: u64,
}

/// Changes, urgent ones first, then by how often they were sent.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    places: FastMap<ChangeKey, QueuePlace>,
    order: BTreeMap<QueuePlace, ChangeKey>,
    counter: u64,
}

impl ChangeQueue {
    /// Queues a change anew; one of the same key starts over.
    pub fn push(&mut self, key: ChangeKey) {
        self.forget(&key);
        self.insert(key, true, 0);
    }

    /// Queues a change anew, before all that can wait.
    pub fn push_urgent(&mut self, key: ChangeKey) {
        self.forget(&key);
        self.insert(key, false, 0);
    }

    /// Drops the change of `key`.
    pub fn forget(&mut self, key: &ChangeKey) {
        if let Some(place) = self.places.remove(key) {
            self.order.remove(&place);
        }
    }

    /// The changes in the order in which they should go, at most `most`.
    #[must_use]
    pub fn first(&self, most: usize) -> Vec<ChangeKey> {
        self.order.values().take(most).cloned().collect()
    }

    /// Counts a sending of `key`, or a peer's proof that it knows the change already.
    pub fn count(&mut self, key: &ChangeKey, sendings: u32) {
        let Some(place) = self.places.remove(key) else {
            return;
        };
        self.order.remove(&place);
        if place.sent + 1 < sendings {
            self.insert(key.clone(), place.can_wait, place.sent + 1);
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

    fn insert(&mut self, key: ChangeKey, can_wait: bool, sent: u32) {
        self.counter += 1;
        let place = QueuePlace {
            can_wait,
            sent,
            order: self.counter,
        };
        self.places.insert(key.clone(), place);
        self.order.insert(place, key);
    }
}
