//! A connection that this daemon opened to another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::future::{Either, select};
use h2::PingPong;
use h2::client::{Connection, SendRequest};

use crate::logs::part;
use crate::peers::frame_codec::StreamSide;
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{
    CONNECTION_WINDOW_BYTES, FleetKey, PeerError, PeerStream, STREAM_WINDOW_BYTES, SessionKey,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// A live connection; clones share it.
#[derive(Clone)]
pub struct PeerConnection {
    key: SessionKey,
    opener: SendRequest<Bytes>,
    alive: Rc<Cell<bool>>,
}

impl PeerConnection {
    /// Connects to the daemon at `address`.
    ///
    /// # Errors
    /// `PeerError::Connect` when there is no connection in time; nothing was sent then.
    pub async fn open(address: SocketAddr, key: &FleetKey) -> Result<Self, PeerError> {
        actix_rt::time::timeout(CONNECT_TIMEOUT, Self::connect(address, key))
            .await
            .unwrap_or_else(|_| Err(PeerError::Connect(std::io::ErrorKind::TimedOut.into())))
    }

    async fn connect(address: SocketAddr, key: &FleetKey) -> Result<Self, PeerError> {
        let mut socket = TcpStream::connect(address)
            .await
            .map_err(PeerError::Connect)?;
        socket.set_nodelay(true).map_err(PeerError::Connect)?;
        let key = SessionKey::open(key, &mut socket)
            .await
            .map_err(PeerError::Connect)?;
        let (opener, mut connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await?;
        let alive = Rc::new(Cell::new(true));
        let pings = connection.ping_pong();
        actix_rt::spawn(drive(connection, pings, Rc::clone(&alive)));
        Ok(Self { key, opener, alive })
    }

    /// Whether the connection still answers pings.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Opens a stream on the connection.
    ///
    /// # Errors
    /// `PeerError::Stream` when the connection is gone.
    pub async fn open_stream(&self) -> Result<PeerStream, PeerError> {
        let mut opener = self.opener.clone().ready().await?;
        let mut request = http::Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://peer/");
        let (response, sender) = opener.send_request(request, false)?;
        let receiver = StreamReceiver::Waiting(response);
        Ok(PeerStream::open(
            self.key.key(),
            StreamSide::Opener,
            sender,
            receiver,
        ))
    }
}

type PeerSocket = Connection<TcpStream, Bytes>;

/// Runs the connection until it ends or goes silent; dropping it then fails every stream.
async fn drive(connection: PeerSocket, pings: Option<PingPong>, alive: Rc<Cell<bool>>) {
    let silence = std::pin::pin!(watch_silence(pings));
    match select(connection, silence).await {
        Either::Left((Ok(()), _)) => {}
        Either::Left((Err(cause), _)) => {
            log::debug!(target: part::PEERS, cause:% = cause; "Connection ended.");
        }
        Either::Right(_) => log::info!(target: part::PEERS, "Connection went silent, closed."),
    }
    alive.set(false);
}

/// Ends when a ping is not answered in time.
async fn watch_silence(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        actix_rt::time::sleep(PING_INTERVAL).await;
        let answer = pings.ping(h2::Ping::opaque());
        match actix_rt::time::timeout(PING_TIMEOUT, answer).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
