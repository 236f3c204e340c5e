//! Incoming connection from another daemon.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::future::{Either, select};
use h2::RecvStream;
use h2::server::{Connection, SendResponse};
use http::Request;

use crate::http::ServerConnections;
use crate::logs::log_target;
use crate::peers::close_signal::CloseSignal;
use crate::peers::counted_socket::CountedSocket;
use crate::peers::frame_codec::StreamSide;
use crate::peers::last_arrival::LastArrival;
use crate::peers::peer_admission::PeerAdmission;
use crate::peers::peer_connection::count_hello;
use crate::peers::peer_listener::PeerHandler;
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{
    CONNECTION_WINDOW_BYTES, FleetKey, PeerError, PeerStream, STREAM_WINDOW_BYTES, SessionKey,
    TrafficPurpose, ZoneTraffic,
};

/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 4096;
/// Maximum size of the headers of a stream, which say nothing.
const MAX_HEADER_BYTES: u32 = 4 * 1024;
/// Time for the calls that run when the connections are closed. Calls that are held until there is
/// news would run for longer.
const CALL_GRACE: Duration = Duration::from_millis(200);
/// Minimum time that a peer gets to close its side, however long it has been silent.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// A connection that is being closed is dropped when nothing has arrived on it for this time. A peer
/// that waits for a response sends a ping every 500 ms, or else window updates at least every 2 s if it
/// gets 1 MB/s; a peer that is gone must not delay the exit.
const CLOSE_SILENCE: Duration = Duration::from_secs(3);

/// A new stream: its request and what answers it, or why the connection failed.
type AcceptedStream = Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>;

/// What the connections of a listener share.
#[derive(Clone)]
pub(crate) struct IncomingShare {
    pub(crate) key: FleetKey,
    pub(crate) handler: PeerHandler,
    pub(crate) refused_messages: Rc<Cell<u64>>,
    pub(crate) traffic: Rc<ZoneTraffic>,
    pub(crate) closing: CloseSignal,
    /// The connections whose peers have not shown that they belong to the fleet.
    pub(crate) unauthenticated: ServerConnections,
}

/// Serves a connection until it ends. Once the listener closes its connections, this one ends in order
/// or when its peer has gone silent.
pub(crate) async fn serve_connection(
    socket: TcpStream,
    share: IncomingShare,
    admission: PeerAdmission,
) -> Result<(), PeerError> {
    let last_arrival = LastArrival::open();
    let mut closing = share.closing.clone();
    let silence = pin!(async {
        closing.wait().await;
        actix_rt::time::sleep(CLOSE_GRACE).await;
        last_arrival.wait_for_silence(CLOSE_SILENCE).await;
    });
    let serving = pin!(serve_streams(
        socket,
        share,
        last_arrival.clone(),
        admission
    ));
    match select(serving, silence).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            log::info!(target: log_target::PEERS, "Connection from a peer dropped: the peer is silent and does not close it.");
            Ok(())
        }
    }
}

/// Derives the connection's key and serves its streams until it ends.
///
/// When the listener closes its connections, the peer is told to open no more streams. The connection
/// ends after the streams that are open; the socket then discards what arrives until the peer ends it,
/// because the kernel would otherwise reset the connection and drop bytes on their way to the peer.
async fn serve_streams(
    mut socket: TcpStream,
    share: IncomingShare,
    last_arrival: LastArrival,
    admission: PeerAdmission,
) -> Result<(), PeerError> {
    socket.set_nodelay(true).map_err(PeerError::Connect)?;
    let session = SessionKey::accept(&share.key, share.traffic.own_tag(), &mut socket)
        .await
        .map_err(PeerError::Connect)?;
    let traffic = count_hello(&session, &share.traffic);
    let socket = CountedSocket::open(socket, last_arrival, traffic.clone());
    let socket = socket.limited_by(admission.clone());
    let discards_input = socket.discards_input();
    let mut connection: Connection<CountedSocket, Bytes> = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        // The default of 20 ended the connection, and all requests on it, when many callers left at once.
        .max_pending_accept_reset_streams(MAX_STREAMS as usize)
        .handshake(socket)
        .await?;
    let mut closing = share.closing.clone();
    while let Some(accepted) = next_stream(&mut connection, &mut closing, &discards_input).await {
        let (request, respond) = accepted?;
        admission.add_stream().map_err(PeerError::Connect)?;
        match open_stream(&session, request.into_body(), respond, traffic.as_ref()) {
            Ok(stream) => {
                actix_rt::spawn(serve_stream(stream, share.clone(), admission.clone()));
            }
            // The peer may have cancelled the stream; the others go on.
            Err(cause) => {
                log::debug!(target: log_target::PEERS, cause:%; "Stream of a peer ended before it was accepted.");
            }
        }
    }
    Ok(())
}

/// Accepts the next stream. Once the listener closes its connections, the peer is told so.
async fn next_stream(
    connection: &mut Connection<CountedSocket, Bytes>,
    closing: &mut CloseSignal,
    discards_input: &Cell<bool>,
) -> Option<AcceptedStream> {
    if !discards_input.get() {
        {
            let accepting = pin!(connection.accept());
            if let Either::Left((accepted, _)) = select(accepting, pin!(closing.wait())).await {
                return accepted;
            }
        }
        discards_input.set(true);
        connection.graceful_shutdown();
    }
    connection.accept().await
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

/// Handles one stream, for at most `CALL_GRACE` once the listener closes its connections.
async fn serve_stream(stream: PeerStream, share: IncomingShare, admission: PeerAdmission) {
    let mut closing = share.closing.clone();
    let cut_off = pin!(async {
        closing.wait().await;
        actix_rt::time::sleep(CALL_GRACE).await;
    });
    select(pin!(handle_stream(stream, share, admission)), cut_off).await;
}

/// Reads the first message and passes the stream to the handler; resets the stream if the message is
/// not valid.
async fn handle_stream(mut stream: PeerStream, share: IncomingShare, admission: PeerAdmission) {
    match stream.receive_required().await {
        Ok(opening) => {
            admission.trust();
            stream.set_purpose(TrafficPurpose::of(&opening));
            (share.handler)(opening, stream).await;
        }
        Err(
            PeerError::AuthenticationFailed | PeerError::Codec(_) | PeerError::UnexpectedMessage,
        ) => {
            let refused = &share.refused_messages;
            refused.set(refused.get() + 1);
            log::warn!(target: log_target::PEERS, "Stream of a peer reset: its first message failed authentication or is malformed.");
            stream.reset();
        }
        Err(_) => {}
    }
}
