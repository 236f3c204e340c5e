//! Purposes by which the bytes between zones are counted.

use crate::wire::{PeerCall, PeerOpening};

/// What a message between daemons is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficPurpose {
    /// Requests of callers and their answers.
    Requests,
    /// Grants and loans of rates.
    Limits,
    /// The configuration.
    Configuration,
    /// Datagrams of the membership.
    MembershipGossip,
    /// Calls that pull members and instance records.
    MembershipPulls,
    /// Set-up, upkeep and framing of the connections.
    Other,
}

impl TrafficPurpose {
    /// All purposes, in the order of their counters.
    pub const ALL: [Self; 6] = [
        Self::Requests,
        Self::Limits,
        Self::Configuration,
        Self::MembershipGossip,
        Self::MembershipPulls,
        Self::Other,
    ];

    /// The purpose of the stream that `opening` begins.
    #[must_use]
    pub const fn of(opening: &PeerOpening) -> Self {
        match opening {
            PeerOpening::Call(PeerCall::Config(_)) => Self::Configuration,
            PeerOpening::Call(PeerCall::Instances(_)) => Self::MembershipPulls,
            PeerOpening::Call(PeerCall::Limits(_)) => Self::Limits,
            PeerOpening::Request(_) | PeerOpening::LongRequest(..) => Self::Requests,
        }
    }

    /// Name of the purpose in metrics and the dump.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Limits => "limits",
            Self::Configuration => "configuration",
            Self::MembershipGossip => "membership-gossip",
            Self::MembershipPulls => "membership-pulls",
            Self::Other => "other",
        }
    }

    /// Position of the purpose in `ALL`.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}
