//! Small random set of peers that a daemon queries regularly.

use std::net::SocketAddr;

use crate::time::{Deadline, MonoTime};

/// Number of partners of one daemon; fewer when there are fewer live peers.
pub const MAX_PARTNERS: usize = 3;
/// Mean time for which a partner is kept.
const MEAN_PARTNER_LIFETIME: std::time::Duration = std::time::Duration::from_secs(600);

/// Random peers that are kept for some time, so that a large fleet needs few connections.
#[derive(Debug, Default)]
pub struct PartnerSet {
    partners: Vec<(SocketAddr, Deadline)>,
    /// Index of the partner that was returned last.
    cursor: usize,
}

impl PartnerSet {
    /// Removes partners that are not `live` or whose lifetime is over, and replaces them by random
    /// live peers.
    pub fn refresh(&mut self, live: &[SocketAddr], now: MonoTime, rng: &mut fastrand::Rng) {
        self.partners
            .retain(|(address, until)| !until.has_passed(now) && live.contains(address));
        let wanted = MAX_PARTNERS.min(live.len());
        while self.partners.len() < wanted {
            let drawn = live[rng.usize(..live.len())];
            if !self.partners.iter().any(|(address, _)| *address == drawn) {
                // Lifetimes are random, so that a fleet does not replace its partners all at once.
                let lifetime = MEAN_PARTNER_LIFETIME.mul_f64(0.5 + rng.f64());
                self.partners.push((drawn, now.after(lifetime)));
            }
        }
    }

    /// Removes a partner that did not answer.
    pub fn remove(&mut self, failed: SocketAddr) {
        self.partners.retain(|(address, _)| *address != failed);
    }

    /// The next partner in round-robin order; none when there are no partners.
    pub fn next_partner(&mut self) -> Option<SocketAddr> {
        if self.partners.is_empty() {
            return None;
        }
        self.cursor = (self.cursor + 1) % self.partners.len();
        Some(self.partners[self.cursor].0)
    }

    /// Addresses of all partners.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.partners.iter().map(|(address, _)| *address).collect()
    }
}
