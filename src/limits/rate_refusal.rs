//! Why a request was refused by the rate limit.

use std::fmt;
use std::time::Duration;

use crate::resource::RateLimit;

/// Last known status of the home of one half of a client account's shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeStatus {
    /// The account has no shares in this half.
    Unused,
    /// The home has no token for this long.
    Empty(Duration),
    /// A request to the home failed recently.
    Silent,
    /// The home was not called or has not answered yet.
    Unknown,
}

impl fmt::Display for HomeStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unused => formatter.write_str("unused"),
            Self::Empty(span) => write!(formatter, "empty for {} ms", span.as_millis()),
            Self::Silent => formatter.write_str("silent"),
            Self::Unknown => formatter.write_str("unheard"),
        }
    }
}

/// A refusal and the facts that decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateRefusal {
    /// The limit that was applied.
    pub limit: RateLimit,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
    /// Status of both homes, by half.
    pub homes: [HomeStatus; 2],
}

impl RateRefusal {
    /// Creates a refusal that was decided without an answer of a home.
    #[must_use]
    pub const fn without_answers(limit: RateLimit, retry_after: Duration) -> Self {
        Self {
            limit,
            retry_after,
            homes: [HomeStatus::Unknown; 2],
        }
    }
}

impl fmt::Display for RateRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rate, burst) = (&self.limit.rate, &self.limit.burst);
        let [first, second] = self.homes;
        write!(
            formatter,
            "rate {rate}, burst {burst}; homes {first}, {second}"
        )
    }
}
