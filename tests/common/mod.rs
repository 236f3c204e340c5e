//! The environment that tests share.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(unused_imports, reason = "each test file uses a part")]

mod backend_process;
mod caller_client;
mod child_process;
mod daemon_process;
mod desk_fleet;
mod desk_spec;
mod follower_net;
mod free_ports;
mod gated_egress;
mod memory_platform;
mod no_suspects;
mod patience;
#[path = "../../standins/relay/mod.rs"]
mod relay;
mod resource_client;
mod sample_offer;
mod scratch_dir;
mod test_fleet;

pub use backend_process::{BackendPlan, BackendProcess, RanRequest};
pub use caller_client::{CallerAnswer, CallerClient, CallerError};
pub use child_process::{ChildProcess, program};
pub use daemon_process::{DaemonPlan, DaemonProcess, FLEET_SECRET, OPERATOR_TOKEN};
pub use desk_fleet::DeskFleet;
pub use desk_spec::desk_spec;
pub use follower_net::{FollowerNet, key_hash};
pub use free_ports::{free_address, free_host};
pub use gated_egress::{GatedEgress, refusal};
pub use memory_platform::{MemoryMode, MemoryPlatform};
pub use no_suspects::no_suspects;
pub use patience::{PATIENCE, eventually};
pub use relay::{RelayHandle, RelayMode};
pub use resource_client::ResourceClient;
pub use sample_offer::sample_offer;
pub use scratch_dir::ScratchDir;
pub use test_fleet::{FleetPlan, TestFleet};
