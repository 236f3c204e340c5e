//! Sizes in bytes, with binary unit suffixes in text.

use std::fmt;
use std::str::FromStr;

use crate::text_serde;
use crate::units::UnitError;

const BYTES_PER_KIB: u64 = 1024;
const BYTES_PER_MIB: u64 = 1024 * BYTES_PER_KIB;

/// A size in bytes, written like `512B`, `64KiB` or `8MiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size of `bytes` bytes.
    #[must_use]
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size of `kib` KiB.
    #[must_use]
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * BYTES_PER_KIB)
    }

    /// Returns the size in bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }

    /// Returns the size in bytes as `usize`, saturating at its maximum.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes > 0 && bytes % BYTES_PER_MIB == 0 => {
                write!(formatter, "{}MiB", bytes / BYTES_PER_MIB)
            }
            bytes if bytes > 0 && bytes % BYTES_PER_KIB == 0 => {
                write!(formatter, "{}KiB", bytes / BYTES_PER_KIB)
            }
            bytes => write!(formatter, "{bytes}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || UnitError::Syntax("size", text.to_owned(), "64KiB");
        let digits = text.trim_end_matches(|found: char| found.is_ascii_alphabetic());
        let count: u64 = digits.trim().parse().map_err(|_| malformed())?;
        let factor = match &text[digits.len()..] {
            "B" => 1,
            "KiB" => BYTES_PER_KIB,
            "MiB" => BYTES_PER_MIB,
            _ => return Err(malformed()),
        };
        count.checked_mul(factor).map(Self).ok_or_else(malformed)
    }
}

text_serde!(ByteSize);
