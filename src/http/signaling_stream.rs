//! TCP stream that detects the client's disconnect while a request is being served.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::DisconnectSignal;

/// A TCP stream that sets a `DisconnectSignal` at the end of its input or on a read error.
#[derive(Debug)]
pub(crate) struct SignalingStream {
    socket: TcpStream,
    disconnect_signal: DisconnectSignal,
}

impl SignalingStream {
    pub(crate) fn open(socket: TcpStream) -> Self {
        Self {
            socket,
            disconnect_signal: DisconnectSignal::default(),
        }
    }

    pub(crate) fn disconnect_signal(&self) -> DisconnectSignal {
        self.disconnect_signal.clone()
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
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
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
