//! Outgoing connection to another daemon.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::future::{Either, select};
use h2::PingPong;
use h2::client::{Connection, SendRequest};

use crate::logs::log_target;
use crate::peers::connection_activity::{ConnectionActivity, OpenStream};
use crate::peers::counted_socket::CountedSocket;
use crate::peers::frame_codec::StreamSide;
use crate::peers::last_arrival::LastArrival;
use crate::peers::session_key::HELLO_BYTES;
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{
    CONNECTION_WINDOW_BYTES, FleetKey, PeerError, PeerStream, STREAM_WINDOW_BYTES, SessionKey,
    ZoneTraffic,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the HTTP/2 pings that detect a dead connection while it has open streams.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// The connection is closed if nothing arrives for this time while a ping is unanswered. The reply alone
/// says little: on a loaded link of 10 Mbit/s it waits behind 1.9 MB for as long.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// An outgoing connection. Clones share it.
#[derive(Clone)]
pub struct PeerConnection {
    key: SessionKey,
    client: SendRequest<Bytes>,
    alive: Rc<Cell<bool>>,
    activity: Rc<ConnectionActivity>,
    /// None if the peer is in the own zone.
    traffic: Option<Rc<ZoneTraffic>>,
}

impl PeerConnection {
    /// Connects to the daemon at `address`.
    ///
    /// # Errors
    /// `PeerError::Connect` if the connection fails or takes longer than 1 s, and
    /// `PeerError::Stream` if the HTTP/2 handshake fails. No message was sent in either case.
    pub async fn open(
        address: SocketAddr,
        key: &FleetKey,
        traffic: &Rc<ZoneTraffic>,
    ) -> Result<Self, PeerError> {
        actix_rt::time::timeout(CONNECT_TIMEOUT, Self::connect(address, key, traffic))
            .await
            .unwrap_or_else(|_| Err(PeerError::Connect(std::io::ErrorKind::TimedOut.into())))
    }

    async fn connect(
        address: SocketAddr,
        key: &FleetKey,
        traffic: &Rc<ZoneTraffic>,
    ) -> Result<Self, PeerError> {
        let mut socket = TcpStream::connect(address)
            .await
            .map_err(PeerError::Connect)?;
        socket.set_nodelay(true).map_err(PeerError::Connect)?;
        let key = SessionKey::open(key, traffic.own_tag(), &mut socket)
            .await
            .map_err(PeerError::Connect)?;
        let traffic = count_hello(&key, traffic);
        let last_arrival = LastArrival::open();
        let socket = CountedSocket::open(socket, last_arrival.clone(), traffic.clone());
        let (client, mut connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await?;
        let alive = Rc::new(Cell::new(true));
        let pings = connection.ping_pong();
        let activity = Rc::new(ConnectionActivity::default());
        let silence = wait_for_silence(pings, Rc::clone(&activity), last_arrival);
        actix_rt::spawn(run_connection(connection, silence, Rc::clone(&alive)));
        Ok(Self {
            key,
            client,
            alive,
            activity,
            traffic,
        })
    }

    /// Whether the connection is open, answers pings and has opened all streams so far.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Opens a stream on the connection.
    ///
    /// # Errors
    /// `PeerError::Unsent` if the connection is closed, being closed by the peer, or broken. No further
    /// stream can be opened then.
    pub async fn open_stream(&self) -> Result<PeerStream, PeerError> {
        self.try_open_stream().await.map_err(|cause| {
            self.alive.set(false);
            PeerError::from(cause).unsent()
        })
    }

    async fn try_open_stream(&self) -> Result<PeerStream, h2::Error> {
        let mut client = self.client.clone().ready().await?;
        let mut request = http::Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://peer/");
        let (response, sender) = client.send_request(request, false)?;
        let receiver = StreamReceiver::AwaitingHead(response);
        Ok(PeerStream::open(
            self.key.key(),
            StreamSide::Opener,
            sender,
            receiver,
            Some(OpenStream::open(&self.activity)),
            self.traffic.as_ref(),
        ))
    }
}

/// Counts the hellos of a connection whose peer is in another zone; returns the counters then.
pub(crate) fn count_hello(
    session: &SessionKey,
    traffic: &Rc<ZoneTraffic>,
) -> Option<Rc<ZoneTraffic>> {
    let is_other = traffic.is_other(session.peer_zone());
    is_other.then(|| {
        traffic.add_socket_bytes(HELLO_BYTES, HELLO_BYTES);
        Rc::clone(traffic)
    })
}

type PeerSocket = Connection<CountedSocket, Bytes>;

/// Runs the connection until it ends or `silence` does. Dropping it then fails all its streams.
async fn run_connection(
    connection: PeerSocket,
    silence: impl Future<Output = ()>,
    alive: Rc<Cell<bool>>,
) {
    match select(connection, pin!(silence)).await {
        Either::Left((Ok(()), _)) => {}
        Either::Left((Err(cause), _)) => {
            log::debug!(target: log_target::PEERS, cause:% = cause; "Connection to a peer failed.");
        }
        Either::Right(_) => {
            log::info!(target: log_target::PEERS, "Connection went silent, closed.")
        }
    }
    alive.set(false);
}

/// Pings the peer periodically while streams are open. Returns when a ping fails, or when nothing has
/// arrived for `PING_TIMEOUT` while one is unanswered.
async fn wait_for_silence(
    pings: Option<PingPong>,
    activity: Rc<ConnectionActivity>,
    last_arrival: LastArrival,
) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        activity.wait_for_stream().await;
        actix_rt::time::sleep(PING_INTERVAL).await;
        let pong = pin!(pings.ping(h2::Ping::opaque()));
        let silence = pin!(last_arrival.wait_for_new_silence(PING_TIMEOUT));
        match select(pong, silence).await {
            Either::Left((Ok(_), _)) => {}
            Either::Left((Err(_), _)) | Either::Right(_) => return,
        }
    }
}
