//! HTTP/1.1 connection to a backend instance, built on the codec of `actix-http`.
//!
//! The `awc` client is not used because it ends a truncated body like a complete one, and reports
//! a connection that broke after sending like one that was never established. This module tells
//! both apart.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead};
use actix_rt::net::TcpStream;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder};

use crate::egress::ConnectionRequests;
use crate::wire::FailureCause;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response's head, in bytes, with the informational responses before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Highest status that HTTP has. The codec rejects those below 100 but not those above this one.
const MAX_STATUS: u16 = 599;
/// Maximum number of bytes between two parts of a body: size, extension and end of a chunk, or the
/// trailers.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Longest part of a response that is read at once. Several copies of a part exist on its way to the caller.
const MAX_READ_BYTES: usize = 8 * 1024;

/// A connection on which a request can be sent or a response head received.
pub(crate) struct BackendConnection {
    socket: TcpStream,
    buffer: BytesMut,
    codec: ClientCodec,
    /// Timeout in the `Keep-Alive` header of the last response; none without the header.
    pub(crate) keep_alive: Option<Duration>,
    /// Whether the last request sent was a `HEAD` request, whose response has no body.
    is_head_request: bool,
    pub(crate) requests: ConnectionRequests,
}

/// A connection in the middle of a response: the head was received, the body follows.
pub(crate) struct BodyConnection {
    socket: TcpStream,
    buffer: BytesMut,
    codec: ClientPayloadCodec,
    keep_alive: Option<Duration>,
    requests: ConnectionRequests,
    /// Whether the end of the connection marks the end of the body.
    ends_with_connection: bool,
    /// Whether the body was read to its end.
    is_complete: bool,
}

/// What follows the head of a response.
pub(crate) enum BackendBody {
    /// No body. Holds the connection if it can be reused.
    Empty(Option<BackendConnection>),
    /// A body that is still to be read.
    Streaming(BodyConnection),
}

impl BackendConnection {
    /// Connects to the instance at `address` within `CONNECT_TIMEOUT`.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let socket = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket.set_nodelay(true)?;
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
            codec: ClientCodec::default(),
            keep_alive: None,
            is_head_request: false,
            requests: ConnectionRequests::default(),
        })
    }

    /// Whether the connection is open and has no unread bytes. Bytes that arrive between two
    /// requests belong to no request, so the connection must not be reused.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.socket.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request. After an error the instance may still have received it.
    pub(crate) async fn send(&mut self, head: RequestHead, body: &[u8]) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.is_head_request = head.method == Method::HEAD;
        let mut bytes = BytesMut::new();
        let head = RequestHeadType::Owned(head);
        self.codec.encode(Message::Item((head, size)), &mut bytes)?;
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes).await
    }

    /// Receives a response head, skipping informational (1xx) responses. Fails if it is larger than
    /// `MAX_HEAD_BYTES` or has a status that HTTP does not have.
    pub(crate) async fn receive(mut self) -> Result<(ResponseHead, BackendBody), FailureCause> {
        let mut received = self.buffer.len();
        let head = loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(|_| FailureCause::BadResponse)? {
                Some(head) if head.status.is_informational() => {}
                Some(head) if head.status.as_u16() > MAX_STATUS => {
                    return Err(FailureCause::BadResponse);
                }
                Some(head) => break head,
                None if received > MAX_HEAD_BYTES => return Err(FailureCause::BadResponse),
                None => received += read_more(&mut self.socket, &mut self.buffer).await?,
            }
        };
        self.keep_alive = keep_alive_of(&head);
        let is_bodiless = is_bodiless(self.is_head_request, &head);
        let body = match self.codec.message_type() {
            // The codec expects the body that the headers of a 304 describe, so it is not used again.
            MessageType::Payload | MessageType::Stream if is_bodiless => BackendBody::Empty(None),
            // The codec treats a response without a length as one without a body.
            MessageType::None if !is_bodiless && !is_framed(&head) => {
                BackendBody::Streaming(self.into_body(true))
            }
            MessageType::None => BackendBody::Empty(self.into_reusable()),
            kind @ (MessageType::Payload | MessageType::Stream) => {
                let is_stream = matches!(kind, MessageType::Stream);
                BackendBody::Streaming(self.into_body(is_stream && !is_framed(&head)))
            }
        };
        Ok((head, body))
    }

    fn into_body(self, ends_with_connection: bool) -> BodyConnection {
        BodyConnection {
            socket: self.socket,
            buffer: self.buffer,
            codec: self.codec.into_payload_codec(),
            keep_alive: self.keep_alive,
            requests: self.requests,
            ends_with_connection,
            is_complete: false,
        }
    }

    /// The connection, unless the instance asked to close it or sent surplus bytes.
    fn into_reusable(self) -> Option<Self> {
        let is_reusable = self.codec.keep_alive() && self.buffer.is_empty();
        is_reusable.then_some(self)
    }
}

impl BodyConnection {
    /// Waits for the next bytes of the body; none at its end.
    ///
    /// A body without a length is complete when the instance closes the connection in order; a
    /// reset truncates it.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, FailureCause> {
        if self.ends_with_connection {
            return self.next_unframed().await;
        }
        let mut received = 0;
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(|_| FailureCause::BadResponse)? {
                Some(item) => {
                    self.is_complete = item.is_none();
                    return Ok(item);
                }
                None if received > MAX_FRAMING_BYTES => return Err(FailureCause::BadResponse),
                None => received += read_more(&mut self.socket, &mut self.buffer).await?,
            }
        }
    }

    async fn next_unframed(&mut self) -> Result<Option<Bytes>, FailureCause> {
        if self.buffer.is_empty() {
            let mut buffer = (&mut self.buffer).limit(MAX_READ_BYTES);
            match self.socket.read_buf(&mut buffer).await {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(_) => return Err(FailureCause::ConnectionLost),
            }
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    /// The connection after the end of the body, even if surplus bytes follow; none if the body
    /// ended with the connection or was not read to its end.
    pub(crate) fn into_connection(self) -> Option<BackendConnection> {
        if self.ends_with_connection || !self.is_complete {
            return None;
        }
        Some(BackendConnection {
            socket: self.socket,
            buffer: self.buffer,
            codec: self.codec.into_message_codec(),
            keep_alive: self.keep_alive,
            is_head_request: false,
            requests: self.requests,
        })
    }

    /// The connection after the end of the body, if it can be reused.
    pub(crate) fn into_reusable(self) -> Option<BackendConnection> {
        self.into_connection()?.into_reusable()
    }
}

/// The `timeout` parameter of the `Keep-Alive` header, in whole seconds.
fn keep_alive_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get("keep-alive")?.to_str().ok()?;
    let parts = value.split(',').map(str::trim);
    let timeout = parts
        .filter_map(|part| part.strip_prefix("timeout="))
        .next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Whether a response has no body by its request method or status, whatever its headers say.
pub(crate) fn is_bodiless(is_head_request: bool, head: &ResponseHead) -> bool {
    is_head_request || matches!(head.status.as_u16(), 204 | 304)
}

/// Whether the headers tell where the body ends.
pub(crate) fn is_framed(head: &ResponseHead) -> bool {
    let headers = head.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Reads more bytes into `buffer` and returns their number.
async fn read_more(socket: &mut TcpStream, buffer: &mut BytesMut) -> Result<usize, FailureCause> {
    match socket.read_buf(&mut buffer.limit(MAX_READ_BYTES)).await {
        Ok(0) | Err(_) => Err(FailureCause::ConnectionLost),
        Ok(count) => Ok(count),
    }
}
