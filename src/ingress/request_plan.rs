//! What the configuration says about one request.

use std::time::Duration;

use crate::config::{Catalog, KeyLookup};
use crate::ids::{AccountId, HostName, RouteId, ServiceId};
use crate::ingress::request_refusal::RequestRefusal;
use crate::resource::{KeyHash, Priority, RequestClass, RouteAccess, ServiceRoute};
use crate::units::{Percent, Weight};

/// Account under which requests without a key wait in the queues.
const PUBLIC_ACCOUNT: &str = "public";

/// What a request says that the checks need.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'a> {
    /// The host addressed.
    pub host: Option<&'a HostName>,
    /// The path.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// The hash of the key, or why there is none.
    pub key: Result<&'a KeyHash, &'a RequestRefusal>,
    /// Whether the catalog is known to be the newest, so that keys may be trusted.
    pub is_fresh: bool,
}

/// The outcome of the checks on a request's key and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// The client account whose key came with the request; none on a public route.
    pub holder: Option<AccountId>,
    /// The account under which it waits.
    pub account: AccountId,
    /// Whether the account has no rate limit by intent.
    pub is_unlimited: bool,
    /// The route taken.
    pub route: RouteId,
    /// The service that answers.
    pub service: ServiceId,
    /// The class of the work.
    pub class: RequestClass,
    /// Its rank.
    pub priority: Priority,
    /// The weight of the class in the service.
    pub weight: Weight,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Longest time that it is kept waiting, if the route says so.
    pub timeout: Option<Duration>,
    /// Most instances that it may reach, if the route says so.
    pub max_attempts: Option<usize>,
    /// The service's floor.
    pub floor: Percent,
    /// The service's retry budget.
    pub retry_budget: Percent,
}

impl RequestPlan {
    /// Checks the key, the path and the method against the configuration; `choose` picks the
    /// service of a route that is split.
    ///
    /// # Errors
    /// `RequestRefusal` says which check failed.
    pub fn open(
        catalog: &Catalog,
        facts: &RequestFacts<'_>,
        choose: impl FnOnce(&ServiceRoute) -> ServiceId,
    ) -> Result<Self, RequestRefusal> {
        let route = catalog.find_route(facts.host, facts.path);
        if route.is_none() && facts.key.is_err() && facts.is_fresh {
            return Err(RequestRefusal::NoRoute);
        }
        let is_public = route.is_some_and(|route| route.access == RouteAccess::Public);
        let holder = match is_public {
            true => None,
            false => Some(authenticated_account(catalog, facts)?),
        };
        let route = route.ok_or(RequestRefusal::NoRoute)?;
        if let Some(account) = &holder
            && !route.access.allows(account)
        {
            return Err(RequestRefusal::Forbidden);
        }
        let id = choose(route);
        let service = catalog.service(&id).ok_or(RequestRefusal::NoRoute)?;
        let account = holder
            .clone()
            .unwrap_or_else(|| AccountId::fixed(PUBLIC_ACCOUNT));
        let rules = catalog.account_settings(&account);
        Ok(Self {
            is_unlimited: is_public || rules.is_some_and(|rules| rules.unlimited),
            priority: rules
                .and_then(|rules| rules.priority)
                .unwrap_or(route.rules.priority),
            holder,
            account,
            route: route.id.clone(),
            service: id,
            class: route.class,
            weight: service.weights.of(route.class),
            idempotent: route.idempotency.allows_repeat(facts.method),
            timeout: route.rules.timeout.map(|span| span.get()),
            max_attempts: route.rules.attempts.map(|bound| bound.get() as usize),
            floor: service.floor,
            retry_budget: service.retry_budget,
        })
    }
}

/// The client account of the key; a catalog that may be old proves nothing about a key.
fn authenticated_account(
    catalog: &Catalog,
    facts: &RequestFacts<'_>,
) -> Result<AccountId, RequestRefusal> {
    if !facts.is_fresh {
        return Err(RequestRefusal::NotConfigured);
    }
    let hash = facts.key.map_err(Clone::clone)?;
    match catalog.lookup_key(hash) {
        KeyLookup::Known(account) => Ok(account),
        KeyLookup::Withdrawn => Err(RequestRefusal::WithdrawnKey),
        KeyLookup::Unknown => Err(RequestRefusal::UnknownKey),
    }
}
