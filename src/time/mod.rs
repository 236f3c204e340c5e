//! Monotonic time: clock readings, deadlines and the process's clock; and the wall clock's reading.
//!
//! State machines read no clock; their callers pass the current reading in.

mod deadline;
mod mono_time;
mod process_clock;
mod wall_clock;

pub use deadline::Deadline;
pub use mono_time::MonoTime;
pub use process_clock::ProcessClock;
pub use wall_clock::unix_millis;
