//! The command lines of the slopes.

use argh::FromArgs;

use crate::slopes::slope_subject::SlopeSubject;

/// Measures every part at several sizes, each in a process of its own.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopeCommand {
    /// measure this subject alone
    #[argh(option)]
    pub subject: Option<SlopeSubject>,
}

/// Measures one part at one size and prints JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slope-point")]
pub struct SlopePointCommand {
    /// what is measured
    #[argh(option)]
    pub subject: SlopeSubject,
    /// its size
    #[argh(option)]
    pub size: usize,
}
