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

type QueuePlace = (u32, u64);

/// Changes by how often they were sent; those sent least go first.
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
        self.insert(key, 0);
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
        if place.0 + 1 < sendings {
            self.insert(key.clone(), place.0 + 1);
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

    fn insert(&mut self, key: ChangeKey, sent: u32) {
        self.counter += 1;
        let place = (sent, self.counter);
        self.places.insert(key.clone(), place);
        self.order.insert(place, key);
    }
}
