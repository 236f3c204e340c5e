//! What a server counts for a client that reads slowly but goes on.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use wagtailtrack::http::{
    ConnectionLimits, HttpHandler, HttpServer, HttpTimeouts, ServerConnections,
};

const BODY_BYTES: usize = 16 * 1024 * 1024;
const READ_BYTES: usize = 64 * 1024;
const STEP: Duration = Duration::from_millis(1);
/// More than a connection can take: the window of a response, and the write buffer.
const MOST_COUNTED: u64 = 512 * 1024;

/// Guards against bytes that count as held although the client has read them, so that a slow client looks
/// like one that reads nothing.
#[actix_rt::test]
async fn read_bytes_are_not_counted() {
    let handler: HttpHandler = Rc::new(|_| {
        let body = BoxBody::new(vec![b'.'; BODY_BYTES]);
        Box::pin(async { Response::ok().set_body(body) })
    });
    let connections = ServerConnections::open("test", ConnectionLimits::default());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let timeouts = HttpTimeouts::default();
    let server = HttpServer::bind_limited(address, handler, timeouts, connections.clone());
    let server = server.await.unwrap();
    let mut socket = TcpStream::connect(server.address()).unwrap();
    socket.set_nonblocking(true).unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write_all(request).unwrap();
    let mut space = vec![0; READ_BYTES];
    let mut received = 0;
    while received < BODY_BYTES {
        match socket.read(&mut space) {
            Ok(0) => panic!("the response ended after {received} bytes"),
            Ok(length) => received += length,
            Err(cause) => assert_eq!(cause.kind(), ErrorKind::WouldBlock),
        }
        actix_rt::time::sleep(STEP).await;
        let counted = connections.counts().bytes;
        assert!(counted <= MOST_COUNTED, "{counted} after {received}");
    }
}
