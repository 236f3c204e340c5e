//! Listener for connections from other daemons.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use futures_util::future::{Either, LocalBoxFuture, select};
use tokio::sync::watch;

use crate::http::{ConnectionLimits, ServerConnections};
use crate::logs::log_target;
use crate::peers::close_signal::CloseSignal;
use crate::peers::incoming_connection::{IncomingShare, serve_connection};
use crate::peers::peer_admission::PeerAdmission;
use crate::peers::{FleetKey, PeerStream, ZoneTraffic};
use crate::time::{Deadline, ProcessClock};
use crate::wire::PeerOpening;

/// Callback that handles one stream. It gets the first message, which has been read already.
pub type PeerHandler = Rc<dyn Fn(PeerOpening, PeerStream) -> LocalBoxFuture<'static, ()>>;

/// Handle of a running listener. Dropping it stops accepting connections; open ones continue.
pub struct PeerListener {
    address: SocketAddr,
    refused_messages: Rc<Cell<u64>>,
    /// Tells the connections to close. Each holds a receiver until it has ended.
    closing: watch::Sender<bool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl PeerListener {
    /// Binds `address` and passes each stream to `handler` once its first message is authenticated.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        key: FleetKey,
        handler: PeerHandler,
    ) -> io::Result<Self> {
        Self::bind_counted(address, key, handler, Rc::default()).await
    }

    /// As `bind`, and counts what goes to and comes from other zones in `traffic`.
    ///
    /// # Errors
    /// As `bind`.
    pub async fn bind_counted(
        address: SocketAddr,
        key: FleetKey,
        handler: PeerHandler,
        traffic: Rc<ZoneTraffic>,
    ) -> io::Result<Self> {
        let unauthenticated =
            ServerConnections::open("peers", ConnectionLimits::unauthenticated(None));
        Self::bind_limited(address, key, handler, traffic, unauthenticated).await
    }

    /// As `bind_counted`; `unauthenticated` bounds the connections on which no message is authenticated yet.
    ///
    /// # Errors
    /// As `bind`.
    pub async fn bind_limited(
        address: SocketAddr,
        key: FleetKey,
        handler: PeerHandler,
        traffic: Rc<ZoneTraffic>,
        unauthenticated: ServerConnections,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let refused_messages = Rc::new(Cell::new(0));
        let (sender, closing) = CloseSignal::open();
        let share = IncomingShare {
            key,
            handler,
            refused_messages: Rc::clone(&refused_messages),
            traffic,
            closing,
            unauthenticated,
        };
        let task = actix_rt::spawn(accept_connections(listener, share));
        Ok(Self {
            address,
            refused_messages,
            closing: sender,
            task,
        })
    }

    /// Closes the listener and each connection in order, so that its peer gets all that was sent to it:
    /// the peer is told to open no more streams, the connection is flushed and its sending side shut
    /// down, and what arrives is discarded until the peer has closed it too.
    ///
    /// Returns when all connections have ended, at the latest when `deadline` has passed. A connection
    /// on which nothing arrives is not waited for.
    pub async fn close(&self, deadline: Deadline, clock: ProcessClock) {
        self.task.abort();
        self.closing.send_replace(true);
        let remaining = deadline.remaining(clock.now());
        let closed = actix_rt::time::timeout(remaining, self.closing.closed()).await;
        if closed.is_err() {
            log::warn!(target: log_target::PEERS, "Connections from peers cut off: they were not closed in time.");
        }
    }

    /// The address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of streams reset because their first message failed its authentication or was
    /// malformed.
    #[must_use]
    pub fn refused_messages(&self) -> u64 {
        self.refused_messages.get()
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections for as long as the listener exists.
async fn accept_connections(listener: TcpListener, share: IncomingShare) {
    loop {
        share.unauthenticated.wait_for_closed().await;
        match listener.accept().await {
            Ok((socket, peer)) => {
                let Some((slot, connection_closing)) = share.unauthenticated.accept() else {
                    continue;
                };
                let admission = PeerAdmission::open(slot);
                let serving = serve_connection(socket, share.clone(), admission.clone());
                actix_rt::spawn(async move {
                    let closing = admission.closed(connection_closing);
                    if let Either::Left((Err(cause), _)) =
                        select(pin!(serving), pin!(closing)).await
                    {
                        log::debug!(target: log_target::PEERS, peer:%, cause:%; "Connection from a peer failed.");
                    }
                });
            }
            // For example, too many open files. The pause keeps the loop from using a whole CPU.
            Err(cause) => {
                log::warn!(target: log_target::PEERS, cause:%; "Cannot accept a connection from a peer; retrying.");
                actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}
