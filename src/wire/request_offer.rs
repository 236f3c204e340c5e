//! Message by which an ingress offers a request to an egress.

use bincode::{Decode, Encode};

use crate::ids::{AccountId, BootId, InstanceId, RequestId, RouteId, ServiceId};
use crate::resource::{Priority, RequestClass};
use crate::wire::RequestDigest;

/// A caller's request, offered for execution on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RequestOffer {
    /// Boot id of the ingress.
    pub boot: BootId,
    /// Id of the request, unique within the boot of the ingress.
    pub request: RequestId,
    /// The instance that the ingress selected.
    pub instance: InstanceId,
    /// The service that the instance belongs to.
    pub service: ServiceId,
    /// The route that the request matched.
    pub route: RouteId,
    /// The account whose queue the request waits in.
    pub account: AccountId,
    /// The client account that the request's API key belongs to; `None` if it had no key.
    pub client_account: Option<AccountId>,
    /// The service on the ingress's VM, if the settings name one.
    pub caller: Option<ServiceId>,
    /// Digest of the request with its body; `None` for a probe.
    pub digest: Option<RequestDigest>,
    /// Value of the request name header that the instance gets.
    pub request_name: String,
    /// The host that the caller requested, from its `Host` header.
    pub host: Option<String>,
    /// Priority in the queue.
    pub priority: Priority,
    /// Whether the ingress selected the instance although it is unhealthy, to keep the minimum
    /// capacity of the service (the capacity floor).
    pub is_forced: bool,
    /// Class of the request.
    pub class: RequestClass,
    /// Whether the request is idempotent. If not, the egress waits for `IngressMessage::Go` before
    /// it sends the request.
    pub idempotent: bool,
    /// Whether the request may wait in the instance's queue. If not, it is refused while all slots
    /// are in use.
    pub may_wait: bool,
    /// Longest expected wait, in microseconds, with which the request may wait. If the instance
    /// expects a longer one, it refuses the request at once as `RefusalReason::Busy` and names the
    /// expected wait. `u64::MAX` means that the wait has no bound.
    pub max_wait_micros: u64,
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_micros: u64,
    /// Time left until the route's goal, in microseconds; `None` if the route has none.
    pub goal_micros: Option<u64>,
    /// Weight of the account in the queue, relative to the others: its rate, if it has one.
    pub account_weight: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, without credentials and hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body; empty if `IngressMessage::Go` brings it.
    pub body: Vec<u8>,
}
