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

use crate::http::ConnectionMark;
use crate::logs::part;

const KEEP_ALIVE: Duration = Duration::from_secs(30);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let closing = Rc::new(Cell::new(0));
        let (open, closed) = oneshot::channel();
        actix_rt::spawn(serve_until(listener, handler, Rc::clone(&closing), closed));
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
    pub fn closing(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.closing)
    }
}

async fn serve_until(
    listener: TcpListener,
    handler: HttpHandler,
    closing: Rc<Cell<usize>>,
    closed: oneshot::Receiver<()>,
) {
    let answer = fn_service(move |request: Request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .on_connect_ext(move |_: &TcpStream, data| {
            data.insert(ConnectionMark::open(Rc::clone(&closing)));
        })
        .h1(answer)
        .tcp();
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
            let _ = service.call(socket).await;
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
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
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
