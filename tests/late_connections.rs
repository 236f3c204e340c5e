//! The connections that a server accepts after its shutdown has begun, over loopback.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

use awc::http::StatusCode;
use common::{eventually, free_address};
use wagtailtrack::http::{HttpHandler, HttpServer, text_response};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n";

async fn open_server() -> HttpServer {
    let handler: HttpHandler =
        Rc::new(|_| Box::pin(async { text_response(StatusCode::OK, "served") }));
    HttpServer::bind(free_address(), handler).await.unwrap()
}

/// Guards against a process that exits although a connection was accepted whose request may be on its
/// way, and against one that waits for connections that are older or were closed.
#[actix_rt::test]
async fn silent_until_request() {
    let server = open_server().await;
    let late = server.late_connections();
    let mut early = TcpStream::connect(server.address()).unwrap();
    early.write_all(REQUEST).unwrap();
    // Served, so accepted before the shutdown begins.
    eventually("an answer", async || has_answer(&mut early)).await;
    late.begin();
    assert_eq!(late.silent(), 0);
    let mut served = TcpStream::connect(server.address()).unwrap();
    let closed = TcpStream::connect(server.address()).unwrap();
    eventually("two silent connections", async || late.silent() == 2).await;
    drop(closed);
    eventually("one silent connection", async || late.silent() == 1).await;
    drop(server);
    assert_eq!(late.silent(), 1, "the listener's end changes nothing");
    served.write_all(REQUEST).unwrap();
    eventually("an answer", async || has_answer(&mut served)).await;
}

/// Returns whether an answer has begun to arrive.
fn has_answer(socket: &mut TcpStream) -> bool {
    socket.set_nonblocking(true).unwrap();
    let mut start = [0; 12];
    match socket.read(&mut start) {
        Ok(count) => {
            assert_eq!(&start[..count], b"HTTP/1.1 200");
            true
        }
        Err(cause) => {
            assert_eq!(cause.kind(), ErrorKind::WouldBlock, "{cause}");
            false
        }
    }
}
