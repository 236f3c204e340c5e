//! Service-time estimates of the routes that lead to an instance.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::RouteId;
use crate::queue::service_estimate::ServiceEstimate;

/// Most routes with an estimate of their own. Further routes share one, which bounds the memory.
const MAX_ROUTES: usize = 64;
/// Factor on the age of a request of a route without samples. It is well below one so that the first
/// request of a long route does not look like a stall.
const UNKNOWN_ROUTE_AGE_SCALE: f64 = 0.1;

/// Moving averages of service times by route.
#[derive(Debug)]
pub(super) struct RouteEstimates {
    routes: FastMap<RouteId, ServiceEstimate>,
    /// Estimate over all routes, for those without one of their own.
    all: ServiceEstimate,
}

impl RouteEstimates {
    /// Creates estimates without samples.
    pub(super) fn open() -> Self {
        Self {
            routes: FastMap::default(),
            all: ServiceEstimate::open(),
        }
    }

    /// Adds a measured service time.
    pub(super) fn observe(&mut self, route: &RouteId, service_time: Duration) {
        self.all.observe(service_time);
        if let Some(estimate) = self.routes.get_mut(route) {
            estimate.observe(service_time);
        } else if self.routes.len() < MAX_ROUTES {
            let estimate = self.routes.entry(route.clone());
            let estimate = estimate.or_insert_with(ServiceEstimate::open);
            estimate.observe(service_time);
        }
    }

    /// Expected service time of a request of `route`, in seconds.
    pub(super) fn mean_secs(&self, route: &RouteId) -> f64 {
        self.routes.get(route).unwrap_or(&self.all).mean_secs()
    }

    /// Factor that makes the ages of requests of different routes comparable: the mean service time
    /// of the shortest route divided by that of `route`.
    pub(super) fn age_scale(&self, route: &RouteId) -> f64 {
        let Some(estimate) = self.routes.get(route) else {
            return UNKNOWN_ROUTE_AGE_SCALE;
        };
        let means = self.routes.values().map(ServiceEstimate::mean_secs);
        means.fold(f64::INFINITY, f64::min) / estimate.mean_secs()
    }

    /// Estimated service times in milliseconds, for the diagnostic dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        let routes = self.routes.iter().map(|(route, estimate)| {
            let millis = (estimate.mean_secs() * 1_000.0).round();
            (route.to_string(), serde_json::json!(millis))
        });
        routes.collect()
    }
}
