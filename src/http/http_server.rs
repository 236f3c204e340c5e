//! An HTTP/1.1 listener with a graceful end.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::{LocalBoxFuture, select};
use tokio::sync::oneshot;

use crate::http::ClosingGuard;
use crate::http::signaling_stream::SignalingStream;
use crate::logs::part;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a listener waits for what a client does next.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimeouts {
    /// How long a connection may be idle.
    pub keep_alive: Duration,
    /// How long the head of a request may take.
    pub request_head: Duration,
}

impl Default for HttpTimeouts {
    /// Usual values of HTTP servers: half a minute and ten seconds.
    fn default() -> Self {
        Self {
            keep_alive: Duration::from_secs(30),
            request_head: Duration::from_secs(10),
        }
    }
}

/// Answers one request.
pub type HttpHandler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// A running HTTP listener.
///
/// Dropping it stops listening: connections that were waiting to be accepted are served, and
/// open ones go on.
pub struct HttpServer {
    address: SocketAddr,
    closing: Rc<Cell<usize>>,
    _open: oneshot::Sender<()>,
}

impl HttpServer {
    /// Binds `address` and answers each request by `handler`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind(address: SocketAddr, handler: HttpHandler) -> io::Result<Self> {
        Self::bind_with(address, handler, HttpTimeouts::default()).await
    }

    /// Binds `address`, keeps to `timeouts`, and answers each request by `handler`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind_with(
        address: SocketAddr,
        handler: HttpHandler,
        timeouts: HttpTimeouts,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let closing = Rc::new(Cell::new(0));
        let (open, closed) = oneshot::channel();
        let serving = serve_until(listener, handler, timeouts, Rc::clone(&closing), closed);
        actix_rt::spawn(serving);
        Ok(Self {
            address,
            closing,
            _open: open,
        })
    }

    /// The address bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that were told to close and have not ended yet; the count outlives the listener.
    #[must_use]
    pub fn closing_connections(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.closing)
    }
}

async fn serve_until(
    listener: TcpListener,
    handler: HttpHandler,
    timeouts: HttpTimeouts,
    closing: Rc<Cell<usize>>,
    closed: oneshot::Receiver<()>,
) {
    let answer = fn_service(move |request: Request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let factory = HttpService::build()
        .keep_alive(timeouts.keep_alive)
        .client_request_timeout(timeouts.request_head)
        .on_connect_ext(move |stream: &SignalingStream, data| {
            data.insert(ClosingGuard::open(Rc::clone(&closing)));
            data.insert(stream.disconnect_signal());
        })
        .h1(answer);
    let Ok(service) = factory.new_service(()).await else {
        log::error!(target: part::DAEMON, "Cannot set up the HTTP service.");
        return;
    };
    let service = Rc::new(service);
    let serve = |socket: TcpStream| {
        // Without this a small answer can wait for a delayed acknowledgement.
        let _ = socket.set_nodelay(true);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let peer = socket.peer_addr().ok();
            let _ = service.call((SignalingStream::open(socket), peer)).await;
        });
    };
    {
        let accepting = pin!(accept(&listener, &serve));
        select(accepting, closed).await;
    }
    serve_waiting(listener, &serve);
}

async fn accept(listener: &TcpListener, serve: &impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => serve(socket),
            Err(cause) => {
                log::warn!(target: part::DAEMON, cause:%; "Cannot accept a connection.");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closing the listener would reset the connections that wait in its queue.
fn serve_waiting(listener: TcpListener, serve: &impl Fn(TcpStream)) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((socket, _)) = listener.accept() {
        if socket.set_nonblocking(true).is_ok()
            && let Ok(socket) = TcpStream::from_std(socket)
        {
            serve(socket);
        }
    }
}
