//! Counts the bytes of one stream under the purpose of its first message.

use std::cell::Cell;
use std::rc::Rc;

use crate::peers::{TrafficPurpose, ZoneTraffic};

/// Counter of one stream to or from a daemon of another zone.
#[derive(Debug)]
pub(crate) struct StreamTraffic {
    zone: Rc<ZoneTraffic>,
    /// None until the first message is known; what arrives before is kept in `early`.
    purpose: Cell<Option<TrafficPurpose>>,
    early: Cell<usize>,
}

impl StreamTraffic {
    pub(crate) fn open(zone: &Rc<ZoneTraffic>) -> Self {
        Self {
            zone: Rc::clone(zone),
            purpose: Cell::new(None),
            early: Cell::new(0),
        }
    }

    /// Sets the purpose and counts what was received before.
    pub(crate) fn set_purpose(&self, purpose: TrafficPurpose) {
        self.purpose.set(Some(purpose));
        self.zone.add_received_message(purpose, self.early.take());
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        let purpose = self.purpose.get().unwrap_or(TrafficPurpose::Other);
        self.zone.add_sent_message(purpose, bytes);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        match self.purpose.get() {
            Some(purpose) => self.zone.add_received_message(purpose, bytes),
            None => self.early.set(self.early.get() + bytes),
        }
    }
}
