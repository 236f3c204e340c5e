//! RAII guard for a request's slot or queue place at an instance.

use std::cell::RefCell;
use std::rc::Rc;

use crate::egress::InstanceDispatcher;
use crate::queue::RequestKey;
use crate::time::{MonoTime, ProcessClock};

/// Holds a place in the queue or a slot of an instance, and releases it when dropped.
pub struct SlotGuard {
    dispatcher: Rc<RefCell<InstanceDispatcher>>,
    key: RequestKey,
    clock: ProcessClock,
    sent_at: Option<MonoTime>,
}

impl SlotGuard {
    /// Creates a guard for the request `key`, which asks `dispatcher` for a slot.
    #[must_use]
    pub const fn open(
        dispatcher: Rc<RefCell<InstanceDispatcher>>,
        key: RequestKey,
        clock: ProcessClock,
    ) -> Self {
        Self {
            dispatcher,
            key,
            clock,
            sent_at: None,
        }
    }

    /// Marks the request as sent to the instance now.
    pub fn mark_sent(&mut self) {
        let now = self.clock.now();
        self.sent_at = Some(now);
        self.dispatcher.borrow_mut().mark_sent(self.key, now);
    }

    /// When the request was sent to the instance; none if it was not.
    #[must_use]
    pub const fn sent_at(&self) -> Option<MonoTime> {
        self.sent_at
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        match self.sent_at {
            Some(_) => dispatcher.finish(self.key, now),
            None => dispatcher.cancel(self.key, now),
        }
    }
}
