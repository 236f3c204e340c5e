//! In-memory configuration of a daemon, with lookups for requests.

use crate::config::{
    AccountTable, CatalogError, ConfigAction, ConfigChange, KeyLookup, KeyTable, RouteTable,
};
use crate::evacuation::EvacuatedZones;
use crate::hash::FastMap;
use crate::ids::{AccountId, HostName, Revision, RouteId, ServiceId};
use crate::resource::{
    ClientAccount, ConfigResource, KeyHash, RateLimit, ServiceRoute, ServiceSpec,
};
use crate::wire::SnapshotItem;

/// Resources that refer to a client account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountReferences {
    /// Number of the account's keys, including withdrawn ones.
    pub keys: usize,
    /// Whether the account has a rate limit.
    pub has_rate_limit: bool,
    /// Routes whose access list names the account.
    pub routes: Vec<RouteId>,
}

/// The accounts, keys, routes and services of the configuration at one revision.
///
/// Changes are applied in sequence; a gap between revisions is an error.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    accounts: AccountTable,
    /// Accounts with fields other than their name. They are few, so they are kept outside of the
    /// compact table.
    account_settings: FastMap<AccountId, ClientAccount>,
    keys: KeyTable,
    routes: RouteTable,
    services: FastMap<ServiceId, ServiceSpec>,
    evacuated_zones: EvacuatedZones,
}

impl Catalog {
    /// Builds a catalog of `resources` at `revision`.
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

    /// Inserts or replaces a resource of a snapshot that is being read; the revision stays.
    pub fn insert(&mut self, resource: ConfigResource) {
        self.put(resource);
    }

    /// Applies the change with the next revision.
    ///
    /// # Errors
    /// `CatalogError::OutOfSequence` unless the change has the next revision; the catalog is then
    /// unchanged.
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

    /// Revision of the catalog.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Looks up a key by the hash of its secret.
    #[must_use]
    pub fn lookup_key(&self, hash: &KeyHash) -> KeyLookup {
        match self.keys.find(hash) {
            Some((_, true)) => KeyLookup::Withdrawn,
            Some((index, false)) => self
                .accounts
                .account(index)
                .map_or(KeyLookup::Unknown, KeyLookup::Known),
            None => KeyLookup::Unknown,
        }
    }

    /// The route without a host that has the longest prefix of `path`, in whole segments.
    #[must_use]
    pub fn find_any_host_route(&self, path: &str) -> Option<&ServiceRoute> {
        self.routes.find(None, path)
    }

    /// The route that has the longest prefix of `path`, in whole segments. Routes of `host` take
    /// precedence over routes without a host.
    #[must_use]
    pub fn find_route(&self, host: Option<&HostName>, path: &str) -> Option<&ServiceRoute> {
        self.routes.find(host, path)
    }

    /// Fields of `account`; none when it has no fields other than its name, or does not exist.
    #[must_use]
    pub fn account_settings(&self, account: &AccountId) -> Option<&ClientAccount> {
        self.account_settings.get(account)
    }

    /// The rate limit of `account`, if it has one.
    #[must_use]
    pub fn rate_limit(&self, account: &AccountId) -> Option<RateLimit> {
        self.accounts.rate_limit(account)
    }

    /// The service with this id.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(id)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.routes.iter()
    }

    /// The availability zones that operators took out of service.
    #[must_use]
    pub const fn evacuated_zones(&self) -> &EvacuatedZones {
        &self.evacuated_zones
    }

    /// The route with exactly this host and prefix.
    #[must_use]
    pub fn route_with_prefix(
        &self,
        host: Option<&HostName>,
        prefix: &str,
    ) -> Option<&ServiceRoute> {
        self.routes.with_prefix(host, prefix)
    }

    /// Resources that refer to `account`.
    #[must_use]
    pub fn account_references(&self, account: &AccountId) -> AccountReferences {
        let index = self.accounts.find(account);
        AccountReferences {
            keys: index.map_or(0, |index| self.keys.count_of(index)),
            has_rate_limit: self.accounts.rate_limit(account).is_some(),
            routes: self.routes.ids_by_account(account),
        }
    }

    /// Ids of the routes that lead to `service`, sorted.
    #[must_use]
    pub fn routes_to_service(&self, service: &ServiceId) -> Vec<RouteId> {
        self.routes.ids_by_service(service)
    }

    /// The table of client accounts and rate limits.
    #[must_use]
    pub const fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// The table of keys.
    #[must_use]
    pub const fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// The table of routes.
    #[must_use]
    pub const fn route_table(&self) -> &RouteTable {
        &self.routes
    }

    /// Inserts one item of a peer's snapshot that is being read; the revision stays.
    pub fn insert_item(&mut self, item: SnapshotItem) {
        match item {
            SnapshotItem::Service(service) => self.put(ConfigResource::Service(service)),
            SnapshotItem::Evacuation(evacuation) => {
                self.put(ConfigResource::Evacuation(evacuation));
            }
            SnapshotItem::Route(route) => self.put(ConfigResource::Route(route)),
            SnapshotItem::Account(account, rate) => {
                self.put(ConfigResource::Account(account));
                if let Some(limit) = rate {
                    self.accounts.set_rate_limit(&limit);
                }
            }
            SnapshotItem::Key(key) => {
                let index = self.accounts.intern(&key.account);
                self.keys.insert(key.hash, index, key.withdrawn);
            }
        }
    }

    /// Numbers of accounts, keys, routes and services, in this order.
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
                if account == ClientAccount::new(account.id.clone()) {
                    self.account_settings.remove(&account.id);
                } else {
                    self.account_settings.insert(account.id.clone(), account);
                }
            }
            ConfigResource::Key(key) => {
                let index = self.accounts.intern(&key.account);
                self.keys.insert(key.hash, index, key.withdrawn);
            }
            ConfigResource::Rate(limit) => self.accounts.set_rate_limit(&limit),
            ConfigResource::Route(route) => self.routes.insert(route),
            ConfigResource::Service(service) => {
                self.services.insert(service.id.clone(), service);
            }
            ConfigResource::Evacuation(evacuation) => self.evacuated_zones.insert(evacuation.id),
        }
    }

    fn remove(&mut self, resource: &ConfigResource) {
        match resource {
            ConfigResource::Account(account) => {
                self.accounts.remove(&account.id);
                self.account_settings.remove(&account.id);
            }
            ConfigResource::Key(key) => self.keys.remove(&key.hash),
            ConfigResource::Rate(limit) => self.accounts.clear_rate_limit(&limit.account),
            ConfigResource::Route(route) => self.routes.remove(&route.id),
            ConfigResource::Service(service) => {
                self.services.remove(&service.id);
            }
            ConfigResource::Evacuation(evacuation) => self.evacuated_zones.remove(&evacuation.id),
        }
    }
}
