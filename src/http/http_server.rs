//! An HTTP/1.1 listener with a graceful end.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;

use crate::http::ConnectionMark;
use crate::logs::part;

const KEEP_ALIVE: Duration = Duration::from_secs(30);
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request.
pub type HttpHandler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// A running HTTP listener; dropping it stops accepting, and open connections go on.
pub struct HttpServer {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
    closing: Rc<Cell<usize>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl HttpServer {
    /// Binds `address` and answers each request by `handler`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind(address: SocketAddr, handler: HttpHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = Rc::new(Cell::new(0));
        let closing = Rc::new(Cell::new(0));
        let counts = (Rc::clone(&connections), Rc::clone(&closing));
        let task = actix_rt::spawn(accept(listener, handler, counts.0, counts.1));
        Ok(Self {
            address,
            connections,
            closing,
            task,
        })
    }

    /// The address bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Connections that were told to close and have not ended yet; the count outlives the listener.
    #[must_use]
    pub fn closing(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.closing)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    handler: HttpHandler,
    connections: Rc<Cell<usize>>,
    closing: Rc<Cell<usize>>,
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
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // Without this a small answer can wait for a delayed acknowledgement.
                let _ = socket.set_nodelay(true);
                connections.set(connections.get() + 1);
                let (service, connections) = (Rc::clone(&service), Rc::clone(&connections));
                actix_rt::spawn(async move {
                    let _ = service.call(socket).await;
                    connections.set(connections.get() - 1);
                });
            }
            Err(cause) => {
                log::warn!(target: part::DAEMON, cause:%; "Cannot accept a connection.");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
