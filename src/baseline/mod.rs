//! Plain decisions to compare ours with; for the measuring tool, not for a fleet in service.

mod round_robin;
mod static_limiter;

pub use round_robin::RoundRobin;
pub use static_limiter::StaticLimiter;
