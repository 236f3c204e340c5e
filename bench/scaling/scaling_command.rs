//! Subcommands of the scaling benchmarks.

use argh::FromArgs;

use crate::scaling::scaling_subject::ScalingSubject;

/// Measures every component at several sizes, each in a separate process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct ScalingCommand {
    /// measure only this component
    #[argh(option)]
    pub subject: Option<ScalingSubject>,
}

/// Measures one component at one size and prints JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slope-point")]
pub struct ScalingPointCommand {
    /// component to measure
    #[argh(option)]
    pub subject: ScalingSubject,
    /// input size
    #[argh(option)]
    pub size: usize,
}
