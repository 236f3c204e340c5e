//! The configuration in force at this daemon.

use crate::config::{
    AccountTable, CatalogError, ConfigAction, ConfigChange, KeyLookup, KeyTable, RouteTable,
};
use crate::hash::FastMap;
use crate::ids::{AccountId, HostName, Revision, RouteId, ServiceId};
use crate::resource::{
    ClientAccount, ConfigResource, KeyHash, RateLimit, ServiceRoute, ServiceSpec,
};
use crate::wire::SnapshotItem;

/// What refers to a client account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountReferences {
    /// Number of its keys, withdrawn ones included.
    pub keys: usize,
    /// Whether it has a rate limit.
    pub has_rate: bool,
    /// Routes that name it.
    pub routes: Vec<RouteId>,
}

/// Everything that a request needs, at one revision; changes are applied in order, without a gap.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    accounts: AccountTable,
    /// Those few accounts that say more than their name.
    account_rules: FastMap<AccountId, ClientAccount>,
    keys: KeyTable,
    routes: RouteTable,
    services: FastMap<ServiceId, ServiceSpec>,
}

impl Catalog {
    /// The catalog of `resources` at `revision`.
    #[must_use]
    pub fn from_resources(
        revision: Revision,
        resources: impl IntoIterator<Item = ConfigResource>,
    ) -> Self {
        let mut catalog = Self {
            revision,
            ..Self::default()
        };
        for resource in resources {
            catalog.insert(resource);
        }
        catalog
    }

    /// Adds a resource of a snapshot that is being read.
    pub fn insert(&mut self, resource: ConfigResource) {
        self.put(resource);
    }

    /// Applies the next change.
    ///
    /// # Errors
    /// `CatalogError::OutOfSequence` unless its revision follows at once; nothing changes then.
    pub fn apply(&mut self, change: &ConfigChange) -> Result<(), CatalogError> {
        if change.revision != self.revision.next() {
            return Err(CatalogError::OutOfSequence(self.revision, change.revision));
        }
        match &change.action {
            ConfigAction::Put(resource) => self.put(resource.clone()),
            ConfigAction::Remove(resource) => self.remove(resource),
        }
        self.revision = change.revision;
        Ok(())
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The client account that a secret's hash stands for.
    #[must_use]
    pub fn lookup_key(&self, hash: &KeyHash) -> KeyLookup {
        match self.keys.find(hash) {
            Some((_, true)) => KeyLookup::Withdrawn,
            Some((number, false)) => self
                .accounts
                .account(number)
                .map_or(KeyLookup::Unknown, KeyLookup::Known),
            None => KeyLookup::Unknown,
        }
    }

    /// The route of `path` at any host, by its longest prefix of whole segments.
    #[must_use]
    pub fn find_any_host_route(&self, path: &str) -> Option<&ServiceRoute> {
        self.routes.find(None, path)
    }

    /// The route of `path` at `host`, by its longest prefix.
    #[must_use]
    pub fn find_route(&self, host: Option<&HostName>, path: &str) -> Option<&ServiceRoute> {
        self.routes.find(host, path)
    }

    /// What the operators say of `account` beyond its name, if anything.
    #[must_use]
    pub fn account(&self, account: &AccountId) -> Option<&ClientAccount> {
        self.account_rules.get(account)
    }

    /// The rate limit of `account`, put together from the packed table.
    #[must_use]
    pub fn rate_limit(&self, account: &AccountId) -> Option<RateLimit> {
        self.accounts.rate(account)
    }

    /// The service called `id`.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(id)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.routes.iter()
    }

    /// The route of `host` that has exactly `prefix`.
    #[must_use]
    pub fn route_with_prefix(
        &self,
        host: Option<&HostName>,
        prefix: &str,
    ) -> Option<&ServiceRoute> {
        self.routes.with_prefix(host, prefix)
    }

    /// What refers to `account`.
    #[must_use]
    pub fn account_references(&self, account: &AccountId) -> AccountReferences {
        let number = self.accounts.find(account);
        AccountReferences {
            keys: number.map_or(0, |number| self.keys.count_of(number)),
            has_rate: self.accounts.rate(account).is_some(),
            routes: self.routes.of_account(account),
        }
    }

    /// Names of the routes that lead to `service`.
    #[must_use]
    pub fn routes_to_service(&self, service: &ServiceId) -> Vec<RouteId> {
        self.routes.of_service(service)
    }

    /// The packed client accounts.
    #[must_use]
    pub const fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// The packed keys.
    #[must_use]
    pub const fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// The routes.
    #[must_use]
    pub const fn route_table(&self) -> &RouteTable {
        &self.routes
    }

    /// Adds one item of a peer's snapshot that is being read.
    pub fn insert_item(&mut self, item: SnapshotItem) {
        match item {
            SnapshotItem::Service(service) => self.put(ConfigResource::Service(service)),
            SnapshotItem::Route(route) => self.put(ConfigResource::Route(route)),
            SnapshotItem::Account(account, rate) => {
                self.put(ConfigResource::Account(account));
                if let Some(limit) = rate {
                    self.accounts.set_rate(&limit);
                }
            }
            SnapshotItem::Key(key) => {
                let number = self.accounts.intern(&key.account);
                self.keys.insert(key.hash, number, key.withdrawn);
            }
        }
    }

    /// Numbers of accounts, keys, routes and services.
    #[must_use]
    pub fn resource_counts(&self) -> [usize; 4] {
        [
            self.accounts.len(),
            self.keys.len(),
            self.routes.len(),
            self.services.len(),
        ]
    }

    fn put(&mut self, resource: ConfigResource) {
        match resource {
            ConfigResource::Account(account) => {
                self.accounts.intern(&account.id);
                if account == ClientAccount::named(account.id.clone()) {
                    self.account_rules.remove(&account.id);
                } else {
                    self.account_rules.insert(account.id.clone(), account);
                }
            }
            ConfigResource::Key(key) => {
                let number = self.accounts.intern(&key.account);
                self.keys.insert(key.hash, number, key.withdrawn);
            }
            ConfigResource::Rate(limit) => self.accounts.set_rate(&limit),
            ConfigResource::Route(route) => self.routes.insert(route),
            ConfigResource::Service(service) => {
                self.services.insert(service.id.clone(), service);
            }
        }
    }

    fn remove(&mut self, resource: &ConfigResource) {
        match resource {
            ConfigResource::Account(account) => {
                self.accounts.remove(&account.id);
                self.account_rules.remove(&account.id);
            }
            ConfigResource::Key(key) => self.keys.remove(&key.hash),
            ConfigResource::Rate(limit) => self.accounts.clear_rate(&limit.account),
            ConfigResource::Route(route) => self.routes.remove(&route.id),
            ConfigResource::Service(service) => {
                self.services.remove(&service.id);
            }
        }
    }
}
