//! Newtypes for sizes, rates, durations and counts, with bounds checks and text forms.

mod attempt_limit;
mod burst;
mod byte_size;
mod macros;
mod percent;
mod rate;
mod slots;
mod time_span;
mod unit_error;
mod weight;
mod zone_cost;

pub use attempt_limit::AttemptLimit;
pub use burst::Burst;
pub use byte_size::ByteSize;
pub use percent::Percent;
pub use rate::Rate;
pub use slots::Slots;
pub use time_span::TimeSpan;
pub use unit_error::UnitError;
pub use weight::Weight;
pub use zone_cost::ZoneCost;
