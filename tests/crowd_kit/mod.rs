//! A crowd of clients that read no responses, and a daemon that it presses.
#![allow(dead_code, reason = "each test file uses a part")]

mod client_crowd;
mod crowd_desk;

pub use client_crowd::{ClientCrowd, CrowdInput};
pub use crowd_desk::CrowdDesk;
