//! Health of instances: detection, ejection, readmission and the floor of capacity.
//!
//! Pure state machines: an egress passes measured answers and the time in and
//! publishes the changes that come back; a picker asks which instances may take work.

mod admitted_instance;
pub mod capacity_floor;
mod class_scales;
mod eject_backoff;
mod evidence_track;
mod health_cause;
mod health_change;
mod instance_health;
mod ramp_progress;
mod recent_times;
mod sample_outcome;
mod service_baseline;
mod service_sample;
mod slowness_test;
mod stall_watch;
mod trust_track;

pub use admitted_instance::AdmittedInstance;
pub use capacity_floor::admitted_ids;
pub use health_cause::HealthCause;
pub use health_change::HealthChange;
pub use instance_health::InstanceHealth;
pub use sample_outcome::SampleOutcome;
pub use service_baseline::ServiceBaseline;
pub use service_sample::ServiceSample;
