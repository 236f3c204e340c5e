//! Bounds what the kernel holds of the bytes that clients have sent and the server has not read.

use std::io;
use std::net::SocketAddr;

use actix_rt::net::{TcpListener, TcpStream};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
pub(crate) const ACCEPT_QUEUE: u32 = 128;
/// Receive buffer of a connection, in bytes. The kernel fills up to one and a half times as much.
const RECEIVE_BYTES: u32 = 16 * 1024;
/// Receive buffer of a connection whose client uploads a long body, in bytes.
const UPLOAD_BYTES: usize = 64 * 1024;
/// Length of a body from which it is long, in bytes.
pub(crate) const LONG_BODY_BYTES: u64 = RECEIVE_BYTES as u64;

/// Binds a listener whose connections have small receive buffers from the handshake on. A buffer that is
/// made smaller later drops what the client may send already.
pub(crate) fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Gives a connection the receive buffer for a long body.
pub(crate) fn widen(socket: &TcpStream) -> io::Result<()> {
    Ok(set_socket_recv_buffer_size(socket, UPLOAD_BYTES)?)
}
