//! Loopback relay for TCP and UDP that injects delays, resets, one-way loss and silent connections.

mod relay_handle;
mod relay_mode;
mod tcp_relay;
mod udp_relay;

pub use relay_handle::RelayHandle;
pub use relay_mode::RelayMode;
