//! Loopback addresses that no other process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to sockets without one.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// A loopback address of this process alone, so that parallel tests cannot take its ports.
pub fn free_host() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.wrapping_add(1), middle, low))
}

/// An address whose port is free for TCP and UDP; never the same one twice.
pub fn free_address() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(free_host(), port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
