//! A small HTTP server over `actix-http`, used by every listener.

mod caller_watch;
mod connection_mark;
pub mod header_rules;
mod http_server;
mod never_sent;
mod reply;
mod watched_stream;

pub use caller_watch::CallerWatch;
pub use connection_mark::ConnectionMark;
pub use header_rules::{HeaderList, HeaderRules};
pub use http_server::{HttpHandler, HttpServer, HttpTimeouts};
pub use never_sent::never_sent;
pub use reply::{BodyError, json, read_body, text};
