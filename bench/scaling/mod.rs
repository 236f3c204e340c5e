//! Scaling benchmarks: memory, processor time and message size of single components by input size.

mod catalog_scaling;
mod codec_scaling;
#[path = "../../tests/gossip_net/mod.rs"]
mod gossip_net;
mod member_scaling;
mod picker_scaling;
mod queue_scaling;
mod record_scaling;
mod scaling_command;
mod scaling_figure;
mod scaling_run;
mod scaling_subject;
mod view_scaling;

pub use scaling_command::{ScalingCommand, ScalingPointCommand};
pub use scaling_run::{measure_all, measure_point};
