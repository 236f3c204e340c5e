//! Messages by which an ingress gets rate limit tokens from a home, the daemon that serves the
//! token buckets of a shard of the client accounts.

use bincode::{Decode, Encode};

use crate::ids::{AccountId, BootId};

/// An ingress's request for tokens. The ingress counts the lifetime of the grants from when it sent
/// the request, so that they expire at the ingress before they do at the home.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantRequest {
    /// Boot id of the ingress.
    pub ingress: BootId,
    /// Boot id of the home that issued the grants whose usage is reported.
    pub home: BootId,
    /// The requested tokens, one entry for each client account and half.
    pub demands: Vec<GrantDemand>,
}

/// Tokens that an ingress requests for one client account, and the usage of earlier grants.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantDemand {
    /// The client account.
    pub account: AccountId,
    /// The half of the shares, 0 or 1, that the tokens come from.
    pub half: u8,
    /// Number of tokens for requests that are waiting now.
    pub waiting: u32,
    /// Number of tokens to prefetch for expected requests.
    pub prefetch: u32,
    /// Usage of earlier grants.
    pub uses: Vec<GrantUsage>,
}

/// Usage of one grant so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct GrantUsage {
    /// Id of the grant; see [`TokenGrant::grant`].
    pub grant: u64,
    /// Total number of tokens spent of the grant.
    pub spent: u32,
    /// Whether the report is final: the ingress will spend no further token of the grant.
    pub closed: bool,
}

/// A home's reply to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GrantReply {
    /// Boot id of the home.
    pub home: BootId,
    /// One outcome for each demand, in the order of the request.
    pub outcomes: Vec<GrantOutcome>,
}

/// Result for one client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum GrantOutcome {
    /// Tokens are granted.
    Tokens(TokenGrant),
    /// No token is available now.
    NoTokens {
        /// Time after which to request again, in microseconds.
        retry_micros: u32,
    },
    /// No token was requested; the reported usage is recorded.
    Recorded,
    /// The daemon has no usable loan of shares of this half, so it cannot act as the home.
    NotHome,
}

/// Rate limit tokens that an ingress may spend for a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TokenGrant {
    /// Id of the grant, unique within the boot of the home.
    pub grant: u64,
    /// Number of tokens.
    pub tokens: u32,
    /// Time until the grant expires, in microseconds.
    pub lifetime_micros: u32,
    /// Whether the ingress should report spent tokens at once, because the bucket refills quickly
    /// compared with the lifetime of grants.
    pub report_at_once: bool,
}
