//! HTTP/1.1 server over `actix-http`, with helpers for headers, bodies and client errors.

mod busy_connection;
mod chunk_scanner;
mod client_connection;
mod connection_closing;
mod connection_limits;
mod connection_table;
mod disconnect_signal;
mod gated_payload;
mod head_scanner;
pub mod header_rules;
mod http_server;
mod idle_closing;
mod late_connections;
mod message_body;
mod never_sent;
mod pending_body;
mod receive_window;
mod request_gate;
mod server_connections;
mod signaling_stream;

pub use busy_connection::BusyConnection;
pub(crate) use client_connection::ServerFull;
pub(crate) use connection_closing::ConnectionClosing;
pub use connection_limits::ConnectionLimits;
pub use connection_table::{
    AcceptedConnection, ConnectionCounts, ConnectionId, ConnectionTable, ConnectionWait,
    IDLE_BYTES, MemoryChange, MemoryGrowth,
};
pub use disconnect_signal::DisconnectSignal;
pub use header_rules::{HeaderList, HeaderRules};
pub use http_server::{HttpHandler, HttpServer, HttpTimeouts};
pub use idle_closing::IdleClosing;
pub(crate) use late_connections::LateConnection;
pub use late_connections::LateConnections;
pub use message_body::{BodyError, json_response, read_body, read_body_with, text_response};
pub use never_sent::never_sent;
pub use request_gate::{BodyFraming, RequestGate};
pub(crate) use server_connections::ConnectionSlot;
pub use server_connections::{ConnectionLine, ServerConnections};
