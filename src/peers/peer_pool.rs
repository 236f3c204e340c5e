//! Pool of outgoing connections to other daemons: one for each address, opened on first use.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::lock::Mutex;

use crate::hash::FastMap;
use crate::peers::{FleetKey, PeerConnection, PeerError, PeerStream, TrafficPurpose, ZoneTraffic};
use crate::wire::{PeerCall, PeerOpening, PeerReply};

/// The connection to one address. The lock is held while it is opened, so that concurrent users wait for
/// one connection and don't open several.
type ConnectionSlot = Rc<Mutex<SlotState>>;

/// What is known of the connection to one address.
#[derive(Default)]
enum SlotState {
    /// It was never opened.
    #[default]
    Unused,
    /// It was opened, and may have failed since.
    Open(PeerConnection),
    /// It could not be opened at this time, for this reason.
    Failed(Instant, ErrorKind),
}

/// Pool of outgoing connections. Clones share the connections.
#[derive(Clone)]
pub struct PeerPool {
    key: FleetKey,
    traffic: Rc<ZoneTraffic>,
    connections: Rc<RefCell<FastMap<SocketAddr, ConnectionSlot>>>,
}

impl PeerPool {
    /// Creates an empty pool whose connections authenticate with `key`.
    #[must_use]
    pub fn open(key: FleetKey) -> Self {
        Self::open_counted(key, Rc::default())
    }

    /// As `open`, and counts what goes to and comes from other zones in `traffic`.
    #[must_use]
    pub fn open_counted(key: FleetKey, traffic: Rc<ZoneTraffic>) -> Self {
        Self {
            key,
            traffic,
            connections: Rc::default(),
        }
    }

    /// The counters of the bytes between zones.
    #[must_use]
    pub fn traffic(&self) -> &ZoneTraffic {
        &self.traffic
    }

    /// Opens a stream to the daemon at `address`, on a new connection if the present one opens no more
    /// streams.
    ///
    /// # Errors
    /// `PeerError::Connect` or `PeerError::Unsent` if the daemon cannot be reached.
    pub async fn open_stream(&self, address: SocketAddr) -> Result<PeerStream, PeerError> {
        let connection = self.connection(address).await?;
        match connection.open_stream().await {
            Ok(stream) => Ok(stream),
            Err(_) => self.connection(address).await?.open_stream().await,
        }
    }

    /// Sends a call to the daemon at `address` and waits for the reply.
    ///
    /// # Errors
    /// `PeerError::Timeout` if there is no reply within `timeout`, or another `PeerError` if the
    /// connection or the stream fails. The peer may have executed the call all the same, unless
    /// [`PeerError::is_undelivered`] says otherwise.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        actix_rt::time::timeout(timeout, self.exchange(address, call))
            .await
            .unwrap_or(Err(PeerError::Timeout))
    }

    /// Makes later streams to `address` use a new connection, because the present one may have gone
    /// silent. The streams that are open on it go on; it is closed when its pings fail.
    pub fn retire(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    /// Sends a call to the daemon at `address` and returns the stream on which it replies.
    ///
    /// # Errors
    /// `PeerError` if the connection or the stream fails.
    pub async fn open_call(
        &self,
        address: SocketAddr,
        call: PeerCall,
    ) -> Result<PeerStream, PeerError> {
        let mut stream = self.open_stream(address).await?;
        let opening = PeerOpening::Call(call);
        stream.set_purpose(TrafficPurpose::of(&opening));
        stream.send(&opening).await?;
        stream.finish()?;
        Ok(stream)
    }

    async fn exchange(&self, address: SocketAddr, call: PeerCall) -> Result<PeerReply, PeerError> {
        let mut stream = self.open_call(address, call).await?;
        stream.receive_required().await
    }

    /// Returns the connection to `address`, opened if need be. Those who waited while it could not be
    /// opened get the same error: each attempt of their own could take as long.
    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let slot = Rc::clone(self.connections.borrow_mut().entry(address).or_default());
        let asked_at = Instant::now();
        let mut state = slot.lock().await;
        match &*state {
            SlotState::Open(connection) if connection.is_alive() => return Ok(connection.clone()),
            SlotState::Failed(failed_at, kind) if *failed_at >= asked_at => {
                return Err(PeerError::Connect((*kind).into()));
            }
            _ => {}
        }
        match PeerConnection::open(address, &self.key, &self.traffic).await {
            Ok(connection) => {
                *state = SlotState::Open(connection.clone());
                Ok(connection)
            }
            Err(cause) => {
                *state = SlotState::Failed(Instant::now(), error_kind(&cause));
                Err(cause)
            }
        }
    }
}

fn error_kind(cause: &PeerError) -> ErrorKind {
    match cause {
        PeerError::Connect(cause) => cause.kind(),
        _ => ErrorKind::ConnectionAborted,
    }
}
