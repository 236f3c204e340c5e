//! Keys by the hash of their secret, packed.

use hashbrown::HashTable;

use crate::ids::AccountId;
use crate::resource::KeyHash;

const WITHDRAWN: u32 = 1 << 31;

/// What a secret's hash stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// A key of this client account.
    Known(AccountId),
    /// A key that an operator withdrew.
    Withdrawn,
    /// No key.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct KeyEntry {
    hash: KeyHash,
    account: u32,
}

/// Maps hashes to account numbers in 20 bytes a key.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashTable<KeyEntry>,
}

impl KeyTable {
    /// Sets what `hash` stands for.
    pub fn insert(&mut self, hash: KeyHash, account: u32, withdrawn: bool) {
        let account = if withdrawn {
            account | WITHDRAWN
        } else {
            account
        };
        self.remove(&hash);
        self.entries
            .insert_unique(bucket(&hash), KeyEntry { hash, account }, |entry| {
                bucket(&entry.hash)
            });
    }

    /// Forgets `hash`.
    pub fn remove(&mut self, hash: &KeyHash) {
        let found = self
            .entries
            .find_entry(bucket(hash), |entry| entry.hash == *hash);
        if let Ok(entry) = found {
            entry.remove();
        }
    }

    /// The account number of `hash` and whether the key is withdrawn.
    #[must_use]
    pub fn find(&self, hash: &KeyHash) -> Option<(u32, bool)> {
        let entry = self
            .entries
            .find(bucket(hash), |entry| entry.hash == *hash)?;
        Some((entry.account & !WITHDRAWN, entry.account & WITHDRAWN != 0))
    }

    /// How many keys, withdrawn ones included, belong to the account with `number`.
    #[must_use]
    pub fn count_of(&self, number: u32) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.account & !WITHDRAWN == number)
            .count()
    }

    /// The keys in the range `index` of `ranges` equal ones: hash, account number, whether withdrawn.
    pub fn in_partition(
        &self,
        index: u32,
        ranges: u32,
    ) -> impl Iterator<Item = (KeyHash, u32, bool)> + '_ {
        self.entries
            .iter()
            .filter(move |entry| range_of(&entry.hash, ranges) == index)
            .map(|entry| {
                let is_withdrawn = entry.account & WITHDRAWN != 0;
                (entry.hash, entry.account & !WITHDRAWN, is_withdrawn)
            })
    }

    /// The number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The hash is uniform already, so its first bytes choose the bucket.
fn bucket(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn range_of(hash: &KeyHash, ranges: u32) -> u32 {
    let bytes = hash.as_bytes();
    let first = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    first % ranges.max(1)
}
