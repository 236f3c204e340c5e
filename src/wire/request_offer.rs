//! An ingress's offer of a request to an egress.

use bincode::{Decode, Encode};

use crate::ids::{AccountId, BootId, InstanceId, RequestId, RouteId, ServiceId};
use crate::resource::{Priority, RequestClass};

/// A request that waits for a slot of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RequestOffer {
    /// The ingress's boot.
    pub boot: BootId,
    /// The request within the boot.
    pub request: RequestId,
    /// The instance chosen.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// The route taken.
    pub route: RouteId,
    /// The account under which the request waits.
    pub account: AccountId,
    /// The client account served; none when the request carried no key.
    pub client_account: Option<AccountId>,
    /// The service beside the ingress, where the settings name one.
    pub caller: Option<ServiceId>,
    /// The name under which the instance sees the request.
    pub request_name: String,
    /// The host that the caller addressed.
    pub host: Option<String>,
    /// Its rank.
    pub priority: Priority,
    /// Whether the ingress knows the instance as sick and chose it all the same, for the floor.
    pub is_forced: bool,
    /// The class of the work.
    pub class: RequestClass,
    /// Whether it may be repeated; if not, the egress waits for go.
    pub idempotent: bool,
    /// Whether it may wait in the instance's queue; if not, it is refused while all slots are taken.
    pub may_wait: bool,
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_micros: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers without any that carry keys or belong to the connection.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body; empty where it comes with go.
    pub body: Vec<u8>,
}
