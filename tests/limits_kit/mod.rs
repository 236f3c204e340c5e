//! Shared helpers of the rate limit tests.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod event_handlers;
mod fault_plan;
mod flood_callers;
mod limits_fleet;
mod memory_table;
mod node_event;
mod rate_audit;
mod simulated_fleet;
mod simulated_node;

pub use fault_plan::FaultPlan;
pub use flood_callers::{CutPlan, FloodCallers, RETURN_DELAY, seconds};
pub use limits_fleet::{LimitsFleet, rate_limit};
pub use memory_table::{MemoryTable, TableFault};
pub use rate_audit::RateAudit;
pub use simulated_fleet::{SECOND, SimulatedFleet, ZONES};
pub use simulated_node::SimulatedNode;
