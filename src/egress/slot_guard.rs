//! Frees a request's place at its gate, however the request ends.

use std::cell::RefCell;
use std::rc::Rc;

use crate::egress::InstanceGate;
use crate::queue::RequestKey;
use crate::time::{MonoTime, ProcessClock};

/// Holds a place in the queue or a slot; dropping it frees either.
pub struct SlotGuard {
    gate: Rc<RefCell<InstanceGate>>,
    key: RequestKey,
    clock: ProcessClock,
    sent: Option<MonoTime>,
}

impl SlotGuard {
    /// Guards the place of `key` at `gate`.
    #[must_use]
    pub const fn open(
        gate: Rc<RefCell<InstanceGate>>,
        key: RequestKey,
        clock: ProcessClock,
    ) -> Self {
        Self {
            gate,
            key,
            clock,
            sent: None,
        }
    }

    /// Marks the request as sent to the instance.
    pub fn mark_sent(&mut self) {
        let now = self.clock.now();
        self.sent = Some(now);
        self.gate.borrow_mut().sent(self.key, now);
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
        let mut gate = self.gate.borrow_mut();
        match self.sent {
            Some(_) => gate.finish(self.key, now),
            None => gate.leave(self.key, now),
        }
    }
}
