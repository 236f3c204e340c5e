//! TCP stream that lets one request at a time into the server, and detects a client that disconnects or
//! makes no progress.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::Sleep;
use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

use crate::http::client_connection::ClientConnection;
use crate::http::receive_window;
use crate::http::{DisconnectSignal, HttpTimeouts};
use crate::logs::log_target;

/// How often the end of the input is looked for behind bytes that wait. Where none wait, it is read at
/// once.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A TCP stream that passes on what its connection's gate admits, sets a `DisconnectSignal` at the end of
/// its input or on a read error, and fails when the client takes no bytes of the response, or does not end
/// a head, for too long.
pub(crate) struct SignalingStream {
    socket: TcpStream,
    disconnect_signal: DisconnectSignal,
    connection: ClientConnection,
    timeouts: HttpTimeouts,
    /// Bytes that arrived and that the gate has yet to admit.
    held: BytesMut,
    /// Ends when the client has taken no bytes for `write_progress`; none while it takes them.
    write_stalled: Option<Pin<Box<Sleep>>>,
    /// Ends when a head has not ended within `request_head`; none outside a head.
    head_stalled: Option<Pin<Box<Sleep>>>,
    /// Ends when the end of the input is to be looked for again; none while it is read.
    end_check: Option<Pin<Box<Sleep>>>,
}

impl SignalingStream {
    /// Wraps `socket`, the stream of `connection`.
    pub(crate) fn open(
        socket: TcpStream,
        timeouts: HttpTimeouts,
        connection: ClientConnection,
    ) -> Self {
        Self {
            socket,
            disconnect_signal: DisconnectSignal::default(),
            connection,
            timeouts,
            held: BytesMut::new(),
            write_stalled: None,
            head_stalled: None,
            end_check: None,
        }
    }

    /// Passes on the result of a write, or an error if the client has taken no bytes for too long.
    fn check_progress(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = written {
            self.write_stalled = None;
            if let Ok(bytes) = &written {
                self.connection.record_write(*bytes);
            }
            return Poll::Ready(written);
        }
        self.connection.record_blocked_write();
        let span = self.timeouts.write_progress;
        ready!(poll_stall(&mut self.write_stalled, span, context));
        let peer = self.socket.peer_addr().ok();
        log::info!(target: log_target::INGRESS, peer:?, span_ms = span.as_millis(); "Connection closed: the client takes no bytes of its response.");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    pub(crate) fn disconnect_signal(&self) -> DisconnectSignal {
        self.disconnect_signal.clone()
    }

    pub(crate) fn connection(&self) -> ClientConnection {
        self.connection.clone()
    }

    /// Reads into `buffer` what the gate admits.
    fn poll_admitted(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.take_widening()
            && let Err(cause) = receive_window::widen(&self.socket)
        {
            log::debug!(target: log_target::INGRESS, cause:%; "A long body is read with the usual receive buffer.");
        }
        if !self.connection.is_open() {
            return self.poll_end(context, buffer);
        }
        self.end_check = None;
        if !self.held.is_empty() {
            let length = self.held.len().min(buffer.remaining());
            let admitted = self.connection.admit(&self.held[..length]);
            buffer.put_slice(&self.held[..admitted]);
            self.held.advance(admitted);
            return Poll::Ready(self.check_memory());
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let arrived = &buffer.filled()[before..];
        let admitted = self.connection.admit(arrived);
        self.held.extend_from_slice(&arrived[admitted..]);
        buffer.set_filled(before + admitted);
        Poll::Ready(self.check_memory())
    }

    /// Looks for the end of the input while the gate is closed. Without bytes that wait, it is read; behind
    /// bytes that wait, only the socket's state shows it.
    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.set_waker(context.waker());
        if self.held.is_empty() {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
            self.held.extend_from_slice(&buffer.filled()[before..]);
            buffer.set_filled(before);
            if self.held.is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.set_held(self.held.len());
        }
        loop {
            let state = self.socket.ready(Interest::READABLE).now_or_never();
            if state.transpose()?.is_some_and(Ready::is_read_closed) {
                return Poll::Ready(Ok(()));
            }
            ready!(poll_stall(&mut self.end_check, END_CHECK_INTERVAL, context));
        }
    }

    /// An error if there is no memory for what has arrived of a head.
    fn check_memory(&self) -> io::Result<()> {
        match self.connection.set_held(self.held.len()) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    /// Fails when a head that has begun does not end in time.
    fn poll_head_stall(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.connection.has_unfinished_head() {
            self.head_stalled = None;
            return Poll::Pending;
        }
        let span = self.timeouts.request_head;
        ready!(poll_stall(&mut self.head_stalled, span, context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Waits until `stall`, which is set if there is none, has lasted for `span`; unsets it then.
fn poll_stall(
    stall: &mut Option<Pin<Box<Sleep>>>,
    span: Duration,
    context: &mut Context<'_>,
) -> Poll<()> {
    let sleep = stall.get_or_insert_with(|| Box::pin(actix_rt::time::sleep(span)));
    ready!(sleep.as_mut().poll(context));
    *stall = None;
    Poll::Ready(())
}

impl AsyncRead for SignalingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut read = self.poll_admitted(context, buffer);
        if read.is_pending() {
            read = self.poll_head_stall(context);
        }
        match &read {
            Poll::Ready(Ok(())) if buffer.filled().len() > before => {}
            Poll::Ready(_) => self.disconnect_signal.notify(),
            Poll::Pending => {}
        }
        read
    }
}

impl AsyncWrite for SignalingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.check_progress(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.connection.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.check_progress(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

impl ActixStream for SignalingStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket, context)
    }
}
