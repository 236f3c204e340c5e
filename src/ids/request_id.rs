//! Numbers of requests within a run of a daemon.

use crate::number_id;

number_id!(
    /// Identifies a request among those that one run of an ingress has accepted.
    RequestId
);
