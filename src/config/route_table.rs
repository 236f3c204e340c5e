//! Index of routes by id, and by host and path prefix.

use std::hash::BuildHasher;

use hashbrown::HashTable;

use crate::config::path_segments;
use crate::hash::FixedState;
use crate::ids::{AccountId, HostName, RouteId, ServiceId};
use crate::resource::{RouteAccess, ServiceRoute};

/// Slab of routes with two hash indexes.
///
/// Finding the longest prefix of a path takes at most two hash lookups per segment and host.
#[derive(Debug, Default)]
pub struct RouteTable {
    slots: Vec<Option<ServiceRoute>>,
    free_slots: Vec<u32>,
    by_prefix: HashTable<u32>,
    by_id: HashTable<u32>,
    hasher: FixedState,
    /// Length of the longest prefix inserted so far, in bytes.
    max_prefix_bytes: usize,
}

impl RouteTable {
    /// Inserts `route` or replaces the one with its id.
    pub fn insert(&mut self, route: ServiceRoute) {
        self.remove(&route.id);
        self.max_prefix_bytes = self.max_prefix_bytes.max(route.prefix.len());
        let by_prefix = self.prefix_hash(route.rules.host.as_ref(), &route.prefix);
        let by_id = self.id_hash(&route.id);
        let slot = self.allocate_slot(route);
        let (slots, hasher) = (&self.slots, &self.hasher);
        self.by_prefix.insert_unique(by_prefix, slot, |other| {
            hash_at(slots, *other, |route| prefix_key_hash(hasher, route))
        });
        self.by_id.insert_unique(by_id, slot, |other| {
            hash_at(slots, *other, |route| hasher.hash_one(route.id.as_str()))
        });
    }

    /// Removes the route with this id, if present.
    pub fn remove(&mut self, id: &RouteId) {
        let Some(slot) = self.slot_of(id) else {
            return;
        };
        let Some(route) = self.slots[slot as usize].take() else {
            return;
        };
        let hashes = [
            (self.id_hash(id), &mut self.by_id),
            (prefix_key_hash(&self.hasher, &route), &mut self.by_prefix),
        ];
        for (hash, index) in hashes {
            if let Ok(entry) = index.find_entry(hash, |other| *other == slot) {
                entry.remove();
            }
        }
        self.free_slots.push(slot);
    }

    /// The route with the longest prefix of `path`; a query string is ignored.
    ///
    /// Routes of `host` take precedence over routes without a host, and match paths literally. A
    /// path that a backend server could normalize to a different one matches no route without a
    /// host.
    #[must_use]
    pub fn find(&self, host: Option<&HostName>, path: &str) -> Option<&ServiceRoute> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') {
            return None;
        }
        let longest_match = |host: Option<&HostName>| {
            path_segments::prefixes(path, self.max_prefix_bytes)
                .find_map(|prefix| self.with_prefix(host, prefix))
        };
        if let Some(route) = host.and_then(|host| longest_match(Some(host))) {
            return Some(route);
        }
        if path_segments::is_ambiguous(path) {
            return None;
        }
        longest_match(None)
    }

    /// The route with exactly this host and prefix.
    #[must_use]
    pub fn with_prefix(&self, host: Option<&HostName>, prefix: &str) -> Option<&ServiceRoute> {
        let slot = self
            .by_prefix
            .find(self.prefix_hash(host, prefix), |slot| {
                self.route(*slot).is_some_and(|route| {
                    route.prefix == prefix && route.rules.host.as_ref() == host
                })
            })?;
        self.route(*slot)
    }

    /// All routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.slots.iter().flatten()
    }

    /// Up to `limit` slots from `start` on; empty past the end.
    #[must_use]
    pub fn slots(&self, start: u32, limit: usize) -> &[Option<ServiceRoute>] {
        let start = (start as usize).min(self.slots.len());
        let end = start.saturating_add(limit).min(self.slots.len());
        &self.slots[start..end]
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Ids of the routes that lead to `service`, sorted.
    #[must_use]
    pub fn ids_by_service(&self, service: &ServiceId) -> Vec<RouteId> {
        self.matching_ids(|route| route.service == *service)
    }

    /// Ids of the routes whose access list names `account`, sorted.
    #[must_use]
    pub fn ids_by_account(&self, account: &AccountId) -> Vec<RouteId> {
        self.matching_ids(|route| match &route.access {
            RouteAccess::All | RouteAccess::Public => false,
            RouteAccess::Accounts(named) => named.contains(account),
        })
    }

    fn matching_ids(&self, is_match: impl Fn(&ServiceRoute) -> bool) -> Vec<RouteId> {
        let mut ids: Vec<_> = self
            .iter()
            .filter(|route| is_match(route))
            .map(|route| route.id.clone())
            .collect();
        ids.sort();
        ids
    }

    fn allocate_slot(&mut self, route: ServiceRoute) -> u32 {
        if let Some(slot) = self.free_slots.pop() {
            self.slots[slot as usize] = Some(route);
            return slot;
        }
        self.slots.push(Some(route));
        u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
    }

    fn slot_of(&self, id: &RouteId) -> Option<u32> {
        let is_same = |slot: &u32| self.route(*slot).is_some_and(|route| route.id == *id);
        self.by_id.find(self.id_hash(id), is_same).copied()
    }

    fn route(&self, slot: u32) -> Option<&ServiceRoute> {
        self.slots.get(slot as usize)?.as_ref()
    }

    fn prefix_hash(&self, host: Option<&HostName>, prefix: &str) -> u64 {
        self.hasher.hash_one((host.map(HostName::as_str), prefix))
    }

    fn id_hash(&self, id: &RouteId) -> u64 {
        self.hasher.hash_one(id.as_str())
    }
}

fn prefix_key_hash(hasher: &FixedState, route: &ServiceRoute) -> u64 {
    let host = route.rules.host.as_ref().map(HostName::as_str);
    hasher.hash_one((host, route.prefix.as_str()))
}

fn hash_at(
    slots: &[Option<ServiceRoute>],
    slot: u32,
    hash: impl FnOnce(&ServiceRoute) -> u64,
) -> u64 {
    slots
        .get(slot as usize)
        .and_then(Option::as_ref)
        .map_or(0, hash)
}
