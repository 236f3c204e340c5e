//! The `HostName` identifier.

use crate::name_id;

name_id!(
    /// Names the host that a request is addressed to, in lower case and without a port.
    HostName,
    "host"
);
