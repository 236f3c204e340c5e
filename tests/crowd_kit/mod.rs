//! A crowd of clients that read no responses, and a daemon that it presses.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client_crowd;
mod crowd_desk;
mod crowd_load;

pub use client_crowd::{ClientCrowd, CrowdInput};
pub use crowd_desk::CrowdDesk;
pub use crowd_load::{CROWD, LARGE_CROWD, MOST, press_callers, usual_head};
