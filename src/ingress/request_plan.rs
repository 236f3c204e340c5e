//! What the configuration says about one request.

use crate::config::{Catalog, KeyLookup};
use crate::ids::{AccountId, RouteId, ServiceId};
use crate::ingress::request_refusal::RequestRefusal;
use crate::resource::{KeyHash, RequestClass};
use crate::units::{Percent, Weight};

/// The outcome of the checks on a request's key and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// The client account whose key came with the request.
    pub account: AccountId,
    /// The route taken.
    pub route: RouteId,
    /// The service that answers.
    pub service: ServiceId,
    /// The class of the work.
    pub class: RequestClass,
    /// The weight of the class in the service.
    pub weight: Weight,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// The service's floor.
    pub floor: Percent,
    /// The service's retry budget.
    pub retry_budget: Percent,
}

impl RequestPlan {
    /// Checks the key, the path and the method against the configuration.
    ///
    /// # Errors
    /// `RequestRefusal` says which check failed.
    pub fn open(
        catalog: &Catalog,
        hash: &KeyHash,
        path: &str,
        method: &str,
    ) -> Result<Self, RequestRefusal> {
        let account = match catalog.account_of_key(hash) {
            KeyLookup::Known(account) => account,
            KeyLookup::Withdrawn => return Err(RequestRefusal::WithdrawnKey),
            KeyLookup::Unknown => return Err(RequestRefusal::UnknownKey),
        };
        let route = catalog.route_for(path).ok_or(RequestRefusal::NoRoute)?;
        if !route.access.allows(&account) {
            return Err(RequestRefusal::Forbidden);
        }
        let service = catalog
            .service(&route.service)
            .ok_or(RequestRefusal::NoRoute)?;
        Ok(Self {
            account,
            route: route.id.clone(),
            service: route.service.clone(),
            class: route.class,
            weight: service.weights.of(route.class),
            idempotent: route.idempotency.allows_repeat(method),
            floor: service.floor,
            retry_budget: service.retry_budget,
        })
    }
}
