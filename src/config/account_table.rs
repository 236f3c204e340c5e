//! Compact table of client accounts and their rate limits.

use std::hash::{BuildHasher, Hash};

use hashbrown::HashTable;

use crate::hash::FixedState;
use crate::ids::AccountId;
use crate::resource::RateLimit;
use crate::units::{Burst, Rate};

/// Marks a free slot, in place of its name's offset.
const FREE: u32 = u32::MAX;
/// Bytes of deleted names below which names are not compacted.
const MIN_GARBAGE_BYTES: usize = 64 * 1024;

/// Offset of an account's name, and its rate limit; a rate of 0 means no rate limit.
#[derive(Debug, Clone, Copy)]
struct AccountSlot {
    name_offset: u32,
    /// In requests.
    burst: u32,
    /// In thousandths of a request per second.
    milli_per_second: u64,
}

/// Interns client accounts as slot indexes, with 16 bytes a slot besides the name.
///
/// A name is stored behind one byte of length in a shared buffer, which is compacted when at least
/// half of it belongs to deleted accounts.
#[derive(Debug, Default)]
pub struct AccountTable {
    names: Vec<u8>,
    garbage_bytes: usize,
    slots: Vec<AccountSlot>,
    free_slots: Vec<u32>,
    by_name: HashTable<u32>,
    hasher: FixedState,
}

impl AccountTable {
    /// The slot index of `account`, which is inserted if absent.
    pub fn intern(&mut self, account: &AccountId) -> u32 {
        if let Some(index) = self.find(account) {
            return index;
        }
        let slot = AccountSlot {
            name_offset: self.push_name(account.as_str()),
            burst: 0,
            milli_per_second: 0,
        };
        let index = self.allocate_slot(slot);
        let (names, slots, hasher) = (&self.names, &self.slots, &self.hasher);
        self.by_name.insert_unique(
            hash_of(hasher, account.as_str().as_bytes()),
            index,
            |other| hash_of(hasher, name_at(names, slots[*other as usize].name_offset)),
        );
        index
    }

    /// The slot index of `account`, if present.
    #[must_use]
    pub fn find(&self, account: &AccountId) -> Option<u32> {
        let name = account.as_str().as_bytes();
        self.by_name
            .find(hash_of(&self.hasher, name), |index| {
                self.name(*index) == name
            })
            .copied()
    }

    /// The account in the slot `index`; none when the slot is free.
    #[must_use]
    pub fn account(&self, index: u32) -> Option<AccountId> {
        std::str::from_utf8(self.name(index)).ok()?.parse().ok()
    }

    /// Removes `account` and its rate limit; its slot is reused.
    pub fn remove(&mut self, account: &AccountId) {
        let name = account.as_str().as_bytes();
        let (names, slots) = (&self.names, &self.slots);
        let found = self
            .by_name
            .find_entry(hash_of(&self.hasher, name), |index| {
                name_at(names, slots[*index as usize].name_offset) == name
            });
        let Ok(entry) = found else { return };
        let (index, _) = entry.remove();
        self.slots[index as usize].name_offset = FREE;
        self.slots[index as usize].milli_per_second = 0;
        self.free_slots.push(index);
        self.garbage_bytes += name.len() + 1;
        self.compact_names();
    }

    /// Sets the rate limit of an account, which is inserted if absent.
    pub fn set_rate_limit(&mut self, limit: &RateLimit) {
        let index = self.intern(&limit.account);
        let slot = &mut self.slots[index as usize];
        slot.milli_per_second = limit.rate.milli_per_second();
        slot.burst = limit.burst.get();
    }

    /// Removes the rate limit of `account`.
    pub fn clear_rate_limit(&mut self, account: &AccountId) {
        if let Some(index) = self.find(account) {
            self.slots[index as usize].milli_per_second = 0;
        }
    }

    /// The rate limit of `account`, if it has one.
    #[must_use]
    pub fn rate_limit(&self, account: &AccountId) -> Option<RateLimit> {
        let slot = self.slots[self.find(account)? as usize];
        Some(RateLimit {
            account: account.clone(),
            rate: Rate::from_milli_per_second(slot.milli_per_second)?,
            burst: Burst::new(slot.burst).ok()?,
        })
    }

    /// The accounts in up to `limit` slots from `start` on, with their rate limits; none when
    /// `start` is past the last slot.
    #[must_use]
    pub fn page(&self, start: u32, limit: u32) -> Option<Vec<(AccountId, Option<RateLimit>)>> {
        let slot_count = to_index(self.slots.len());
        if start >= slot_count {
            return None;
        }
        let slots = start..slot_count.min(start.saturating_add(limit));
        let found = slots.filter_map(|index| self.account(index));
        Some(
            found
                .map(|account| (account.clone(), self.rate_limit(&account)))
                .collect(),
        )
    }

    /// Number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether the table has no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn allocate_slot(&mut self, slot: AccountSlot) -> u32 {
        if let Some(index) = self.free_slots.pop() {
            self.slots[index as usize] = slot;
            return index;
        }
        self.slots.push(slot);
        to_index(self.slots.len() - 1)
    }

    /// Appends a name behind its length in one byte, and returns the offset. Account names are
    /// shorter than 256 bytes.
    fn push_name(&mut self, name: &str) -> u32 {
        let offset = to_index(self.names.len());
        self.names.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
        self.names.extend_from_slice(name.as_bytes());
        offset
    }

    fn name(&self, index: u32) -> &[u8] {
        self.slots
            .get(index as usize)
            .map_or(&[], |slot| name_at(&self.names, slot.name_offset))
    }

    fn compact_names(&mut self) {
        if self.garbage_bytes < MIN_GARBAGE_BYTES || self.garbage_bytes * 2 < self.names.len() {
            return;
        }
        let mut packed = Vec::with_capacity(self.names.len() - self.garbage_bytes);
        for slot in self
            .slots
            .iter_mut()
            .filter(|slot| slot.name_offset != FREE)
        {
            let name = name_at(&self.names, slot.name_offset);
            slot.name_offset = to_index(packed.len());
            packed.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            packed.extend_from_slice(name);
        }
        self.names = packed;
        self.garbage_bytes = 0;
    }
}

fn name_at(names: &[u8], offset: u32) -> &[u8] {
    let offset = offset as usize;
    match names.get(offset) {
        Some(length) => &names[offset + 1..offset + 1 + usize::from(*length)],
        None => &[],
    }
}

fn hash_of(hasher: &FixedState, name: &[u8]) -> u64 {
    let mut state = hasher.build_hasher();
    name.hash(&mut state);
    std::hash::Hasher::finish(&state)
}

fn to_index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(FREE)
}
