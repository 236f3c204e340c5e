//! One HTTP/1.1 connection to an instance, over `actix-http`'s codec.
//!
//! `awc` ends a cut body like a whole one, and reports a connection that broke after sending
//! like one that never came about; here both are told apart.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder};

use crate::wire::FailureCause;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection between two answers.
pub(crate) struct BackendConnection {
    socket: TcpStream,
    buffer: BytesMut,
    codec: ClientCodec,
    /// How long the instance keeps an idle connection, where it says so.
    pub(crate) keeps_for: Option<Duration>,
    /// Whether the last request sent was one whose answer has no body whatever its head says.
    is_head: bool,
}

/// A connection whose answer's body is still to come.
pub(crate) struct BodyConnection {
    socket: TcpStream,
    buffer: BytesMut,
    codec: ClientPayloadCodec,
    keeps_for: Option<Duration>,
    /// Whether the end of the connection is the end of the answer.
    ends_with_connection: bool,
}

/// What follows an answer's head.
pub(crate) enum ResponseBody {
    /// Nothing; the connection is free, if it may be used again.
    Empty(Option<BackendConnection>),
    /// A body.
    Streaming(BodyConnection),
}

impl BackendConnection {
    /// Connects to the instance at `address`.
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
            keeps_for: None,
            is_head: false,
        })
    }

    /// Whether it is open and silent: surplus bytes belong to no request of ours.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.socket.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request; a failure leaves open whether it arrived.
    pub(crate) async fn send(&mut self, head: RequestHead, body: &[u8]) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.is_head = head.method == Method::HEAD;
        let mut bytes = BytesMut::new();
        let head = RequestHeadType::Owned(head);
        self.codec.encode(Message::Item((head, size)), &mut bytes)?;
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes).await
    }

    /// Receives the answer's head.
    pub(crate) async fn receive(mut self) -> Result<(ResponseHead, ResponseBody), FailureCause> {
        let head = loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(|_| FailureCause::BadAnswer)? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => break head,
                None => read_more(&mut self.socket, &mut self.buffer).await?,
            }
        };
        self.keeps_for = keep_alive_of(&head);
        let rest = match self.codec.message_type() {
            // The codec takes an answer without a length for one without a body.
            MessageType::None if !is_bodiless(self.is_head, &head) && !is_framed(&head) => {
                ResponseBody::Streaming(self.into_body(true))
            }
            MessageType::None => ResponseBody::Empty(self.into_kept()),
            kind @ (MessageType::Payload | MessageType::Stream) => {
                let is_stream = matches!(kind, MessageType::Stream);
                ResponseBody::Streaming(self.into_body(is_stream && !is_framed(&head)))
            }
        };
        Ok((head, rest))
    }

    /// The connection as that of a body.
    fn into_body(self, ends_with_connection: bool) -> BodyConnection {
        BodyConnection {
            socket: self.socket,
            buffer: self.buffer,
            codec: self.codec.into_payload_codec(),
            keeps_for: self.keeps_for,
            ends_with_connection,
        }
    }

    /// Itself, unless surplus bytes or the instance's decision end it.
    fn into_kept(self) -> Option<Self> {
        let may_keep = self.codec.keep_alive() && self.buffer.is_empty();
        may_keep.then_some(self)
    }
}

impl BodyConnection {
    /// The next bytes of the body, or none at its end.
    ///
    /// An answer without a length ends when the instance closes the connection in good order; a
    /// reset cuts it.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, FailureCause> {
        if self.ends_with_connection {
            return self.next_unframed().await;
        }
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(|_| FailureCause::BadAnswer)? {
                Some(item) => return Ok(item),
                None => read_more(&mut self.socket, &mut self.buffer).await?,
            }
        }
    }

    async fn next_unframed(&mut self) -> Result<Option<Bytes>, FailureCause> {
        if self.buffer.is_empty() {
            match self.socket.read_buf(&mut self.buffer).await {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(_) => return Err(FailureCause::ConnectionLost),
            }
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    /// The connection after a body that is over, whatever follows on it.
    pub(crate) fn into_open(self) -> Option<BackendConnection> {
        if self.ends_with_connection {
            return None;
        }
        Some(BackendConnection {
            socket: self.socket,
            buffer: self.buffer,
            codec: self.codec.into_message_codec(),
            keeps_for: self.keeps_for,
            is_head: false,
        })
    }

    /// The connection after the whole body, if it may be used again.
    pub(crate) fn finish(self) -> Option<BackendConnection> {
        self.into_open()?.into_kept()
    }
}

/// The idle time that the instance grants, from its `Keep-Alive` header in whole seconds.
fn keep_alive_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get("keep-alive")?.to_str().ok()?;
    let parts = value.split(',').map(str::trim);
    let timeout = parts
        .filter_map(|part| part.strip_prefix("timeout="))
        .next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Whether an answer has no body, whatever its headers say.
pub(crate) fn is_bodiless(is_head: bool, head: &ResponseHead) -> bool {
    is_head || matches!(head.status.as_u16(), 204 | 304)
}

/// Whether its headers mark the end of an answer's body.
pub(crate) fn is_framed(head: &ResponseHead) -> bool {
    let headers = head.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn read_more(socket: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), FailureCause> {
    match socket.read_buf(buffer).await {
        Ok(0) | Err(_) => Err(FailureCause::ConnectionLost),
        Ok(_) => Ok(()),
    }
}
