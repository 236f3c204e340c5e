//! Receive buffers of connections with long and short bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use futures_util::StreamExt;
use wagtailtrack::http::{
    ConnectionLimits, HttpHandler, HttpServer, HttpTimeouts, ServerConnections,
};

const LONG_BODY: usize = 1024 * 1024;
/// A sixteenth of them, so two, may have the buffer for long bodies.
const CONNECTIONS: usize = 32;

/// Guards against uploads that fail, or take further memory, where no larger buffer is left for them.
#[actix_rt::test]
async fn long_bodies_share_buffers() {
    let limits = ConnectionLimits {
        connections: CONNECTIONS,
        ..ConnectionLimits::default()
    };
    let connections = ServerConnections::open("test", limits);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler: HttpHandler = Rc::new(|request| Box::pin(count_body(request)));
    let timeouts = HttpTimeouts::default();
    let server = HttpServer::bind_limited(address, handler, timeouts, connections.clone());
    let server = server.await.unwrap();
    let short = upload(server.address(), 1).await;
    assert_eq!(connections.line().wide, 0);
    let mut uploads = Vec::new();
    for wide in [1, 2, 2, 2] {
        uploads.push(upload(server.address(), LONG_BODY).await);
        assert_eq!(connections.line().wide, wide);
    }
    drop((short, uploads));
    while connections.counts().open > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(connections.line().wide, 0);
}

async fn count_body(mut request: Request) -> Response<BoxBody> {
    let mut payload = request.take_payload();
    let mut length = 0;
    while let Some(part) = payload.next().await {
        length += part.unwrap().len();
    }
    Response::ok().set_body(BoxBody::new(length.to_string()))
}

/// Uploads a body of `length` bytes and returns the connection when the server has counted all of them.
async fn upload(address: SocketAddr, length: usize) -> TcpStream {
    let sending: JoinHandle<TcpStream> = std::thread::spawn(move || {
        let mut socket = TcpStream::connect(address).unwrap();
        let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        socket.write_all(head.as_bytes()).unwrap();
        socket.write_all(&vec![b'.'; length]).unwrap();
        let expected = format!("\r\n\r\n{length}");
        let mut answer = Vec::new();
        while !answer.ends_with(expected.as_bytes()) {
            let mut space = [0; 256];
            let read = socket.read(&mut space).unwrap();
            assert!(read > 0, "{}", String::from_utf8_lossy(&answer));
            answer.extend_from_slice(&space[..read]);
        }
        socket
    });
    while !sending.is_finished() {
        actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    sending.join().unwrap()
}
