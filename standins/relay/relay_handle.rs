//! The handle of a running relay.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread;

use tokio::sync::watch;

use super::relay_mode::RelayMode;
use super::{tcp_relay, udp_relay};

/// The mode, and how often the connections then open were silenced.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RelayState {
    pub(super) mode: RelayMode,
    pub(super) silences: u64,
}

/// A relay running on its own thread; dropping the handle stops the relay.
pub struct RelayHandle {
    address: SocketAddr,
    state: Option<watch::Sender<RelayState>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl RelayHandle {
    /// Binds a free port on the target's IP address and relays its TCP and UDP traffic to `to`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub fn bind(to: SocketAddr) -> io::Result<Self> {
        Self::bind_at(SocketAddr::new(to.ip(), 0), to)
    }

    /// Binds `listen` and relays its TCP and UDP traffic to `to`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub fn bind_at(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let (listener, socket) = bind_both(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        socket.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (state, receiver) = watch::channel(RelayState::default());
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::join!(
                    tcp_relay::run(listener, to, receiver.clone()),
                    udp_relay::run(socket, to, receiver)
                );
            });
        });
        Ok(Self {
            address,
            state: Some(state),
            thread: Some(thread),
        })
    }

    /// The listening address, which clients use in place of the target's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all traffic from now on.
    pub fn set(&self, mode: RelayMode) {
        let Some(state) = &self.state else { return };
        state.send_modify(|state| {
            state.mode = mode;
            state.silences += u64::from(mode == RelayMode::Silent);
        });
    }
}

impl Drop for RelayHandle {
    fn drop(&mut self) {
        self.state = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds the same port for TCP and UDP; with port 0, tries until a port is free for both.
fn bind_both(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind(listen)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            // Another process uses this UDP port; the next attempt gets another TCP port.
            Err(cause) if cause.kind() == io::ErrorKind::AddrInUse && listen.port() == 0 => {}
            Err(cause) => return Err(cause),
        }
    }
}
