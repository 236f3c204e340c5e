//! The daemon: its command line and how its parts are wired together.

mod command_line;

pub use command_line::CommandLine;
