//! A loopback relay for TCP and UDP that can delay, cut, drop and silence traffic.

mod relay_handle;
mod relay_mode;
mod tcp_relay;
mod udp_relay;

pub use relay_handle::RelayHandle;
pub use relay_mode::RelayMode;
