//! Frees a request's place at its dispatcher, however the request ends.

use std::cell::RefCell;
use std::rc::Rc;

use crate::egress::InstanceDispatcher;
use crate::queue::RequestKey;
use crate::time::{MonoTime, ProcessClock};

/// Holds a place in the queue or a slot; dropping it frees either.
pub struct SlotGuard {
    dispatcher: Rc<RefCell<InstanceDispatcher>>,
    key: RequestKey,
    clock: ProcessClock,
    sent: Option<MonoTime>,
}

impl SlotGuard {
    /// Guards the place of `key` at `dispatcher`.
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
            sent: None,
        }
    }

    /// Marks the request as sent to the instance.
    pub fn mark_sent(&mut self) {
        let now = self.clock.now();
        self.sent = Some(now);
        self.dispatcher.borrow_mut().sent(self.key, now);
    }

    /// When the request was sent, if it was.
    #[must_use]
    pub const fn sent(&self) -> Option<MonoTime> {
        self.sent
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        match self.sent {
            Some(_) => dispatcher.finish(self.key, now),
            None => dispatcher.leave(self.key, now),
        }
    }
}
