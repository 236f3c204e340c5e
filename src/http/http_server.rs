//! HTTP/1.1 server with a graceful shutdown.

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
use futures_util::future::{Either, LocalBoxFuture, select};
use tokio::sync::oneshot;

use crate::http::client_connection::ClientConnection;
use crate::http::receive_window::{self, ACCEPT_QUEUE};
use crate::http::signaling_stream::SignalingStream;
use crate::http::{
    BusyConnection, ConnectionLimits, IdleClosing, LateConnections, ServerConnections,
};
use crate::logs::log_target;

/// Pause after a failed `accept`, so that a lasting error, such as too many open files, does not
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time in which the rest of a body that nobody reads is discarded after its answer. A connection that
/// is closed while the client sends is reset, and the client loses the answer.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the server waits for a client's next step.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimeouts {
    /// Longest time that a connection may be idle between requests.
    pub keep_alive: Duration,
    /// Longest time that the client may take to send a request's head: the first one from the accepted
    /// connection on, others from their first byte on.
    pub request_head: Duration,
    /// Longest time that the client may take no bytes of a response.
    pub write_progress: Duration,
}

impl Default for HttpTimeouts {
    /// Returns values that are usual for HTTP servers: 30 s keep-alive, 10 s for a request's head and
    /// 30 s for a response that makes no progress.
    fn default() -> Self {
        Self {
            keep_alive: Duration::from_secs(30),
            request_head: Duration::from_secs(10),
            write_progress: Duration::from_secs(30),
        }
    }
}

/// Handles one request and returns its response.
pub type HttpHandler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// A running HTTP server.
///
/// Dropping it closes the listener. Connections that wait in the accept queue are still accepted,
/// and open ones are served until they end.
pub struct HttpServer {
    address: SocketAddr,
    /// Number of busy connections.
    busy: Rc<Cell<usize>>,
    late: LateConnections,
    idle_closing: IdleClosing,
    /// Dropped with the server, which ends the accept loop.
    _listening: oneshot::Sender<()>,
}

impl HttpServer {
    /// Binds `address` and serves requests by `handler`, with the default timeouts.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn bind(address: SocketAddr, handler: HttpHandler) -> io::Result<Self> {
        Self::bind_with(address, handler, HttpTimeouts::default()).await
    }

    /// Binds `address` and serves requests by `handler`, with `timeouts`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn bind_with(
        address: SocketAddr,
        handler: HttpHandler,
        timeouts: HttpTimeouts,
    ) -> io::Result<Self> {
        let connections = ServerConnections::open("http", ConnectionLimits::default());
        Self::bind_limited(address, handler, timeouts, connections).await
    }

    /// Binds `address` and serves requests by `handler`, with `timeouts`, on `connections`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn bind_limited(
        address: SocketAddr,
        handler: HttpHandler,
        timeouts: HttpTimeouts,
        connections: ServerConnections,
    ) -> io::Result<Self> {
        let listener = receive_window::bind_listener(address)?;
        let address = listener.local_addr()?;
        let busy = Rc::new(Cell::new(0));
        let late = LateConnections::default();
        let (listening, closed) = oneshot::channel();
        let idle_closing = IdleClosing::default();
        let tracking = ConnectionTracking {
            busy: Rc::clone(&busy),
            late: late.clone(),
            idle_closing: idle_closing.clone(),
            connections,
        };
        let serving = serve_until_closed(listener, handler, timeouts, tracking, closed);
        actix_rt::spawn(serving);
        Ok(Self {
            address,
            busy,
            late,
            idle_closing,
            _listening: listening,
        })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the shared number of connections whose response has not been flushed to the socket, or
    /// that were told to close and are still open. It stays valid after the server is dropped.
    #[must_use]
    pub fn busy_connections(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.busy)
    }

    /// Returns the connections that are accepted after the shutdown has begun. The value stays valid
    /// after the server is dropped.
    #[must_use]
    pub fn late_connections(&self) -> LateConnections {
        self.late.clone()
    }

    /// Returns what closes the idle connections. The value stays valid after the server is dropped.
    #[must_use]
    pub fn idle_closing(&self) -> IdleClosing {
        self.idle_closing.clone()
    }
}

