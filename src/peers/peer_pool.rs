//! One connection to each peer, opened on demand.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::lock::Mutex;

use crate::hash::FastMap;
use crate::peers::{FleetKey, PeerConnection, PeerError, PeerStream};
use crate::wire::{PeerCall, PeerOpening, PeerReply};

type ConnectionSlot = Rc<Mutex<Option<PeerConnection>>>;

/// Shares connections among all parts of the daemon; clones share the pool.
#[derive(Clone)]
pub struct PeerPool {
    key: FleetKey,
    slots: Rc<RefCell<FastMap<SocketAddr, ConnectionSlot>>>,
}

impl PeerPool {
    /// Opens an empty pool.
    #[must_use]
    pub fn open(key: FleetKey) -> Self {
        Self {
            key,
            slots: Rc::default(),
        }
    }

    /// Opens a stream to the daemon at `address`.
    ///
    /// # Errors
    /// `PeerError` when the daemon cannot be reached.
    pub async fn open_stream(&self, address: SocketAddr) -> Result<PeerStream, PeerError> {
        self.connection(address).await?.open_stream().await
    }

    /// Calls the daemon at `address` and waits for its reply.
    ///
    /// # Errors
    /// `PeerError::Timeout` after `timeout`; the call may have been carried out.
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

    async fn exchange(&self, address: SocketAddr, call: PeerCall) -> Result<PeerReply, PeerError> {
        let mut stream = self.open_stream(address).await?;
        stream.send(&PeerOpening::Call(call)).await?;
        stream.finish()?;
        stream.receive_required().await
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(address).or_default());
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| connection.is_alive()) {
            return Ok(connection.clone());
        }
        let connection = PeerConnection::open(address, &self.key).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }
}
