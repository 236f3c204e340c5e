//! Which member is probed when, and when a probe has failed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonId, RegionId};
use crate::members::MemberTable;
use crate::time::{Deadline, MonoTime};

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const DIRECT_ACK_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_TIMEOUT: Duration = Duration::from_millis(950);
const LOCAL_PER_REMOTE: usize = 8;
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// What the cycle asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeAction {
    /// Ping this member.
    Ping {
        /// Number that the answer carries.
        probe: u32,
        /// The member.
        target: DaemonId,
        /// Its address.
        to: SocketAddr,
    },
    /// No direct answer: ask others to ping it.
    IndirectPing {
        /// Number that the answer carries.
        probe: u32,
        /// The member.
        target: DaemonId,
        /// Its address.
        to: SocketAddr,
    },
    /// No answer on any path.
    Failed {
        /// The member.
        target: DaemonId,
        /// When its probe was sent.
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

/// Probes every member in turn, in a fresh random order each round.
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
    /// A cycle of a daemon in `region`, that begins at a random point of the first period.
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

    /// Probes that failed in a row, up to a bound: a sign that this daemon is cut off itself.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Whether so many probes failed in a row that this daemon is likely cut off.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// A number for a probe outside the cycle.
    pub const fn next_probe_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Moves on to `now`.
    pub fn tick(
        &mut self,
        members: &MemberTable,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<ProbeAction> {
        let mut actions = Vec::new();
        actions.extend(self.check_pending(now));
        if self.next_probe_at.has_passed(now) {
            self.next_probe_at = now.after(PROBE_INTERVAL);
            actions.extend(self.start_probe(members, now, rng));
        }
        actions
    }

    /// Takes in an answer; whether it settles the open probe.
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
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<ProbeAction> {
        if self.pending.is_some() {
            return None;
        }
        let target = self.next_target(members, rng)?;
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

    fn next_target(&mut self, members: &MemberTable, rng: &mut fastrand::Rng) -> Option<DaemonId> {
        if let Some(target) = self.pop_live_target(members) {
            return Some(target);
        }
        self.round = self.shuffle_round(members, rng);
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

    /// Every member of the own region, and of the others one for each few of those.
    fn shuffle_round(&self, members: &MemberTable, rng: &mut fastrand::Rng) -> Vec<DaemonId> {
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for record in members.live() {
            let side = match record.region == self.region {
                true => &mut local,
                false => &mut remote,
            };
            side.push(record.daemon.clone());
        }
        // The map's order differs between runs; a sorted start makes a seed repeatable.
        local.sort_unstable();
        remote.sort_unstable();
        rng.shuffle(&mut remote);
        remote.truncate(local.len().div_ceil(LOCAL_PER_REMOTE).max(1));
        local.append(&mut remote);
        rng.shuffle(&mut local);
        local
    }
}
