//! How long an offer may wait for a slot.

use std::time::Duration;

/// The wait for a slot that an offer permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OfferWait {
    /// None. A busy instance refuses with a fixed retry-after time.
    None,
    /// If the instance expects a wait of at most this. A busy instance names the expected wait; with
    /// zero, only a free slot is taken.
    AtMost(Duration),
    /// Until the deadline.
    Unbounded,
}

impl OfferWait {
    /// Whether the request may be queued.
    pub(crate) const fn may_wait(self) -> bool {
        match self {
            Self::None => false,
            Self::AtMost(bound) => !bound.is_zero(),
            Self::Unbounded => true,
        }
    }

    /// The longest expected wait in microseconds, as `RequestOffer::max_wait_micros` has it.
    pub(crate) fn max_micros(self) -> u64 {
        match self {
            Self::AtMost(bound) => u64::try_from(bound.as_micros()).unwrap_or(u64::MAX),
            Self::None | Self::Unbounded => u64::MAX,
        }
    }

    /// The wait by which an attempt is overdue later.
    pub(crate) const fn bound(self) -> Duration {
        match self {
            Self::AtMost(bound) => bound,
            Self::None | Self::Unbounded => Duration::ZERO,
        }
    }
}
