//! Connections between daemons: HTTP/2 streams of `bincode` messages, each with a message
//! authentication code.

mod close_signal;
mod connection_activity;
mod counted_socket;
mod fleet_key;
mod frame_codec;
mod incoming_connection;
mod last_arrival;
mod peer_admission;
mod peer_connection;
mod peer_error;
mod peer_listener;
mod peer_pool;
mod peer_receiver;
mod peer_sender;
mod peer_stream;
mod session_key;
mod stream_receiver;
mod stream_traffic;
mod traffic_purpose;
mod zone_traffic;

pub use fleet_key::{FleetKey, MAC_BYTES, Mac};
pub use peer_connection::PeerConnection;
pub use peer_error::PeerError;
pub use peer_listener::{PeerHandler, PeerListener};
pub use peer_pool::PeerPool;
pub use peer_receiver::PeerReceiver;
pub use peer_sender::PeerSender;
pub use peer_stream::PeerStream;
pub use session_key::SessionKey;
pub use traffic_purpose::TrafficPurpose;
pub use zone_traffic::{ZoneBytes, ZoneTraffic};

/// HTTP/2 flow control window of a stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// HTTP/2 flow control window of a connection, in bytes.
///
/// Large enough that streams whose receivers read nothing never block the other streams: it holds
/// the full windows of 4096 of them.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024 * 1024;
