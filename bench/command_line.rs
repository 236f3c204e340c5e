//! Command line of the benchmark tool.

use argh::FromArgs;

use crate::fleet_shape::FleetShape;
use crate::measure_name::MeasureName;
use crate::scaling::{ScalingCommand, ScalingPointCommand};

/// Measures real daemons with simulated backend servers, or how single components scale.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// size of the fleet: skupna or indexwerk
    #[argh(option, default = "FleetShape::Skupna")]
    pub shape: FleetShape,
    /// run only this measure; may be given several times
    #[argh(option)]
    pub only: Vec<MeasureName>,
    /// seed of the load and of the simulated backend servers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON instead of a table
    #[argh(switch)]
    pub json: bool,
    /// measure a baseline: round robin, no ejection, rates split statically among daemons
    #[argh(switch)]
    pub baseline: bool,
    /// measure single components instead
    #[argh(subcommand)]
    pub command: Option<MeasureCommand>,
}

/// Subcommands, which measure single components instead of a fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum MeasureCommand {
    /// Measures every component at several sizes.
    Scaling(ScalingCommand),
    /// Measures one component at one size.
    ScalingPoint(ScalingPointCommand),
}
