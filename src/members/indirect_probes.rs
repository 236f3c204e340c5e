//! Indirect probes: pings that this daemon sends on behalf of other members.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::time::{Deadline, MonoTime};

// Time that the ack of an indirect probe is waited for.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_INDIRECT_PROBES: usize = 256;

/// Destination of the ack of an indirect probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndirectProbe {
    /// Peer address of the member that requested the probe.
    pub requester: SocketAddr,
    /// Probe number that the requester expects in the ack.
    pub requester_probe: u32,
    /// When the probe is dropped, because the requester no longer waits.
    pub expires_at: Deadline,
}

/// Pending indirect probes, keyed by the number of this daemon's ping.
#[derive(Debug, Default)]
pub struct IndirectProbes {
    pending: FastMap<u32, IndirectProbe>,
}

impl IndirectProbes {
    /// Adds a probe whose ack for `number` goes to `requester`.
    ///
    /// Returns false when `MAX_INDIRECT_PROBES` are pending; the probe is not added then.
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

    /// Removes and returns the probe that waits for an ack of `number`.
    pub fn take(&mut self, number: u32) -> Option<IndirectProbe> {
        self.pending.remove(&number)
    }

    /// Drops the probes that were not acknowledged in time.
    pub fn expire(&mut self, now: MonoTime) {
        self.pending
            .retain(|_, probe| !probe.expires_at.has_passed(now));
    }
}
