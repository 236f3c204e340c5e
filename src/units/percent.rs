//! A share of a hundred.

use std::fmt;
use std::str::FromStr;

use crate::text_serde;
use crate::units::UnitError;

/// A whole percentage from 0 to 100, written like `60%`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct Percent(u8);

impl Percent {
    const MOST: u8 = 100;

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

    /// The plain number, 0 to 100.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }

    /// The smallest whole number that is at least this share of `total`.
    #[must_use]
    pub const fn of_rounded_up(self, total: u64) -> u64 {
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
        let malformed = || UnitError::Form("percentage", text.to_owned(), "60%");
        let digits = text.strip_suffix('%').ok_or_else(malformed)?;
        Self::new(digits.parse().map_err(|_| malformed())?)
    }
}

text_serde!(Percent);
