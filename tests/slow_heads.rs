//! Clients that begin a head and do not end it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use wagtailtrack::http::{HttpHandler, HttpServer, HttpTimeouts};

const STEP: Duration = Duration::from_millis(10);
/// Steps after which a connection that is still open is not closed at all.
const PATIENCE_STEPS: usize = 1_000;

async fn server() -> HttpServer {
    let handler: HttpHandler =
        Rc::new(|_| Box::pin(async { Response::ok().set_body(BoxBody::new("line\n")) }));
    let timeouts = HttpTimeouts {
        request_head: Duration::from_millis(100),
        ..HttpTimeouts::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::bind_with(address, handler, timeouts)
        .await
        .unwrap()
}

/// Sends `text` and returns what comes until the connection ends; none if it does not end.
async fn received_until_end(server: &HttpServer, text: &str) -> Option<String> {
    let mut socket = TcpStream::connect(server.address()).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.write_all(text.as_bytes()).unwrap();
    let mut received = String::new();
    for _ in 0..PATIENCE_STEPS {
        match socket.read_to_string(&mut received) {
            Ok(_) => return Some(received),
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Some(received),
        }
        actix_rt::time::sleep(STEP).await;
    }
    None
}

#[actix_rt::test]
async fn first_head_ends_in_time() {
    let server = server().await;
    let received = received_until_end(&server, "GET / HTTP/1.1\r\nhost:").await;
    assert!(received.unwrap().starts_with("HTTP/1.1 408"));
}

/// Guards against a connection that a head without end keeps open for ever, once it has had a request.
#[actix_rt::test]
async fn second_head_ends_in_time() {
    let server = server().await;
    let text = "GET / HTTP/1.1\r\nhost: x\r\n\r\nGET / HTTP/1.1\r\nhost:";
    let received = received_until_end(&server, text).await.unwrap();
    assert!(received.ends_with("line\n"), "{received}");
}
