//! Connections of the HTTP server that a graceful shutdown waits for.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use wagtailtrack::http::{HttpHandler, HttpServer};

/// More than the sockets of both sides hold.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
const STEP: Duration = Duration::from_millis(10);

/// A server that answers `/none` with 204, `/empty` without bytes, `/large` with `LARGE_BYTES` and other
/// paths with one line.
async fn server() -> HttpServer {
    let handler: HttpHandler = Rc::new(|request| {
        let (status, body) = match request.path() {
            "/none" => (StatusCode::NO_CONTENT, BoxBody::new(())),
            "/empty" => (StatusCode::OK, BoxBody::new("")),
            "/large" => (StatusCode::OK, BoxBody::new(vec![b'.'; LARGE_BYTES])),
            _ => (StatusCode::OK, BoxBody::new("line\n")),
        };
        Box::pin(async move { Response::with_body(status, body) })
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::bind(address, handler).await.unwrap()
}

fn ask(server: &HttpServer, requests: &[(&str, &str)]) -> TcpStream {
    let mut socket = TcpStream::connect(server.address()).unwrap();
    for (method, path) in requests {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n");
        socket.write_all(head.as_bytes()).unwrap();
    }
    socket
}

/// Waits until `count` connections are busy.
async fn wait_for_busy(server: &HttpServer, count: usize) {
    let busy = server.busy_connections();
    for _ in 0..1000 {
        if busy.get() == count {
            return;
        }
        actix_rt::time::sleep(STEP).await;
    }
    panic!("{} busy connections, not {count}", busy.get());
}

/// Reads until the server has answered `count` requests without a large body.
async fn read_answers(socket: &mut TcpStream, count: usize) {
    socket.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    for _ in 0..1000 {
        let _ = socket.read_to_end(&mut text);
        if String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() == count {
            return;
        }
        actix_rt::time::sleep(STEP).await;
    }
    panic!("{}", String::from_utf8_lossy(&text));
}

/// Guards against an idle connection that counts as busy after a response of any kind, alone or
/// pipelined, and so delays the end of the process.
#[actix_rt::test]
async fn idle_after_responses() {
    let server = server().await;
    let kinds = [
        ("GET", "/"),
        ("HEAD", "/"),
        ("GET", "/none"),
        ("GET", "/empty"),
    ];
    for kind in kinds {
        let mut socket = ask(&server, &[kind]);
        read_answers(&mut socket, 1).await;
        wait_for_busy(&server, 0).await;
    }
    let mut socket = ask(&server, &kinds);
    read_answers(&mut socket, kinds.len()).await;
    wait_for_busy(&server, 0).await;
}

/// Guards against a connection that counts as idle while its client has not taken the response, and
/// against one that counts as busy after its client is gone.
#[actix_rt::test]
async fn busy_until_closed() {
    let server = server().await;
    let socket = ask(&server, &[("GET", "/large"), ("GET", "/")]);
    wait_for_busy(&server, 1).await;
    actix_rt::time::sleep(STEP * 10).await;
    assert_eq!(server.busy_connections().get(), 1);
    drop(socket);
    wait_for_busy(&server, 0).await;
}
