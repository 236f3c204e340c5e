//! Compact hash table of client keys.

use hashbrown::HashTable;

use crate::ids::AccountId;
use crate::resource::KeyHash;

/// Bit of `KeyEntry::account` that marks a withdrawn key.
const WITHDRAWN_BIT: u32 = 1 << 31;

/// Result of looking up a key by the hash of its secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// A valid key of this client account.
    Known(AccountId),
    /// A key that an operator has withdrawn.
    Withdrawn,
    /// No key has this hash.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct KeyEntry {
    hash: KeyHash,
    /// Slot index of the account, and the withdrawn bit.
    account: u32,
}

/// Maps the hashes of keys' secrets to slot indexes of accounts, in 20 bytes a key.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashTable<KeyEntry>,
}

impl KeyTable {
    /// Inserts or replaces the key with `hash`; `account` is the slot index of its account.
    pub fn insert(&mut self, hash: KeyHash, account: u32, withdrawn: bool) {
        let account = if withdrawn {
            account | WITHDRAWN_BIT
        } else {
            account
        };
        self.remove(&hash);
        self.entries
            .insert_unique(table_hash(&hash), KeyEntry { hash, account }, |entry| {
                table_hash(&entry.hash)
            });
    }

    /// Removes the key with `hash`, if present.
    pub fn remove(&mut self, hash: &KeyHash) {
        let found = self
            .entries
            .find_entry(table_hash(hash), |entry| entry.hash == *hash);
        if let Ok(entry) = found {
            entry.remove();
        }
    }

    /// Slot index of the account that owns the key with `hash`, and whether the key is withdrawn.
    #[must_use]
    pub fn find(&self, hash: &KeyHash) -> Option<(u32, bool)> {
        let entry = self
            .entries
            .find(table_hash(hash), |entry| entry.hash == *hash)?;
        Some((
            entry.account & !WITHDRAWN_BIT,
            entry.account & WITHDRAWN_BIT != 0,
        ))
    }

    /// Number of keys, including withdrawn ones, of the account with this slot index.
    #[must_use]
    pub fn count_of(&self, account: u32) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.account & !WITHDRAWN_BIT == account)
            .count()
    }

    /// The keys in partition `index` of `partitions`, by their hash: hash, slot index of the
    /// account, and whether the key is withdrawn.
    pub fn in_partition(
        &self,
        index: u32,
        partitions: u32,
    ) -> impl Iterator<Item = (KeyHash, u32, bool)> + '_ {
        self.entries
            .iter()
            .filter(move |entry| partition_of(&entry.hash, partitions) == index)
            .map(|entry| {
                let is_withdrawn = entry.account & WITHDRAWN_BIT != 0;
                (entry.hash, entry.account & !WITHDRAWN_BIT, is_withdrawn)
            })
    }

    /// Number of keys, including withdrawn ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The first bytes of the hash. They need no further hashing, because the key hash is uniform.
fn table_hash(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn partition_of(hash: &KeyHash, partitions: u32) -> u32 {
    let bytes = hash.as_bytes();
    let first = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    first % partitions.max(1)
}
