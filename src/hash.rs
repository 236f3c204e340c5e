//! Aliases for hash maps and hash sets with the `foldhash` hasher.

use foldhash::fast::RandomState;

/// A hash map with the fast, randomly seeded `foldhash` hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with the fast, randomly seeded `foldhash` hasher.
pub type FastSet<T> = std::collections::HashSet<T, RandomState>;
