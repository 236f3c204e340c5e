//! Authenticates and routes a request by the configuration catalog.

use std::time::Duration;

use crate::config::{Catalog, KeyLookup};
use crate::ids::{AccountId, HostName, RouteId, ServiceId};
use crate::ingress::request_refusal::RequestRefusal;
use crate::resource::{KeyHash, Priority, RequestClass, RouteAccess, ServiceRoute};
use crate::units::{Percent, Weight};

/// Account under which requests without a key wait in the instances' queues.
const PUBLIC_ACCOUNT: &str = "public";

/// The parts of a request that decide its plan.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'a> {
    /// Host that the caller addressed, without its port; none when missing or invalid.
    pub host: Option<&'a HostName>,
    /// URL path, without the query.
    pub path: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Hash of the client key's secret, or the refusal when the request carries no valid one.
    pub key: Result<&'a KeyHash, &'a RequestRefusal>,
    /// Whether the catalog is known to be current; keys are accepted only by a current catalog.
    pub is_fresh: bool,
}

/// The route, service and limits of a request that passed the checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// The client account of the request's key; none on a public route.
    pub key_account: Option<AccountId>,
    /// The account under which the request waits in queues and counts against a rate limit.
    pub account: AccountId,
    /// Whether the request needs no rate limit: its route is public or its account is unlimited.
    pub is_unlimited: bool,
    /// The route that matches the host and path.
    pub route: RouteId,
    /// The host that the route is for; none when it is for any.
    pub host: Option<HostName>,
    /// The service that serves the request.
    pub service: ServiceId,
    /// The request class.
    pub class: RequestClass,
    /// Priority of the account, or else of the route.
    pub priority: Priority,
    /// Weight of the class in the service.
    pub weight: Weight,
    /// Whether the request may be repeated safely.
    pub idempotent: bool,
    /// Timeout of the route; none when the route sets none.
    pub timeout: Option<Duration>,
    /// Time within which a response is of full use to the caller; none when the route sets none.
    pub goal: Option<Duration>,
    /// Weight of the account in the queues: its rate in requests a second, or 1 without one.
    pub account_weight: u32,
    /// Most instances that the request may reach; none when the route sets no bound.
    pub max_attempts: Option<usize>,
    /// Share of the service's capacity that ejections, drains and cold starts must leave in use.
    pub floor: Percent,
    /// Retries that the service allows, as a share of first attempts.
    pub retry_budget: Percent,
}

impl RequestPlan {
    /// Checks the key, the host and the path against the catalog; `choose` returns the service for a
    /// matching route.
    ///
    /// # Errors
    /// The `RequestRefusal` of the first check that failed.
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
        let key_account = match is_public {
            true => None,
            false => Some(authenticated_account(catalog, facts)?),
        };
        let route = route.ok_or(RequestRefusal::NoRoute)?;
        if let Some(account) = &key_account
            && !route.access.allows(account)
        {
            return Err(RequestRefusal::Forbidden);
        }
        let id = choose(route);
        let service = catalog.service(&id).ok_or(RequestRefusal::NoRoute)?;
        let account = key_account
            .clone()
            .unwrap_or_else(|| AccountId::fixed(PUBLIC_ACCOUNT));
        let rules = catalog.account_settings(&account);
        Ok(Self {
            is_unlimited: is_public || rules.is_some_and(|rules| rules.unlimited),
            priority: rules
                .and_then(|rules| rules.priority)
                .unwrap_or(route.rules.priority),
            key_account,
            account_weight: account_weight(catalog, &account),
            account,
            route: route.id.clone(),
            host: route.rules.host.clone(),
            service: id,
            class: route.class,
            weight: service.weights.weight(route.class),
            idempotent: route.class.is_repeatable()
                && route.idempotency.is_idempotent(facts.method),
            timeout: route.rules.timeout.map(|span| span.get()),
            goal: route.rules.goal.map(|span| span.get()),
            max_attempts: route.rules.attempts.map(|bound| bound.get() as usize),
            floor: service.floor,
            retry_budget: service.retry_budget,
        })
    }
}

/// Returns the account's rate in whole requests a second, at least 1.
fn account_weight(catalog: &Catalog, account: &AccountId) -> u32 {
    let limit = catalog.rate_limit(account);
    let per_second = limit.map_or(1.0, |limit| limit.rate.events_per_second());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and a rate is not negative"
    )]
    let weight = per_second as u32;
    weight.max(1)
}

/// Returns the client account of the key. A catalog that may be outdated cannot authenticate one:
/// the key may have been created or withdrawn since.
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
