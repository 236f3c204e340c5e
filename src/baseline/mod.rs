//! Simple reference algorithms that benchmarks compare the fleet with; not for production use.

mod round_robin;
mod static_limiter;

pub use round_robin::RoundRobin;
pub use static_limiter::StaticLimiter;
