//! Which member is probed when, and when a probe has failed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonId, RegionId};
use crate::members::MemberTable;
use crate::time::{Deadline, MonoTime};

const PERIOD: Duration = Duration::from_secs(1);
const DIRECT_WAIT: Duration = Duration::from_millis(400);
const TOTAL_WAIT: Duration = Duration::from_millis(950);
const REMOTE_SHARE: usize = 8;
const MOST_AWARENESS: u32 = 4;

/// What the cycle asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeStep {
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
    Relay {
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
struct OpenProbe {
    number: u32,
    target: DaemonId,
    to: SocketAddr,
    since: MonoTime,
    relay_at: Option<Deadline>,
    fails_at: Deadline,
}

/// Probes every member in turn, in a fresh random order each round.
#[derive(Debug)]
pub struct ProbeCycle {
    region: RegionId,
    round: Vec<DaemonId>,
    open: Option<OpenProbe>,
    next_at: Deadline,
    number: u32,
    failures: u32,
}

impl ProbeCycle {
    /// A cycle of a daemon in `region`, that begins at a random point of the first period.
    #[must_use]
    pub fn open(region: RegionId, now: MonoTime, rng: &mut fastrand::Rng) -> Self {
        Self {
            region,
            round: Vec::new(),
            open: None,
            next_at: now.after(PERIOD.mul_f64(rng.f64())),
            number: rng.u32(..),
            failures: 0,
        }
    }

    /// Probes that failed in a row, up to a bound: a sign that this daemon is cut off itself.
    #[must_use]
    pub fn awareness(&self) -> u32 {
        self.failures
    }

    /// Whether so many probes failed in a row that this daemon is likely cut off.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.failures >= MOST_AWARENESS
    }

    /// A number for a probe outside the cycle.
    pub const fn take_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Moves on to `now`.
    pub fn tick(
        &mut self,
        members: &MemberTable,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        steps.extend(self.check_open(now));
        if self.next_at.has_passed(now) {
            self.next_at = now.after(PERIOD);
            steps.extend(self.begin(members, now, rng));
        }
        steps
    }

    /// Takes in an answer; whether it settles the open probe.
    pub fn acknowledge(&mut self, probe: u32) -> bool {
        match &self.open {
            Some(open) if open.number == probe => {
                self.open = None;
                self.failures = 0;
                true
            }
            _ => false,
        }
    }

    fn check_open(&mut self, now: MonoTime) -> Option<ProbeStep> {
        let open = self.open.as_mut()?;
        if open.fails_at.has_passed(now) {
            let step = ProbeStep::Failed {
                target: open.target.clone(),
                since: open.since,
            };
            self.open = None;
            self.failures = (self.failures + 1).min(MOST_AWARENESS);
            return Some(step);
        }
        let due = open.relay_at.filter(|due| due.has_passed(now))?;
        debug_assert!(due.has_passed(now));
        open.relay_at = None;
        Some(ProbeStep::Relay {
            probe: open.number,
            target: open.target.clone(),
            to: open.to,
        })
    }

    fn begin(
        &mut self,
        members: &MemberTable,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<ProbeStep> {
        if self.open.is_some() {
            return None;
        }
        let target = self.next_target(members, rng)?;
        let to = members.get(&target)?.record.address;
        let probe = self.take_number();
        self.open = Some(OpenProbe {
            number: probe,
            target: target.clone(),
            to,
            since: now,
            relay_at: Some(now.after(DIRECT_WAIT)),
            fails_at: now.after(TOTAL_WAIT),
        });
        Some(ProbeStep::Ping { probe, target, to })
    }

    fn next_target(&mut self, members: &MemberTable, rng: &mut fastrand::Rng) -> Option<DaemonId> {
        if let Some(target) = self.pop_live(members) {
            return Some(target);
        }
        self.round = self.draw_round(members, rng);
        self.pop_live(members)
    }

    fn pop_live(&mut self, members: &MemberTable) -> Option<DaemonId> {
        while let Some(target) = self.round.pop() {
            if members.is_live(&target) {
                return Some(target);
            }
        }
        None
    }

    /// Every member of the own region, and of the others one for each few of those.
    fn draw_round(&self, members: &MemberTable, rng: &mut fastrand::Rng) -> Vec<DaemonId> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for record in members.live() {
            let side = match record.region == self.region {
                true => &mut near,
                false => &mut far,
            };
            side.push(record.daemon.clone());
        }
        // The map's order differs between runs; a sorted start makes a seed repeatable.
        near.sort_unstable();
        far.sort_unstable();
        rng.shuffle(&mut far);
        far.truncate(near.len().div_ceil(REMOTE_SHARE).max(1));
        near.append(&mut far);
        rng.shuffle(&mut near);
        near
    }
}
