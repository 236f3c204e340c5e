//! Concurrency limit of an instance, with a bounded queue.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wagtailtrack::units::Slots;

/// Queue capacity for each slot.
const QUEUED_PER_SLOT: usize = 1;

/// Limits the running requests to the number of slots and the waiting ones to the queue capacity.
#[derive(Debug, Clone)]
pub struct SlotPool {
    free: std::sync::Arc<Semaphore>,
    waiting: Rc<Cell<usize>>,
    slots: usize,
}

impl SlotPool {
    /// Creates a pool with all slots free.
    pub fn open(slots: Slots) -> Self {
        let slots = slots.get() as usize;
        Self {
            free: std::sync::Arc::new(Semaphore::new(slots)),
            waiting: Rc::default(),
            slots,
        }
    }

    /// Waits for a free slot; returns `None` at once if the queue is full.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = std::sync::Arc::clone(&self.free).try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting.get() >= self.slots * QUEUED_PER_SLOT {
            return None;
        }
        let _entry = QueueEntry::open(&self.waiting);
        std::sync::Arc::clone(&self.free).acquire_owned().await.ok()
    }

    /// Number of slots in use.
    pub fn in_use(&self) -> usize {
        self.slots - self.free.available_permits()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

/// Counts a waiting request while it exists.
struct QueueEntry(Rc<Cell<usize>>);

impl QueueEntry {
    fn open(waiting: &Rc<Cell<usize>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(Rc::clone(waiting))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
