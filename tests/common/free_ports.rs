//! Loopback addresses that no other process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// A loopback address of this process alone, so that parallel tests cannot take its ports.
pub fn free_host() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.wrapping_add(1), middle, low.max(2)))
}

/// An address whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind((free_host(), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
