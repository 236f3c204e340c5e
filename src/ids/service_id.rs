//! Names of services.

use crate::name_id;

name_id!(
    /// The name of a service, a group of interchangeable backend servers.
    ServiceId,
    "service"
);
