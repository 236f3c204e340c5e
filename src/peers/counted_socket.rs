//! TCP connection between daemons that records arrivals, and counts its bytes if the peer is in another
//! zone.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::peers::ZoneTraffic;
use crate::peers::last_arrival::LastArrival;
use crate::peers::peer_admission::PeerAdmission;

/// Size of the reads whose bytes are discarded.
const DISCARD_BYTES: usize = 4 * 1024;

/// A connection that records when bytes arrive and counts its bytes; without counters it counts nothing.
pub(crate) struct CountedSocket {
    socket: TcpStream,
    last_arrival: LastArrival,
    traffic: Option<Rc<ZoneTraffic>>,
    /// Limits what arrives on an incoming connection; none on an outgoing one.
    admission: Option<PeerAdmission>,
    /// Whether the shutdown of the sending side ends only when the peer has ended its side too.
    discards_input: Rc<Cell<bool>>,
    is_shut_down: bool,
}

impl CountedSocket {
    pub(crate) fn open(
        socket: TcpStream,
        last_arrival: LastArrival,
        traffic: Option<Rc<ZoneTraffic>>,
    ) -> Self {
        Self {
            socket,
            last_arrival,
            traffic,
            admission: None,
            discards_input: Rc::default(),
            is_shut_down: false,
        }
    }

    /// Counts what arrives for `admission`.
    pub(crate) fn limited_by(mut self, admission: PeerAdmission) -> Self {
        self.admission = Some(admission);
        self
    }

    /// Returns the switch that makes the shutdown of the sending side discard what arrives until the
    /// peer has ended its side too.
    pub(crate) fn discards_input(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.discards_input)
    }

    /// Reads to the end of the input.
    fn poll_discard(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut space);
            ready!(self.as_mut().poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn count(&self, sent: usize, received: usize) {
        if let Some(traffic) = &self.traffic {
            traffic.add_socket_bytes(sent, received);
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.last_arrival.record();
        }
        self.count(0, received);
        if let Some(admission) = &self.admission {
            admission.add_bytes(received)?;
        }
        polled
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.count(written, 0);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        if let Poll::Ready(Ok(written)) = polled {
            self.count(written, 0);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
            self.is_shut_down = true;
        }
        match self.discards_input.get() {
            true => self.poll_discard(context),
            false => Poll::Ready(Ok(())),
        }
    }
}
