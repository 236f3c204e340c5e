//! A small HTTP server over `actix-http`, used by every listener.

mod connection_mark;
mod http_server;
mod never_sent;
mod reply;

pub use connection_mark::ConnectionMark;
pub use http_server::{HttpHandler, HttpServer};
pub use never_sent::never_sent;
pub use reply::{BodyError, json, read_body, text};
