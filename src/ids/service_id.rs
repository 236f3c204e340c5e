//! The `ServiceId` identifier.

use crate::name_id;

name_id!(
    /// Names a service, a group of like backend servers.
    ServiceId,
    "service"
);
