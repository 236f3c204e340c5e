//! A share of a hundred.

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
    const MOST: u8 = 100;

    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// The whole.
    pub const FULL: Self = Self(Self::MOST);

    /// The percentage `value`.
    ///
    /// # Errors
    /// `UnitError::Range` above 100.
    pub fn new(value: u8) -> Result<Self, UnitError> {
        if value > Self::MOST {
            return Err(UnitError::Range(
                "percentage",
                value.to_string(),
                0,
                u64::from(Self::MOST),
            ));
        }
        Ok(Self(value))
    }

    /// The percentage nearest to `share` of one, if that lies between 0 and 1.
    #[must_use]
    pub fn from_fraction(share: f64) -> Option<Self> {
        if !(0.0..=1.0).contains(&share) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "lies between 0 and 100"
        )]
        let value = (share * f64::from(Self::MOST)).round() as u8;
        Some(Self(value))
    }

    /// The plain number, 0 to 100.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }

    /// The smallest whole number that is at least this share of `total`.
    #[must_use]
    pub const fn ceil_of(self, total: u64) -> u64 {
        (total * self.0 as u64).div_ceil(Self::MOST as u64)
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
