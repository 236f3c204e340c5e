//! Why a request gets no token.

use std::fmt;
use std::time::Duration;

use crate::resource::RateLimit;

/// What the home of one half of an account's shares is known to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeStatus {
    /// The account has no share in this half.
    Unused,
    /// There is no token for this long.
    Empty(Duration),
    /// It did not answer.
    Silent,
    /// Neither: it was not asked, or has not answered yet.
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

/// A refusal with what decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateRefusal {
    /// The limit that was applied.
    pub limit: RateLimit,
    /// When the caller may come back.
    pub retry_after: Duration,
    /// What both homes say.
    pub homes: [HomeStatus; 2],
}

impl RateRefusal {
    /// A refusal of which no home was asked.
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
