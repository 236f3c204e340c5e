//! Accepts connections from other daemons.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::RecvStream;
use h2::server::{Connection, SendResponse};

use crate::logs::part;
use crate::peers::frame_codec::StreamSide;
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{
    CONNECTION_WINDOW_BYTES, FleetKey, PeerError, PeerStream, STREAM_WINDOW_BYTES, SessionKey,
};
use crate::wire::PeerOpening;

const MAX_STREAMS: u32 = 4096;

/// Handles one stream, after its first message.
pub type PeerHandler = Rc<dyn Fn(PeerOpening, PeerStream) -> LocalBoxFuture<'static, ()>>;

/// A running listener for the other daemons; dropping it stops accepting.
pub struct PeerListener {
    address: SocketAddr,
    refused: Rc<Cell<u64>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl PeerListener {
    /// Binds `address` and hands each authenticated stream to `handler`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind(
        address: SocketAddr,
        key: FleetKey,
        handler: PeerHandler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let refused = Rc::new(Cell::new(0));
        let task = actix_rt::spawn(accept(listener, key, handler, Rc::clone(&refused)));
        Ok(Self {
            address,
            refused,
            task,
        })
    }

    /// The address bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections and streams dropped for a failed authentication or a malformed message.
    #[must_use]
    pub fn refused_messages(&self) -> u64 {
        self.refused.get()
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    key: FleetKey,
    handler: PeerHandler,
    refused: Rc<Cell<u64>>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let serving = serve(
                    socket,
                    key.clone(),
                    Rc::clone(&handler),
                    Rc::clone(&refused),
                );
                actix_rt::spawn(async move {
                    if let Err(cause) = serving.await {
                        log::debug!(target: part::PEERS, peer:%, cause:%; "Connection ended.");
                    }
                });
            }
            Err(cause) => {
                log::warn!(target: part::PEERS, cause:%; "Cannot accept a connection.");
                actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(
    mut socket: TcpStream,
    key: FleetKey,
    handler: PeerHandler,
    refused: Rc<Cell<u64>>,
) -> Result<(), PeerError> {
    socket.set_nodelay(true).map_err(PeerError::Connect)?;
    let session = SessionKey::accept(&key, &mut socket)
        .await
        .map_err(PeerError::Connect)?;
    let mut connection: Connection<TcpStream, Bytes> = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let stream = open_stream(&session, request.into_body(), respond)?;
        actix_rt::spawn(begin(stream, Rc::clone(&handler), Rc::clone(&refused)));
    }
    Ok(())
}

fn open_stream(
    session: &SessionKey,
    receiver: RecvStream,
    mut respond: SendResponse<Bytes>,
) -> Result<PeerStream, PeerError> {
    let sender = respond.send_response(http::Response::new(()), false)?;
    let receiver = StreamReceiver::Open(receiver);
    Ok(PeerStream::open(
        session.key(),
        StreamSide::Acceptor,
        sender,
        receiver,
    ))
}

async fn begin(mut stream: PeerStream, handler: PeerHandler, refused: Rc<Cell<u64>>) {
    match stream.receive_required().await {
        Ok(opening) => handler(opening, stream).await,
        Err(
            PeerError::AuthenticationFailed | PeerError::Codec(_) | PeerError::UnexpectedMessage,
        ) => {
            refused.set(refused.get() + 1);
            log::warn!(target: part::PEERS, "Message refused.");
            stream.reset();
        }
        Err(_) => {}
    }
}
