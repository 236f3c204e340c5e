//! Client accounts and their rates, packed.

use std::hash::{BuildHasher, Hash};

use foldhash::fast::RandomState;
use hashbrown::HashTable;

use crate::ids::AccountId;
use crate::resource::RateLimit;
use crate::units::{Burst, Rate};

const FREE: u32 = u32::MAX;
const LEAST_GARBAGE_BYTES: usize = 64 * 1024;

/// Where an account's name begins, and its rate; a rate of zero stands for none.
#[derive(Debug, Clone, Copy)]
struct AccountSlot {
    start: u32,
    burst: u32,
    milli_per_second: u64,
}

/// Numbers the client accounts and keeps their rates in 16 bytes each, next to their names.
#[derive(Debug, Default)]
pub struct AccountTable {
    names: Vec<u8>,
    garbage_bytes: usize,
    slots: Vec<AccountSlot>,
    free: Vec<u32>,
    index: HashTable<u32>,
    hasher: RandomState,
}

impl AccountTable {
    /// The number of `account`, given one if it has none.
    pub fn intern(&mut self, account: &AccountId) -> u32 {
        if let Some(number) = self.find(account) {
            return number;
        }
        let slot = AccountSlot {
            start: self.push_name(account.as_str()),
            burst: 0,
            milli_per_second: 0,
        };
        let number = self.place(slot);
        let (names, slots, hasher) = (&self.names, &self.slots, &self.hasher);
        self.index.insert_unique(
            hash_of(hasher, account.as_str().as_bytes()),
            number,
            |other| hash_of(hasher, name_at(names, slots[*other as usize].start)),
        );
        number
    }

    /// The number of `account`.
    #[must_use]
    pub fn find(&self, account: &AccountId) -> Option<u32> {
        let name = account.as_str().as_bytes();
        self.index
            .find(hash_of(&self.hasher, name), |number| {
                self.name(*number) == name
            })
            .copied()
    }

    /// The account with `number`.
    #[must_use]
    pub fn account(&self, number: u32) -> Option<AccountId> {
        std::str::from_utf8(self.name(number)).ok()?.parse().ok()
    }

    /// Forgets `account` and its rate.
    pub fn remove(&mut self, account: &AccountId) {
        let name = account.as_str().as_bytes();
        let (names, slots) = (&self.names, &self.slots);
        let found = self
            .index
            .find_entry(hash_of(&self.hasher, name), |number| {
                name_at(names, slots[*number as usize].start) == name
            });
        let Ok(entry) = found else { return };
        let (number, _) = entry.remove();
        self.slots[number as usize].start = FREE;
        self.slots[number as usize].milli_per_second = 0;
        self.free.push(number);
        self.garbage_bytes += name.len() + 1;
        self.collect_garbage();
    }

    /// Sets the rate of an account.
    pub fn set_rate(&mut self, limit: &RateLimit) {
        let number = self.intern(&limit.account);
        let slot = &mut self.slots[number as usize];
        slot.milli_per_second = limit.rate.milli_per_second();
        slot.burst = limit.burst.get();
    }

    /// Takes the rate of `account` away.
    pub fn clear_rate(&mut self, account: &AccountId) {
        if let Some(number) = self.find(account) {
            self.slots[number as usize].milli_per_second = 0;
        }
    }

    /// The rate of `account`.
    #[must_use]
    pub fn rate(&self, account: &AccountId) -> Option<RateLimit> {
        let slot = self.slots[self.find(account)? as usize];
        Some(RateLimit {
            account: account.clone(),
            rate: Rate::from_milli_per_second(slot.milli_per_second)?,
            burst: Burst::new(slot.burst).ok()?,
        })
    }

    /// The accounts whose numbers begin at `start`, `most` numbers at most; none past the end.
    #[must_use]
    pub fn page(&self, start: u32, most: u32) -> Option<Vec<(AccountId, Option<RateLimit>)>> {
        let numbers = position(self.slots.len());
        if start >= numbers {
            return None;
        }
        let accounts = start..numbers.min(start.saturating_add(most));
        let found = accounts.filter_map(|number| self.account(number));
        Some(
            found
                .map(|account| (account.clone(), self.rate(&account)))
                .collect(),
        )
    }

    /// How many accounts have a number.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    fn place(&mut self, slot: AccountSlot) -> u32 {
        if let Some(number) = self.free.pop() {
            self.slots[number as usize] = slot;
            return number;
        }
        self.slots.push(slot);
        position(self.slots.len() - 1)
    }

    /// A name stands behind its length, which fits a byte.
    fn push_name(&mut self, name: &str) -> u32 {
        let start = position(self.names.len());
        self.names.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
        self.names.extend_from_slice(name.as_bytes());
        start
    }

    fn name(&self, number: u32) -> &[u8] {
        self.slots
            .get(number as usize)
            .map_or(&[], |slot| name_at(&self.names, slot.start))
    }

    fn collect_garbage(&mut self) {
        if self.garbage_bytes < LEAST_GARBAGE_BYTES || self.garbage_bytes * 2 < self.names.len() {
            return;
        }
        let mut packed = Vec::with_capacity(self.names.len() - self.garbage_bytes);
        for slot in self.slots.iter_mut().filter(|slot| slot.start != FREE) {
            let name = name_at(&self.names, slot.start);
            slot.start = position(packed.len());
            packed.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            packed.extend_from_slice(name);
        }
        self.names = packed;
        self.garbage_bytes = 0;
    }
}

fn name_at(names: &[u8], start: u32) -> &[u8] {
    let start = start as usize;
    match names.get(start) {
        Some(length) => &names[start + 1..start + 1 + usize::from(*length)],
        None => &[],
    }
}

fn hash_of(hasher: &RandomState, name: &[u8]) -> u64 {
    let mut state = hasher.build_hasher();
    name.hash(&mut state);
    std::hash::Hasher::finish(&state)
}

fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(FREE)
}
