//! Routes by name and by prefix.

use crate::config::path_segments;
use crate::hash::FastMap;
use crate::ids::{AccountId, RouteId, ServiceId};
use crate::resource::{RouteAccess, ServiceRoute};

/// Finds the route of a path with one look-up per segment.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: FastMap<Box<str>, ServiceRoute>,
    prefixes: FastMap<RouteId, Box<str>>,
    longest_bytes: usize,
}

impl RouteTable {
    /// Adds `route` or replaces the one of its name.
    pub fn insert(&mut self, route: ServiceRoute) {
        self.remove(&route.id);
        let prefix: Box<str> = route.prefix.as_str().into();
        self.longest_bytes = self.longest_bytes.max(prefix.len());
        self.prefixes.insert(route.id.clone(), prefix.clone());
        self.by_prefix.insert(prefix, route);
    }

    /// Removes the route called `id`.
    pub fn remove(&mut self, id: &RouteId) {
        let Some(prefix) = self.prefixes.remove(id) else {
            return;
        };
        if self
            .by_prefix
            .get(&prefix)
            .is_some_and(|route| route.id == *id)
        {
            self.by_prefix.remove(&prefix);
        }
    }

    /// The route with the longest prefix of whole segments of `path`; a query is ignored.
    ///
    /// A path that a backend server could read as another one has no route.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<&ServiceRoute> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') || path_segments::is_ambiguous(path) {
            return None;
        }
        path_segments::prefixes(path, self.longest_bytes)
            .find_map(|prefix| self.by_prefix.get(prefix))
    }

    /// The route that has `prefix`.
    #[must_use]
    pub fn with_prefix(&self, prefix: &str) -> Option<&ServiceRoute> {
        self.by_prefix.get(prefix)
    }

    /// Every route.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.by_prefix.values()
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
            RouteAccess::All => false,
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
}
