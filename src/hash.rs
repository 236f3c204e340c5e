//! Hash collections with a fast hasher, behind aliases.

use foldhash::fast::RandomState;

/// A hash map with a fast, seeded hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with a fast, seeded hasher.
pub type FastSet<T> = std::collections::HashSet<T, RandomState>;
