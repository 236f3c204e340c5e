//! Admin HTTP server for operators: resource API, readiness, metrics and state dumps.

mod admin_server;
mod api_body;
mod api_error;
mod api_path;
mod change_event;
mod change_headers;
mod key_secret;
mod resource_api;

pub use admin_server::{AdminServer, AdminSources};
pub use api_body::{ChangeBody, ErrorBody, ListBody, ResourceBody};
pub use api_error::ApiError;
pub use api_path::ApiPath;
pub use change_event::{ChangeAction, ChangeEvent};
pub use change_headers::{ChangeHeaders, OPERATION_HEADER};
pub use key_secret::generate_operation_id;
