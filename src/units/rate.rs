//! Event rates, such as requests per second.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::text_serde;
use crate::units::UnitError;

/// Thousandths in one event.
const MILLIS_PER_EVENT: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3_600;

/// A rate in thousandths of an event per second, written like `3 per second`, `90 per minute` or
/// `4 per hour`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct Rate {
    milli_per_second: u64,
}

impl Rate {
    const MAX_PER_SECOND: u64 = 10_000_000;

    /// Creates a rate of `events` per second.
    ///
    /// # Errors
    /// Returns `UnitError::Rate` when `events` is 0 or above 10,000,000.
    pub fn per_second(events: u64) -> Result<Self, UnitError> {
        Self::from_count(events, 1, &format!("{events} per second"))
    }

    /// Creates a rate of `milli` thousandths of an event per second.
    ///
    /// Returns `None` when the rate is 0 or above 10,000,000 events per second.
    #[must_use]
    pub const fn from_milli_per_second(milli: u64) -> Option<Self> {
        if milli == 0 || milli > Self::MAX_PER_SECOND * MILLIS_PER_EVENT {
            return None;
        }
        Some(Self {
            milli_per_second: milli,
        })
    }

    /// Creates a rate of `events` per second, rounded to thousandths.
    ///
    /// Returns `None` when the rate is not a number, rounds to 0 or is above 10,000,000 per second.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts saturate, and the result is checked"
    )]
    pub fn from_events_per_second(events: f64) -> Option<Self> {
        Self::from_milli_per_second((events * MILLIS_PER_EVENT as f64).round() as u64)
    }

    /// Returns the rate in thousandths of an event per second.
    #[must_use]
    pub const fn milli_per_second(self) -> u64 {
        self.milli_per_second
    }

    /// Returns the rate in events per second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "rates lie far below 2^52")]
    pub fn events_per_second(self) -> f64 {
        self.milli_per_second as f64 / MILLIS_PER_EVENT as f64
    }

    /// Returns the number of events expected within `span`.
    #[must_use]
    pub fn over_span(self, span: Duration) -> f64 {
        self.events_per_second() * span.as_secs_f64()
    }

    fn from_count(events: u64, seconds: u64, text: &str) -> Result<Self, UnitError> {
        let out_of_range = || UnitError::Rate(text.to_owned());
        let milli = events
            .checked_mul(MILLIS_PER_EVENT)
            .ok_or_else(out_of_range)?
            / seconds;
        if milli == 0 || milli > Self::MAX_PER_SECOND * MILLIS_PER_EVENT {
            return Err(out_of_range());
        }
        Ok(Self {
            milli_per_second: milli,
        })
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let milli = self.milli_per_second;
        if milli.is_multiple_of(MILLIS_PER_EVENT) {
            return write!(formatter, "{} per second", milli / MILLIS_PER_EVENT);
        }
        let per_hour = (milli * SECONDS_PER_HOUR).div_ceil(MILLIS_PER_EVENT);
        if per_hour.is_multiple_of(SECONDS_PER_MINUTE) {
            return write!(formatter, "{} per minute", per_hour / SECONDS_PER_MINUTE);
        }
        write!(formatter, "{per_hour} per hour")
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || UnitError::Syntax("rate", text.to_owned(), "3 per second");
        let (count, unit) = text.split_once(" per ").ok_or_else(malformed)?;
        let events = count.trim().parse().map_err(|_| malformed())?;
        match unit.trim() {
            "second" => Self::from_count(events, 1, text),
            "minute" => Self::from_count(events, SECONDS_PER_MINUTE, text),
            "hour" => Self::from_count(events, SECONDS_PER_HOUR, text),
            _ => Err(malformed()),
        }
    }
}

text_serde!(Rate);
