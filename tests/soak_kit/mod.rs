//! A fleet of real processes under load while faults, restarts and changes come in overlapping series.

mod fault_series;
mod kept_connection;
mod request_log;
mod soak_caller;
mod soak_run;
mod stop_times;

pub use request_log::{CallerOutcome, LoggedRequest, RunSpan};
pub use soak_run::{SoakFaults, SoakRun};
pub use stop_times::StopTimes;
