//! Probes that this daemon sends on behalf of others.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::time::{Deadline, MonoTime};

const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_INDIRECT_PROBES: usize = 256;

/// Whom to pass an answer on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndirectProbe {
    /// Who asked.
    pub requester: SocketAddr,
    /// The number that the asker waits for.
    pub requester_probe: u32,
    /// Until when the answer is of use.
    pub expires_at: Deadline,
}

/// The open relayed probes by this daemon's own number.
#[derive(Debug, Default)]
pub struct IndirectProbes {
    pending: FastMap<u32, IndirectProbe>,
}

impl IndirectProbes {
    /// Notes that the answer to `number` goes to `requester`; whether there was room.
    pub fn insert(
        &mut self,
        number: u32,
        requester: SocketAddr,
        requester_probe: u32,
        now: MonoTime,
    ) -> bool {
        if self.pending.len() >= MAX_INDIRECT_PROBES {
            return false;
        }
        let expires_at = now.after(INDIRECT_PROBE_TIMEOUT);
        let probe = IndirectProbe {
            requester,
            requester_probe,
            expires_at,
        };
        self.pending.insert(number, probe);
        true
    }

    /// Takes the relay that waits for `number`.
    pub fn take(&mut self, number: u32) -> Option<IndirectProbe> {
        self.pending.remove(&number)
    }

    /// Drops relays that came to nothing.
    pub fn expire(&mut self, now: MonoTime) {
        self.pending
            .retain(|_, probe| !probe.expires_at.has_passed(now));
    }
}
