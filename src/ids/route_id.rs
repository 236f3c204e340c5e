//! Names of routes.

use crate::name_id;

name_id!(
    /// The name of a route.
    RouteId,
    "route"
);
