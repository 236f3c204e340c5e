//! The environment that tests share.
#![allow(dead_code, reason = "each test file uses a part")]

mod scratch_dir;

pub use scratch_dir::ScratchDir;
