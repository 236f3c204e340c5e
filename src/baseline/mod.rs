//! Plain decisions to compare ours with; for the measuring tool, not for a fleet in service.

mod round_robin;
mod static_split;

pub use round_robin::RoundRobin;
pub use static_split::StaticSplit;
