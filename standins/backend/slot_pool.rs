//! The slots of an instance, with a short queue before them.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wagtailtrack::units::Slots;

/// Requests that may wait, for each slot.
const QUEUED_PER_SLOT: usize = 1;

/// Runs as many requests as there are slots; a few wait; the rest are shed.
#[derive(Debug, Clone)]
pub struct SlotPool {
    free: std::sync::Arc<Semaphore>,
    waiting: Rc<Cell<usize>>,
    slots: usize,
}

impl SlotPool {
    /// Opens a pool whose slots are all free.
    pub fn open(slots: Slots) -> Self {
        let slots = slots.get() as usize;
        Self {
            free: std::sync::Arc::new(Semaphore::new(slots)),
            waiting: Rc::default(),
            slots,
        }
    }

    /// A slot once one is free, or none when too many wait already.
    pub async fn take(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = std::sync::Arc::clone(&self.free).try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting.get() >= self.slots * QUEUED_PER_SLOT {
            return None;
        }
        let _place = WaitingPlace::open(&self.waiting);
        std::sync::Arc::clone(&self.free).acquire_owned().await.ok()
    }

    /// Slots in use.
    pub fn in_use(&self) -> usize {
        self.slots - self.free.available_permits()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

struct WaitingPlace(Rc<Cell<usize>>);

impl WaitingPlace {
    fn open(waiting: &Rc<Cell<usize>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(Rc::clone(waiting))
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
