//! Host names that requests are addressed to.

use crate::name_id;

name_id!(
    /// The host that a request is addressed to, in lower case and without a port.
    HostName,
    "host"
);
