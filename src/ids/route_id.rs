//! The `RouteId` identifier.

use crate::name_id;

name_id!(
    /// Names a route.
    RouteId,
    "route"
);
