//! The few peers that a daemon asks again and again.

use std::net::SocketAddr;

use crate::time::{Deadline, MonoTime};

/// Partners of one daemon.
pub const MAX_PARTNERS: usize = 3;
/// How long a partner is kept.
const PARTNER_LIFE: std::time::Duration = std::time::Duration::from_secs(600);

/// A stable choice of peers, so that a large fleet needs few connections.
#[derive(Debug, Default)]
pub struct PartnerSet {
    partners: Vec<(SocketAddr, Deadline)>,
    turn: usize,
}

impl PartnerSet {
    /// Drops partners that are not among the `live` or have served long, and draws others.
    pub fn refresh(&mut self, live: &[SocketAddr], now: MonoTime, rng: &mut fastrand::Rng) {
        self.partners
            .retain(|(address, until)| !until.has_passed(now) && live.contains(address));
        let wanted = MAX_PARTNERS.min(live.len());
        while self.partners.len() < wanted {
            let drawn = live[rng.usize(..live.len())];
            if !self.partners.iter().any(|(address, _)| *address == drawn) {
                // Lives differ, so that the fleet does not change its partners at once.
                let life = PARTNER_LIFE.mul_f64(0.5 + rng.f64());
                self.partners.push((drawn, now.after(life)));
            }
        }
    }

    /// Drops a partner that did not answer.
    pub fn remove(&mut self, failed: SocketAddr) {
        self.partners.retain(|(address, _)| *address != failed);
    }

    /// The partner whose turn it is.
    pub fn next_partner(&mut self) -> Option<SocketAddr> {
        if self.partners.is_empty() {
            return None;
        }
        self.turn = (self.turn + 1) % self.partners.len();
        Some(self.partners[self.turn].0)
    }

    /// Every partner.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.partners.iter().map(|(address, _)| *address).collect()
    }
}
