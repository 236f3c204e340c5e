//! Digests of names and numbers that are equal in every process.

use crate::wire::BucketDigest;

/// Hash of a name and a number, the first 64 bits of BLAKE3; daemons compare views with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NameDigest(u64);

impl NameDigest {
    /// Computes the digest of `name` and `number`.
    #[must_use]
    pub fn of(name: &str, number: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(name.as_bytes());
        hasher.update(&number.to_le_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }

    /// Returns all 64 bits.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the lower 32 bits.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
    pub const fn low(self) -> u32 {
        self.0 as u32
    }
}

/// Whether the leading bits of the owner hash select `bucket`.
#[must_use]
pub fn is_in_bucket(owner: u32, bucket: &BucketDigest) -> bool {
    bucket_bounds(bucket).is_some_and(|(first, last)| (first..=last).contains(&owner))
}

/// The lowest and the highest owner hash in `bucket`; `None` if the bucket is invalid.
#[must_use]
pub fn bucket_bounds(bucket: &BucketDigest) -> Option<(u32, u32)> {
    match u32::from(bucket.bits) {
        0 => Some((0, u32::MAX)),
        bits @ 1..=32 => {
            let shift = 32 - bits;
            let first = bucket.bucket.checked_shl(shift)?;
            let is_valid = first >> shift == bucket.bucket;
            is_valid.then(|| (first, first | u32::MAX.checked_shr(bits).unwrap_or(0)))
        }
        _ => None,
    }
}
