//! The command line of the measuring tool.

use argh::FromArgs;

use crate::measure_name::MeasureName;
use crate::slopes::{SlopeCommand, SlopePointCommand};
use crate::user_shape::UserShape;

/// Measures real daemons against stand-ins, or the slopes of single parts.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// the user's shape: skupna or indexwerk
    #[argh(option, default = "UserShape::Skupna")]
    pub shape: UserShape,
    /// measure this alone; may be given several times
    #[argh(option)]
    pub only: Vec<MeasureName>,
    /// seed of the load and of the stand-ins
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON instead of a table
    #[argh(switch)]
    pub json: bool,
    /// measure the plain baseline: round robin, no ejection, static split of the rates
    #[argh(switch)]
    pub baseline: bool,
    /// measure single parts instead
    #[argh(subcommand)]
    pub command: Option<MeasureCommand>,
}

/// What else the tool does.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum MeasureCommand {
    /// Measures every part at several sizes.
    Slopes(SlopeCommand),
    /// Measures one part at one size.
    SlopePoint(SlopePointCommand),
}
