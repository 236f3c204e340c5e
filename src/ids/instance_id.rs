//! The `InstanceId` identifier.

use crate::name_id;

name_id!(
    /// Names one instance of a backend server, unique in the fleet.
    InstanceId,
    "instance"
);
