//! SWIM failure detector: the schedule of probes and the timeout of each.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonId, RegionId};
use crate::members::MemberTable;
use crate::time::{Deadline, MonoTime};
use crate::wire::MemberRecord;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
// Time from the direct ping to the request for indirect pings.
const DIRECT_ACK_TIMEOUT: Duration = Duration::from_millis(400);
// Time from the direct ping to the failure of the probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(950);
// Members of the own region in a round for each member of another region.
const LOCAL_PER_REMOTE: usize = 8;
// From this number on, the daemon counts as isolated.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// What the failure detector requests from `GossipCore`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeAction {
    /// Ping the target directly.
    Ping {
        /// Number that the ack must carry.
        probe: u32,
        /// Member to ping.
        target: DaemonId,
        /// Peer address of the target.
        to: SocketAddr,
    },
    /// Ask other members to ping the target, which has not acknowledged the direct ping.
    IndirectPing {
        /// Number that the ack must carry.
        probe: u32,
        /// Member to ping.
        target: DaemonId,
        /// Peer address of the target.
        to: SocketAddr,
    },
    /// Neither the direct nor an indirect ping was acknowledged in time.
    Failed {
        /// Member that did not answer.
        target: DaemonId,
        /// When the direct ping was sent.
        since: MonoTime,
    },
}

#[derive(Debug)]
struct PendingProbe {
    number: u32,
    target: DaemonId,
    to: SocketAddr,
    since: MonoTime,
    indirect_at: Option<Deadline>,
    expires_at: Deadline,
}

/// Probes one member per interval, in rounds of newly shuffled order.
#[derive(Debug)]
pub struct FailureDetector {
    region: RegionId,
    round: Vec<DaemonId>,
    pending: Option<PendingProbe>,
    next_probe_at: Deadline,
    number: u32,
    consecutive_failures: u32,
}

impl FailureDetector {
    /// Creates the detector of a daemon in `region`. The first probe starts at a random time
    /// within the first `PROBE_INTERVAL`.
    #[must_use]
    pub fn open(region: RegionId, now: MonoTime, rng: &mut fastrand::Rng) -> Self {
        Self {
            region,
            round: Vec::new(),
            pending: None,
            next_probe_at: now.after(PROBE_INTERVAL.mul_f64(rng.f64())),
            number: rng.u32(..),
            consecutive_failures: 0,
        }
    }

    /// Returns the number of probes that failed in a row, at most `MAX_CONSECUTIVE_FAILURES`; a
    /// high number hints at a fault of this daemon's own network.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Whether so many probes failed in a row that this daemon is likely isolated.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Returns the next probe number, also for pings outside the rounds.
    pub const fn next_probe_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Returns the actions that are due at `now`, with rounds over the whole fleet.
    pub fn tick(
        &mut self,
        members: &MemberTable,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<ProbeAction> {
        let region = self.region.clone();
        let draw = |rng: &mut fastrand::Rng| shuffle_round(members.live(), &region, rng);
        self.tick_over(members, draw, now, rng)
    }

    /// Returns the actions that are due at `now`, with rounds that `draw` returns.
    pub fn tick_over(
        &mut self,
        members: &MemberTable,
        draw: impl FnOnce(&mut fastrand::Rng) -> Vec<DaemonId>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<ProbeAction> {
        let mut actions = Vec::new();
        actions.extend(self.check_pending(now));
        if self.next_probe_at.has_passed(now) {
            self.next_probe_at = now.after(PROBE_INTERVAL);
            actions.extend(self.start_probe(members, draw, now, rng));
        }
        actions
    }

    /// Drops the rest of the present round, so that a new one is drawn.
    pub fn end_round(&mut self) {
        self.round.clear();
    }

    /// Handles an ack; returns whether it completes the pending probe.
    pub fn acknowledge(&mut self, probe: u32) -> bool {
        match &self.pending {
            Some(pending) if pending.number == probe => {
                self.pending = None;
                self.consecutive_failures = 0;
                true
            }
            _ => false,
        }
    }

    fn check_pending(&mut self, now: MonoTime) -> Option<ProbeAction> {
        let pending = self.pending.as_mut()?;
        if pending.expires_at.has_passed(now) {
            let action = ProbeAction::Failed {
                target: pending.target.clone(),
                since: pending.since,
            };
            self.pending = None;
            self.consecutive_failures =
                (self.consecutive_failures + 1).min(MAX_CONSECUTIVE_FAILURES);
            return Some(action);
        }
        let due = pending.indirect_at.filter(|due| due.has_passed(now))?;
        debug_assert!(due.has_passed(now));
        pending.indirect_at = None;
        Some(ProbeAction::IndirectPing {
            probe: pending.number,
            target: pending.target.clone(),
            to: pending.to,
        })
    }

    fn start_probe(
        &mut self,
        members: &MemberTable,
        draw: impl FnOnce(&mut fastrand::Rng) -> Vec<DaemonId>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<ProbeAction> {
        if self.pending.is_some() {
            return None;
        }
        let target = self.next_target(members, draw, rng)?;
        let to = members.get(&target)?.record.address;
        let probe = self.next_probe_number();
        self.pending = Some(PendingProbe {
            number: probe,
            target: target.clone(),
            to,
            since: now,
            indirect_at: Some(now.after(DIRECT_ACK_TIMEOUT)),
            expires_at: now.after(PROBE_TIMEOUT),
        });
        Some(ProbeAction::Ping { probe, target, to })
    }

    fn next_target(
        &mut self,
        members: &MemberTable,
        draw: impl FnOnce(&mut fastrand::Rng) -> Vec<DaemonId>,
        rng: &mut fastrand::Rng,
    ) -> Option<DaemonId> {
        if let Some(target) = self.pop_live_target(members) {
            return Some(target);
        }
        self.round = draw(rng);
        self.pop_live_target(members)
    }

    fn pop_live_target(&mut self, members: &MemberTable) -> Option<DaemonId> {
        while let Some(target) = self.round.pop() {
            if members.is_live(&target) {
                return Some(target);
            }
        }
        None
    }
}

/// Draws a round: all `members` of the own region and, for every `LOCAL_PER_REMOTE` of them, one of
/// another region.
pub(super) fn shuffle_round<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    region: &RegionId,
    rng: &mut fastrand::Rng,
) -> Vec<DaemonId> {
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for record in members {
        let side = match record.region == *region {
            true => &mut local,
            false => &mut remote,
        };
        side.push(record.daemon.clone());
    }
    // Hash map order differs between runs; sorting makes the shuffle repeatable for a seed.
    local.sort_unstable();
    remote.sort_unstable();
    rng.shuffle(&mut remote);
    remote.truncate(local.len().div_ceil(LOCAL_PER_REMOTE).max(1));
    local.append(&mut remote);
    rng.shuffle(&mut local);
    local
}
