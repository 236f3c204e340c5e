//! What the tests of the rate limits share.
#![allow(dead_code, reason = "each test file uses a part")]

mod limits_fleet;
mod memory_table;

pub use limits_fleet::{LimitsFleet, rate_limit};
pub use memory_table::MemoryTable;
