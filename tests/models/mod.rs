//! Simulation of a service in virtual time, for tests of load balancing, queueing and health.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod instance_fault;
mod load_stream;
mod model_health;
mod model_policy;
mod model_request;
mod service_model;
mod service_records;

pub use instance_fault::InstanceFault;
pub use load_stream::LoadStream;
pub use model_policy::ModelPolicy;
pub use service_model::{Ejection, ServiceModel};
pub use service_records::{record, service_of};
