//! What an ingress knows of the times that requests take.

use std::time::Duration;

use crate::balance::route_time::RouteTime;
use crate::hash::FastMap;
use crate::ids::{RouteId, ServiceId};

/// Most routes of a service whose times are estimated.
const MAX_ROUTES: usize = 64;

/// Estimates of the time from an offer to its whole response, by service and route.
#[derive(Debug, Default)]
pub struct RouteTimes {
    services: FastMap<ServiceId, FastMap<RouteId, RouteTime>>,
}

impl RouteTimes {
    /// Adds the time of a request of `route` that `service` answered.
    pub fn observe(&mut self, service: &ServiceId, route: &RouteId, span: Duration) {
        let routes = self.services.entry(service.clone()).or_default();
        if let Some(time) = routes.get_mut(route) {
            time.observe(span);
        } else if routes.len() < MAX_ROUTES {
            routes.insert(route.clone(), RouteTime::open(span));
        }
    }

    /// Returns the time that most requests of `route` to `service` do not exceed; none if unknown.
    #[must_use]
    pub fn expected(&self, service: &ServiceId, route: &RouteId) -> Option<Duration> {
        self.time(service, route).map(RouteTime::expected)
    }

    /// Returns the time that requests of `route` to `service` usually take; none if unknown.
    #[must_use]
    pub fn usual(&self, service: &ServiceId, route: &RouteId) -> Option<Duration> {
        self.time(service, route).map(RouteTime::usual)
    }

    fn time(&self, service: &ServiceId, route: &RouteId) -> Option<&RouteTime> {
        self.services.get(service)?.get(route)
    }
}
