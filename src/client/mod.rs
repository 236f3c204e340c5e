//! The operators' command-line client: argument parsing, HTTP calls to a daemon and output.

mod api_client;
mod change_watcher;
mod client_error;
mod command_line;
mod command_runner;
mod resource_fields;
mod text_table;

pub use api_client::{ApiClient, ClientChange};
pub use change_watcher::ChangeWatcher;
pub use client_error::ClientError;
pub use command_line::{ClientCommand, CommandLine};
pub use command_runner::run;
pub use resource_fields::{FieldError, merge_fields};
pub use text_table::TextTable;
