//! Whole percentages from 0 to 100.

use std::fmt;
use std::str::FromStr;

use crate::text_serde;
use crate::units::UnitError;

/// A whole percentage from 0 to 100, written like `60%` or `0.6`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct Percent(u8);

impl Percent {
    const MAX: u8 = 100;

    /// 0%.
    pub const ZERO: Self = Self(0);

    /// 100%.
    pub const FULL: Self = Self(Self::MAX);

    /// Creates a percentage of `value` percent.
    ///
    /// # Errors
    /// Returns `UnitError::Range` when `value` is above 100.
    pub fn new(value: u8) -> Result<Self, UnitError> {
        if value > Self::MAX {
            return Err(UnitError::Range(
                "percentage",
                value.to_string(),
                0,
                u64::from(Self::MAX),
            ));
        }
        Ok(Self(value))
    }

    /// Rounds a fraction from 0 to 1 to the nearest percentage; `None` outside of that range.
    #[must_use]
    pub fn from_fraction(fraction: f64) -> Option<Self> {
        if !(0.0..=1.0).contains(&fraction) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 0 and 100"
        )]
        let value = (fraction * f64::from(Self::MAX)).round() as u8;
        Some(Self(value))
    }

    /// Returns the percentage as a number from 0 to 100.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns this percentage of `total`, rounded up to a whole number.
    #[must_use]
    pub const fn ceil_of(self, total: u64) -> u64 {
        (total * self.0 as u64).div_ceil(Self::MAX as u64)
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || UnitError::Syntax("percentage", text.to_owned(), "60%");
        let Some(digits) = text.strip_suffix('%') else {
            return Self::from_fraction(text.parse().map_err(|_| malformed())?)
                .ok_or_else(malformed);
        };
        Self::new(digits.parse().map_err(|_| malformed())?)
    }
}

text_serde!(Percent);
