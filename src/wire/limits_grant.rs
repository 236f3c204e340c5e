//! Messages that grant tokens to an ingress.

use bincode::{Decode, Encode};

use crate::ids::{AccountId, BootId};

/// An ingress's ask; it counts the grants from when it sent this.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantRequest {
    /// The ingress's boot.
    pub ingress: BootId,
    /// The home's boot that the reported uses belong to.
    pub home: BootId,
    /// What it asks, by client account.
    pub demands: Vec<GrantDemand>,
}

/// The ask for one client account.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantDemand {
    /// The client account.
    pub account: AccountId,
    /// Which half of the shares is asked.
    pub half: u8,
    /// Tokens for requests that wait now.
    pub waiting: u32,
    /// Tokens for requests that are expected.
    pub extra: u32,
    /// What became of earlier grants.
    pub uses: Vec<GrantUsage>,
}

/// What became of a grant so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct GrantUsage {
    /// The grant.
    pub grant: u64,
    /// Its tokens spent in total.
    pub spent: u32,
    /// Whether the ingress will spend no more of it.
    pub closed: bool,
}

/// A home's answer, one entry a want, in their order.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantReply {
    /// The home's boot.
    pub home: BootId,
    /// The entries.
    pub outcomes: Vec<GrantOutcome>,
}

/// The answer for one client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum GrantOutcome {
    /// Tokens.
    Tokens(TokenGrant),
    /// None now.
    Empty {
        /// When to ask again, in microseconds.
        retry_micros: u32,
    },
    /// Nothing was asked; what was reported is noted.
    Recorded,
    /// The daemon has no share of this half lent to it.
    NotHome,
}

/// Tokens for a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TokenGrant {
    /// Number of the grant within the home's boot.
    pub grant: u64,
    /// Tokens.
    pub tokens: u32,
    /// How long it lives, in microseconds.
    pub lifetime_micros: u32,
    /// Whether spent tokens should be reported at once, as the burst is short.
    pub report_at_once: bool,
}
