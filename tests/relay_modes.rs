//! Tests the loopback relay: delays, limited rates, resets, one-way loss and silent connections.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use common::{RelayHandle, RelayMode, free_address};

/// Traffic that does not arrive within this time counts as held.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// Starts a TCP server that echoes every byte.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(free_address()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            thread::spawn(move || std::io::copy(&mut socket.try_clone().unwrap(), &mut socket));
        }
    });
    address
}

/// Sends `ping` and waits up to `limit` for its echo.
fn exchange(socket: &mut TcpStream, limit: Duration) -> std::io::Result<()> {
    socket.set_read_timeout(Some(limit))?;
    socket.write_all(b"ping")?;
    receive(socket)
}

fn receive(socket: &mut TcpStream) -> std::io::Result<()> {
    let mut answer = [0; 4];
    socket.read_exact(&mut answer)?;
    assert_eq!(&answer, b"ping");
    Ok(())
}

/// Whether the relay holds the traffic of the connection.
fn is_held(socket: &mut TcpStream) -> bool {
    let held =
        exchange(socket, HOLD_TIME).is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock);
    socket.set_read_timeout(Some(common::PATIENCE)).unwrap();
    held
}

#[test]
fn delays_both_directions() {
    let relay = RelayHandle::bind(echo_server()).unwrap();
    let mut socket = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut socket, common::PATIENCE).unwrap();
    relay.set(RelayMode::Delay(50_000));
    let begun = Instant::now();
    exchange(&mut socket, common::PATIENCE).unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(100));
}

#[test]
fn limits_rate() {
    let relay = RelayHandle::bind(echo_server()).unwrap();
    let mut socket = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut socket, common::PATIENCE).unwrap();
    relay.set(RelayMode::Rate(100_000));
    let begun = Instant::now();
    socket.write_all(&[0; 40_000]).unwrap();
    socket.read_exact(&mut [0; 40_000]).unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(400));
}

#[test]
fn holds_one_direction() {
    let relay = RelayHandle::bind(echo_server()).unwrap();
    let mut socket = TcpStream::connect(relay.address()).unwrap();
    for mode in [RelayMode::DropForward, RelayMode::DropBack] {
        relay.set(mode);
        assert!(is_held(&mut socket), "{mode:?}");
        relay.set(RelayMode::Pass);
        receive(&mut socket).unwrap();
    }
}

#[test]
fn silenced_connection_stays_silent() {
    let relay = RelayHandle::bind(echo_server()).unwrap();
    let mut old = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut old, common::PATIENCE).unwrap();
    relay.set(RelayMode::Silent);
    let mut new = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut new, common::PATIENCE).unwrap();
    relay.set(RelayMode::Pass);
    assert!(is_held(&mut old));
}

#[test]
fn cut_resets() {
    let relay = RelayHandle::bind(echo_server()).unwrap();
    let mut old = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut old, common::PATIENCE).unwrap();
    relay.set(RelayMode::Cut);
    let cause = receive(&mut old).unwrap_err();
    assert_eq!(cause.kind(), ErrorKind::ConnectionReset);
    let new = TcpStream::connect(relay.address());
    assert!(new.is_err() || exchange(&mut new.unwrap(), common::PATIENCE).is_err());
    relay.set(RelayMode::Pass);
    let mut new = TcpStream::connect(relay.address()).unwrap();
    exchange(&mut new, common::PATIENCE).unwrap();
}

#[test]
fn datagrams_both_directions() {
    let target = UdpSocket::bind(free_address()).unwrap();
    let relay = RelayHandle::bind(target.local_addr().unwrap()).unwrap();
    let sender = UdpSocket::bind(free_address()).unwrap();
    let mut buffer = [0; 16];
    sender.send_to(b"one", relay.address()).unwrap();
    let (_, relay_address) = target.recv_from(&mut buffer).unwrap();
    target.send_to(b"two", relay_address).unwrap();
    assert_eq!(sender.recv_from(&mut buffer).unwrap().0, 3);
    relay.set(RelayMode::DropBack);
    target.send_to(b"lost", relay_address).unwrap();
    sender.set_read_timeout(Some(HOLD_TIME)).unwrap();
    assert!(sender.recv_from(&mut buffer).is_err());
}
