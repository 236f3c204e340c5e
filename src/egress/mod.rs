//! Egress side of the proxy: queues requests for the local backend instances, sends them over
//! HTTP and tracks the health of each instance.

mod backend_client;
mod backend_connection;
mod backend_response;
mod cold_admission;
mod cold_gate;
mod cold_probe_task;
mod cold_state;
mod cold_statement;
mod cold_watch;
mod connection_requests;
mod egress_handle;
mod evacuation_gate;
mod execution_task;
mod health_publication;
mod instance_dispatcher;
mod instance_end;
mod offer_task;
mod offered_body;
mod probe_task;
mod request_bucket;
mod running_digests;
mod slot_guard;
mod start_machine;
mod stated_limit;

pub use backend_client::{BackendClient, ClientOptions, SendFailure};
pub use backend_response::BackendResponse;
pub use cold_gate::ColdGate;
pub use cold_state::{ColdState, Coldness};
pub use cold_statement::ColdStatement;
pub(crate) use cold_watch::ColdWatch;
pub(crate) use connection_requests::ConnectionRequests;
pub use egress_handle::{EgressHandle, EgressSources};
pub use health_publication::HealthPublication;
pub use instance_dispatcher::{InstanceDispatcher, SlotDecision, SlotResponse};
pub use offered_body::OfferedBody;
pub use running_digests::RunningDigests;
pub use slot_guard::SlotGuard;
pub use start_machine::{StartAction, StartEvent, StartMachine, StartState};
pub use stated_limit::StatedLimit;
