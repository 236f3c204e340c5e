//! Probes that this daemon sends on behalf of others.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::time::{Deadline, MonoTime};

const RELAY_WAIT: Duration = Duration::from_secs(1);
const MOST_RELAYS: usize = 256;

/// Whom to pass an answer on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedProbe {
    /// Who asked.
    pub asker: SocketAddr,
    /// The number that the asker waits for.
    pub probe: u32,
    /// Until when the answer is of use.
    pub until: Deadline,
}

/// The open relayed probes by this daemon's own number.
#[derive(Debug, Default)]
pub struct RelayTable {
    open: FastMap<u32, RelayedProbe>,
}

impl RelayTable {
    /// Notes that the answer to `number` goes to `asker`; whether there was room.
    pub fn insert(&mut self, number: u32, asker: SocketAddr, probe: u32, now: MonoTime) -> bool {
        if self.open.len() >= MOST_RELAYS {
            return false;
        }
        let until = now.after(RELAY_WAIT);
        let relay = RelayedProbe {
            asker,
            probe,
            until,
        };
        self.open.insert(number, relay);
        true
    }

    /// Takes the relay that waits for `number`.
    pub fn take(&mut self, number: u32) -> Option<RelayedProbe> {
        self.open.remove(&number)
    }

    /// Drops relays that came to nothing.
    pub fn expire(&mut self, now: MonoTime) {
        self.open.retain(|_, relay| !relay.until.has_passed(now));
    }
}
