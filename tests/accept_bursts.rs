//! Connections that a server accepts in one burst.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use wagtailtrack::http::{
    ConnectionLimits, HttpHandler, HttpServer, HttpTimeouts, ServerConnections,
};

const CONNECTIONS: usize = 16;
/// An eighth and one are accepted to refuse their requests; one more may be about to be closed.
const MOST: usize = CONNECTIONS + CONNECTIONS / 8 + 2;
/// Less than the listener's queue holds.
const BURST: usize = 120;
/// Turns of the event loop in which the server can accept the whole burst.
const TURNS: usize = 4 * BURST;

/// Guards against descriptors of connections that are closed for others but not gone when the next ones
/// are accepted.
#[actix_rt::test]
async fn closed_connections_go_first() {
    let handler: HttpHandler = Rc::new(|_| {
        let body = BoxBody::new("");
        Box::pin(async { Response::ok().set_body(body) })
    });
    let limits = ConnectionLimits {
        connections: CONNECTIONS,
        ..ConnectionLimits::default()
    };
    let connections = ServerConnections::open("test", limits);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let timeouts = HttpTimeouts::default();
    let server = HttpServer::bind_limited(address, handler, timeouts, connections.clone());
    let server = server.await.unwrap();
    // The server does not run until this task waits.
    let connect = |_| TcpStream::connect(server.address()).unwrap();
    let crowd: Vec<TcpStream> = (0..BURST).map(connect).collect();
    let before = open_descriptors();
    let mut most = 0;
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
        most = most.max(open_descriptors() - before);
    }
    assert_eq!(connections.counts().open, CONNECTIONS as u64);
    assert_eq!(connections.counts().closed, (BURST - CONNECTIONS) as u64);
    assert!(
        most <= MOST,
        "{most} connections at once instead of at most {MOST}"
    );
    drop(crowd);
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}
