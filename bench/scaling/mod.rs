//! Slopes of single parts: what state, processor time and messages cost as sizes grow.

mod catalog_slope;
mod codec_slope;
#[path = "../../tests/gossip_net/mod.rs"]
mod gossip_net;
mod member_slope;
mod picker_slope;
mod queue_slope;
mod record_slope;
mod slope_command;
mod slope_figure;
mod slope_run;
mod slope_subject;
mod view_slope;

pub use slope_command::{SlopeCommand, SlopePointCommand};
pub use slope_run::{run_all, run_point};
