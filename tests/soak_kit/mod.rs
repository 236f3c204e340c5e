//! A fleet of real processes under load while faults, restarts and changes come in overlapping series.

mod fault_series;
mod request_log;
mod soak_run;

pub use request_log::{CallerOutcome, LoggedRequest};
pub use soak_run::SoakRun;