/// What the server knows of its connections.
struct ConnectionTracking {
    busy: Rc<Cell<usize>>,
    late: LateConnections,
    idle_closing: IdleClosing,
    connections: ServerConnections,
}

async fn serve_until_closed(
    listener: TcpListener,
    handler: HttpHandler,
    timeouts: HttpTimeouts,
    tracking: ConnectionTracking,
    closed: oneshot::Receiver<()>,
) {
    let ConnectionTracking {
        busy,
        late,
        idle_closing,
        connections,
    } = tracking;
    let request_service = fn_service(move |mut request: Request| {
        let connection = request.conn_data::<ClientConnection>().cloned();
        if let Some(connection) = &connection {
            connection.begin_request(&mut request);
        }
        let response = handler(request);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(match connection {
                Some(connection) => response.map_body(|_, body| connection.track(body)),
                None => response,
            })
        }
    });
    let factory = HttpService::build()
        .keep_alive(timeouts.keep_alive)
        .client_request_timeout(timeouts.request_head)
        .client_disconnect_timeout(UNREAD_BODY_TIMEOUT)
        .on_connect_ext(move |stream: &SignalingStream, data| {
            let connection = stream.connection();
            data.insert(connection.busy().clone());
            data.insert(connection);
            data.insert(stream.disconnect_signal());
            if let Some(connection) = late.accept() {
                data.insert(connection);
            }
        })
        .h1(request_service);
    let Ok(service) = factory.new_service(()).await else {
        log::error!(target: log_target::DAEMON, "Cannot create the HTTP service; the listener closes.");
        return;
    };
    let service = Rc::new(service);
    let serve = |socket: TcpStream| {
        let Some((slot, mut connection_closing)) = connections.accept() else {
            return;
        };
        // Nagle's algorithm would hold a small response back until a delayed acknowledgement.
        let _ = socket.set_nodelay(true);
        let service = Rc::clone(&service);
        let busy = Rc::clone(&busy);
        let idle_closing = idle_closing.clone();
        actix_rt::spawn(async move {
            let peer = socket.peer_addr().ok();
            let busy = BusyConnection::open(busy);
            let connection = ClientConnection::open(slot, busy.clone());
            let stream = SignalingStream::open(socket, timeouts, connection);
            let closing = pin!(idle_closing.wait());
            let serving = pin!(async {
                let serving = pin!(service.call((stream, peer)));
                if let Either::Right(((), serving)) = select(serving, closing).await
                    && !busy.is_idle()
                {
                    let _ = serving.await;
                }
            });
            let closing_for_others = pin!(connection_closing.wait());
            select(serving, closing_for_others).await;
        });
    };
    {
        let accepting = pin!(accept_loop(&listener, &connections, &serve));
        select(accepting, closed).await;
    }
    drain_accept_queue(listener, &connections, &serve).await;
}

async fn accept_loop(
    listener: &TcpListener,
    connections: &ServerConnections,
    serve: &impl Fn(TcpStream),
) {
    loop {
        connections.wait_for_closed().await;
        match listener.accept().await {
            Ok((socket, _)) => serve(socket),
            Err(cause) => {
                log::warn!(target: log_target::DAEMON, cause:%; "Cannot accept a connection.");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the connections in the accept queue, which closing the listener would reset.
async fn drain_accept_queue(
    listener: TcpListener,
    connections: &ServerConnections,
    serve: &impl Fn(TcpStream),
) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    // Those that come while the queue is emptied would keep the listener open.
    for _ in 0..=ACCEPT_QUEUE {
        connections.wait_for_closed().await;
        let Ok((socket, _)) = listener.accept() else {
            return;
        };
        if socket.set_nonblocking(true).is_ok()
            && let Ok(socket) = TcpStream::from_std(socket)
        {
            serve(socket);
        }
    }
}
