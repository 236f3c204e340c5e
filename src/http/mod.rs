//! A small HTTP server over `actix-http`, used by every listener.

mod caller_watch;
mod connection_mark;
pub mod header_rules;
mod http_server;
mod message_body;
mod never_sent;

mod watched_stream;

pub use caller_watch::CallerWatch;
pub use connection_mark::ConnectionMark;
pub use header_rules::{HeaderList, HeaderRules};
pub use http_server::{HttpHandler, HttpServer, HttpTimeouts};
pub use message_body::{BodyError, json_response, read_body, text_response};
pub use never_sent::never_sent;
