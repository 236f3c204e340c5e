//! Outlier detection for instances: fault detection, ejection, recovery and the capacity floor.
//!
//! The types are state machines without I/O. An egress feeds them responses and the time and
//! publishes the resulting changes of state; a picker reads which instances are admitted.

mod admitted_instance;
pub mod capacity_floor;
mod circuit_breaker;
mod class_normalizer;
mod cold_share;
mod cusum_detector;
mod ejection_backoff;
mod health_cause;
mod health_change;
mod instance_health;
mod recent_times;
mod recovery_progress;
mod sample_outcome;
mod service_baseline;
mod service_sample;
mod slowness_detector;
mod stall_detector;

pub use admitted_instance::AdmittedInstance;
pub use capacity_floor::admitted_ids;
pub use health_cause::HealthCause;
pub use health_change::HealthChange;
pub use instance_health::InstanceHealth;
pub use sample_outcome::SampleOutcome;
pub use service_baseline::ServiceBaseline;
pub use service_sample::ServiceSample;
