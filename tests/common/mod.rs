//! The environment that tests share.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod memory_platform;
mod scratch_dir;

pub use memory_platform::{MemoryMode, MemoryPlatform};
pub use scratch_dir::ScratchDir;
