//! The daemon process: command line, startup, settings reload and graceful shutdown.

mod command_line;
mod daemon_builder;
mod daemon_handle;
mod daemon_view;
mod listener_connections;
mod peer_calls;
mod protocol_adapters;
mod record_publisher;
mod run;
mod settings_watch;

pub use command_line::CommandLine;
pub use daemon_handle::DaemonHandle;
pub use protocol_adapters::ProtocolAdapters;
pub use run::{run, run_with};
