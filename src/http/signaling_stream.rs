//! TCP stream that detects a client that disconnects or reads nothing while it is being served.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::Sleep;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::{BusyConnection, DisconnectSignal};
use crate::logs::log_target;

/// A TCP stream that sets a `DisconnectSignal` at the end of its input or on a read error, and fails
/// when the client takes no bytes of the response for too long.
#[derive(Debug)]
pub(crate) struct SignalingStream {
    socket: TcpStream,
    disconnect_signal: DisconnectSignal,
    busy_connection: BusyConnection,
    /// Longest time that the client may take no bytes.
    write_progress: Duration,
    /// Ends when the client has taken no bytes for `write_progress`; none while it takes them.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl SignalingStream {
    /// Wraps `socket`, which is counted in `busy` while it is busy.
    pub(crate) fn open(socket: TcpStream, write_progress: Duration, busy: Rc<Cell<usize>>) -> Self {
        Self {
            socket,
            disconnect_signal: DisconnectSignal::default(),
            busy_connection: BusyConnection::open(busy),
            write_progress,
            stalled: None,
        }
    }

    /// Passes on the result of a write, or an error if the client has taken no bytes for too long.
    fn check_progress(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let span = self.write_progress;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(actix_rt::time::sleep(span)));
        ready!(stalled.as_mut().poll(context));
        let peer = self.socket.peer_addr().ok();
        log::info!(target: log_target::INGRESS, peer:?, span_ms = span.as_millis(); "Connection closed: the client takes no bytes of its response.");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    pub(crate) fn disconnect_signal(&self) -> DisconnectSignal {
        self.disconnect_signal.clone()
    }

    pub(crate) fn busy_connection(&self) -> BusyConnection {
        self.busy_connection.clone()
    }
}

impl AsyncRead for SignalingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
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
            self.busy_connection.record_flush();
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
