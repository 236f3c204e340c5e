//! Routes by name, and by host and prefix.

use std::hash::BuildHasher;

use foldhash::fast::RandomState;
use hashbrown::HashTable;

use crate::config::path_segments;
use crate::ids::{AccountId, HostName, RouteId, ServiceId};
use crate::resource::{RouteAccess, ServiceRoute};

/// Finds the route of a path with one look-up per segment.
#[derive(Debug, Default)]
pub struct RouteTable {
    places: Vec<Option<ServiceRoute>>,
    free: Vec<u32>,
    by_prefix: HashTable<u32>,
    by_id: HashTable<u32>,
    hasher: RandomState,
    longest_bytes: usize,
}

impl RouteTable {
    /// Adds `route` or replaces the one of its name.
    pub fn insert(&mut self, route: ServiceRoute) {
        self.remove(&route.id);
        self.longest_bytes = self.longest_bytes.max(route.prefix.len());
        let by_prefix = self.prefix_hash(route.rules.host.as_ref(), &route.prefix);
        let by_id = self.id_hash(&route.id);
        let place = self.place(route);
        let (places, hasher) = (&self.places, &self.hasher);
        self.by_prefix.insert_unique(by_prefix, place, |other| {
            hash_at(places, *other, |route| prefix_key_hash(hasher, route))
        });
        self.by_id.insert_unique(by_id, place, |other| {
            hash_at(places, *other, |route| hasher.hash_one(route.id.as_str()))
        });
    }

    /// Removes the route called `id`.
    pub fn remove(&mut self, id: &RouteId) {
        let Some(place) = self.place_of(id) else {
            return;
        };
        let Some(route) = self.places[place as usize].take() else {
            return;
        };
        let hashes = [
            (self.id_hash(id), &mut self.by_id),
            (prefix_key_hash(&self.hasher, &route), &mut self.by_prefix),
        ];
        for (hash, index) in hashes {
            if let Ok(entry) = index.find_entry(hash, |other| *other == place) {
                entry.remove();
            }
        }
        self.free.push(place);
    }

    /// The route with the longest prefix of `path`; a query is ignored.
    ///
    /// Routes of the request's host go before those of any host. A path that a backend server
    /// could read as another one has no route of any host; a host's routes take paths literally.
    #[must_use]
    pub fn find(&self, host: Option<&HostName>, path: &str) -> Option<&ServiceRoute> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') {
            return None;
        }
        let longest = |host: Option<&HostName>| {
            path_segments::prefixes(path, self.longest_bytes)
                .find_map(|prefix| self.with_prefix(host, prefix))
        };
        if let Some(route) = host.and_then(|host| longest(Some(host))) {
            return Some(route);
        }
        if path_segments::is_ambiguous(path) {
            return None;
        }
        longest(None)
    }

    /// The route of `host` that has `prefix`.
    #[must_use]
    pub fn with_prefix(&self, host: Option<&HostName>, prefix: &str) -> Option<&ServiceRoute> {
        let place = self
            .by_prefix
            .find(self.prefix_hash(host, prefix), |place| {
                self.at(*place).is_some_and(|route| {
                    route.prefix == prefix && route.rules.host.as_ref() == host
                })
            })?;
        self.at(*place)
    }

    /// Every route.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.places.iter().flatten()
    }

    /// The places from `start` on, at most `most` of them; empty past the end.
    #[must_use]
    pub fn slots(&self, start: u32, most: usize) -> &[Option<ServiceRoute>] {
        let start = (start as usize).min(self.places.len());
        let end = start.saturating_add(most).min(self.places.len());
        &self.places[start..end]
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Names of the routes that lead to `service`.
    #[must_use]
    pub fn of_service(&self, service: &ServiceId) -> Vec<RouteId> {
        self.names(|route| route.service == *service)
    }

    /// Names of the routes that name `account`.
    #[must_use]
    pub fn of_account(&self, account: &AccountId) -> Vec<RouteId> {
        self.names(|route| match &route.access {
            RouteAccess::All | RouteAccess::Public => false,
            RouteAccess::Accounts(named) => named.contains(account),
        })
    }

    fn names(&self, wanted: impl Fn(&ServiceRoute) -> bool) -> Vec<RouteId> {
        let mut names: Vec<_> = self
            .iter()
            .filter(|route| wanted(route))
            .map(|route| route.id.clone())
            .collect();
        names.sort();
        names
    }

    fn place(&mut self, route: ServiceRoute) -> u32 {
        if let Some(place) = self.free.pop() {
            self.places[place as usize] = Some(route);
            return place;
        }
        self.places.push(Some(route));
        u32::try_from(self.places.len() - 1).unwrap_or(u32::MAX)
    }

    fn place_of(&self, id: &RouteId) -> Option<u32> {
        let is_same = |place: &u32| self.at(*place).is_some_and(|route| route.id == *id);
        self.by_id.find(self.id_hash(id), is_same).copied()
    }

    fn at(&self, place: u32) -> Option<&ServiceRoute> {
        self.places.get(place as usize)?.as_ref()
    }

    fn prefix_hash(&self, host: Option<&HostName>, prefix: &str) -> u64 {
        self.hasher.hash_one((host.map(HostName::as_str), prefix))
    }

    fn id_hash(&self, id: &RouteId) -> u64 {
        self.hasher.hash_one(id.as_str())
    }
}

fn prefix_key_hash(hasher: &RandomState, route: &ServiceRoute) -> u64 {
    let host = route.rules.host.as_ref().map(HostName::as_str);
    hasher.hash_one((host, route.prefix.as_str()))
}

fn hash_at(
    places: &[Option<ServiceRoute>],
    place: u32,
    hash: impl FnOnce(&ServiceRoute) -> u64,
) -> u64 {
    places
        .get(place as usize)
        .and_then(Option::as_ref)
        .map_or(0, hash)
}
