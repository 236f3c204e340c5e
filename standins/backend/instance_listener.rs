//! Accepts the HTTP connections of one instance.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};

use crate::instance_handler;
use crate::instance_state::InstanceState;

const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// A running HTTP listener; dropping it stops accepting connections.
pub struct InstanceListener {
    address: SocketAddr,
    task: actix_rt::task::JoinHandle<()>,
}

impl InstanceListener {
    /// Binds `address` and serves the requests of the instance `state`.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind(address: SocketAddr, state: Rc<InstanceState>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = actix_rt::spawn(accept(listener, state));
        Ok(Self { address, task })
    }

    /// The bound address, with the port that the system assigned if port 0 was requested.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for InstanceListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Rc<InstanceState>) {
    let handler_state = Rc::clone(&state);
    let handler = fn_service(move |request: Request| {
        let state = Rc::clone(&handler_state);
        async move { Ok::<_, Infallible>(instance_handler::handle(state, request).await) }
    });
    // Without half-closed connections, a peer that closes its side cancels its request at once.
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .h1(handler)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    while let Ok((socket, peer)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        state.injector.connection_opened(peer);
        let (service, state) = (Rc::clone(&service), Rc::clone(&state));
        actix_rt::spawn(async move {
            let _ = service.call(socket).await;
            state.injector.connection_closed(peer);
        });
    }
}
