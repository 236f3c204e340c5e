//! Listener for connections from other daemons.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::RecvStream;
use h2::server::{Connection, SendResponse};

use crate::logs::log_target;
use crate::peers::counted_socket::CountedSocket;
use crate::peers::frame_codec::StreamSide;
use crate::peers::peer_connection::count_hello;
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{
    CONNECTION_WINDOW_BYTES, FleetKey, PeerError, PeerStream, STREAM_WINDOW_BYTES, SessionKey,
    TrafficPurpose, ZoneTraffic,
};
use crate::wire::PeerOpening;

/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 4096;

/// Callback that handles one stream. It gets the first message, which has been read already.
pub type PeerHandler = Rc<dyn Fn(PeerOpening, PeerStream) -> LocalBoxFuture<'static, ()>>;

/// Handle of a running listener. Dropping it stops accepting connections; open ones continue.
pub struct PeerListener {
    address: SocketAddr,
    refused_messages: Rc<Cell<u64>>,
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let refused_messages = Rc::new(Cell::new(0));
        let count = Rc::clone(&refused_messages);
        let task = actix_rt::spawn(accept_connections(listener, key, handler, count, traffic));
        Ok(Self {
            address,
            refused_messages,
            task,
        })
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
async fn accept_connections(
    listener: TcpListener,
    key: FleetKey,
    handler: PeerHandler,
    refused_messages: Rc<Cell<u64>>,
    traffic: Rc<ZoneTraffic>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let serving = serve_connection(
                    socket,
                    key.clone(),
                    Rc::clone(&handler),
                    Rc::clone(&refused_messages),
                    Rc::clone(&traffic),
                );
                actix_rt::spawn(async move {
                    if let Err(cause) = serving.await {
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

/// Derives the connection's key and serves its streams until it ends.
async fn serve_connection(
    mut socket: TcpStream,
    key: FleetKey,
    handler: PeerHandler,
    refused_messages: Rc<Cell<u64>>,
    traffic: Rc<ZoneTraffic>,
) -> Result<(), PeerError> {
    socket.set_nodelay(true).map_err(PeerError::Connect)?;
    let session = SessionKey::accept(&key, traffic.own_tag(), &mut socket)
        .await
        .map_err(PeerError::Connect)?;
    let traffic = count_hello(&session, &traffic);
    let socket = CountedSocket::open(socket, traffic.clone());
    let mut connection: Connection<CountedSocket, Bytes> = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let stream = open_stream(&session, request.into_body(), respond, traffic.as_ref());
        let stream = match stream {
            Ok(stream) => stream,
            // The peer may have cancelled the stream; the others go on.
            Err(cause) => {
                log::debug!(target: log_target::PEERS, cause:%; "Stream of a peer ended before it was accepted.");
                continue;
            }
        };
        let (handler, count) = (Rc::clone(&handler), Rc::clone(&refused_messages));
        actix_rt::spawn(serve_stream(stream, handler, count));
    }
    Ok(())
}

fn open_stream(
    session: &SessionKey,
    receiver: RecvStream,
    mut respond: SendResponse<Bytes>,
    traffic: Option<&Rc<ZoneTraffic>>,
) -> Result<PeerStream, PeerError> {
    let sender = respond.send_response(http::Response::new(()), false)?;
    let receiver = StreamReceiver::Open(receiver);
    Ok(PeerStream::open(
        session.key(),
        StreamSide::Acceptor,
        sender,
        receiver,
        None,
        traffic,
    ))
}

/// Reads the first message and passes the stream to `handler`; resets the stream if the message is
/// not valid.
async fn serve_stream(
    mut stream: PeerStream,
    handler: PeerHandler,
    refused_messages: Rc<Cell<u64>>,
) {
    match stream.receive_required().await {
        Ok(opening) => {
            stream.set_purpose(TrafficPurpose::of(&opening));
            handler(opening, stream).await;
        }
        Err(
            PeerError::AuthenticationFailed | PeerError::Codec(_) | PeerError::UnexpectedMessage,
        ) => {
            refused_messages.set(refused_messages.get() + 1);
            log::warn!(target: log_target::PEERS, "Stream of a peer reset: its first message failed authentication or is malformed.");
            stream.reset();
        }
        Err(_) => {}
    }
}
