//! Names of backend server instances.

use crate::name_id;

name_id!(
    /// The name of one instance of a backend server, unique in the fleet.
    InstanceId,
    "instance"
);
