//! Aliases for hash maps and hash sets with the `foldhash` hasher, and scores for rendezvous hashing.

/// The fast `foldhash` hasher with a fixed seed, so that the same events give the same order in each
/// run. The keys are names and numbers of the fleet; callers choose none of them.
pub use foldhash::fast::FixedState;

/// A hash map with the fast hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A hash set with the fast hasher.
pub type FastSet<T> = std::collections::HashSet<T, FixedState>;

/// Score of `name` in the ranking that `salt` selects, the same in every process.
#[must_use]
pub fn rendezvous_score(name: &str, salt: u64) -> u64 {
    mixed_score(name_hash(name), salt)
}

/// Hash of `name`, the same in every process.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Score of the name with `hash` in the ranking that `salt` selects.
#[must_use]
pub const fn mixed_score(hash: u64, salt: u64) -> u64 {
    split_mix(hash ^ split_mix(salt))
}

/// The output function of the SplitMix64 generator.
const fn split_mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
