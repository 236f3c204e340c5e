//! Monotonic time as the state machines see it: a caller passes `now` in.

mod deadline;
mod mono_time;
mod process_clock;

pub use deadline::Deadline;
pub use mono_time::MonoTime;
pub use process_clock::ProcessClock;
