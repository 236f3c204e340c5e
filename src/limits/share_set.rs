//! A set of shares, which are numbered equal parts of every rate limit, as a 64-bit mask.

use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Largest number of shares that a rate limit can be divided into: one bit of a `u64` each.
pub const MAX_SHARES: u32 = 64;

/// A set of share numbers from 0 to 63.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShareSet(u64);

impl ShareSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// The shares with even numbers.
    const EVEN: u64 = 0x5555_5555_5555_5555;

    /// The shares with numbers below `count`.
    #[must_use]
    pub const fn first(count: u32) -> Self {
        if count >= MAX_SHARES {
            return Self(u64::MAX);
        }
        Self((1 << count) - 1)
    }

    /// A set of one share.
    #[must_use]
    pub const fn single(share: u8) -> Self {
        Self(1 << (share as u32 % MAX_SHARES))
    }

    /// The shares of one half: those with even numbers for 0, odd ones for 1.
    #[must_use]
    pub const fn half(half: u8) -> Self {
        Self(Self::EVEN << (half & 1))
    }

    /// Adds `share`.
    pub const fn insert(&mut self, share: u8) {
        self.0 |= Self::single(share).0;
    }

    /// Removes `share`.
    pub const fn remove(&mut self, share: u8) {
        self.0 &= !Self::single(share).0;
    }

    /// Whether `share` is in the set.
    #[must_use]
    pub const fn contains(self, share: u8) -> bool {
        self.0 & Self::single(share).0 != 0
    }

    /// The shares in both sets.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// The shares in at least one of the sets.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The shares that are not in `other`.
    #[must_use]
    pub const fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Number of shares.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether the set is empty.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the shares in ascending order.
    pub fn iter(self) -> impl Iterator<Item = u8> {
        (0..MAX_SHARES as u8).filter(move |share| self.contains(*share))
    }
}

impl FromIterator<u8> for ShareSet {
    fn from_iter<I: IntoIterator<Item = u8>>(shares: I) -> Self {
        let mut set = Self::EMPTY;
        shares.into_iter().for_each(|share| set.insert(share));
        set
    }
}

impl fmt::Display for ShareSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:#x}", self.0)
    }
}
