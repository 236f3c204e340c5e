//! Clients of the HTTP server that take no bytes of their response.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use wagtailtrack::http::{HttpHandler, HttpServer, HttpTimeouts};

const BODY_BYTES: usize = 64 * 1024 * 1024;
const PROGRESS: Duration = Duration::from_millis(400);

/// A body of `BODY_BYTES` that tells when it is dropped.
struct WatchedBody {
    left: usize,
    is_dropped: Rc<Cell<bool>>,
}

impl MessageBody for WatchedBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(BODY_BYTES as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let count = self.left.min(64 * 1024);
        self.left -= count;
        Poll::Ready((count > 0).then(|| Ok(vec![b'.'; count].into())))
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.is_dropped.set(true);
    }
}

/// A server of watched bodies, and whether one was dropped.
async fn server() -> (HttpServer, Rc<Cell<bool>>) {
    let is_dropped: Rc<Cell<bool>> = Rc::default();
    let dropped = Rc::clone(&is_dropped);
    let handler: HttpHandler = Rc::new(move |_| {
        let is_dropped = Rc::clone(&dropped);
        let body = BoxBody::new(WatchedBody {
            left: BODY_BYTES,
            is_dropped,
        });
        Box::pin(async { Response::with_body(actix_http::StatusCode::OK, body) })
    });
    let timeouts = HttpTimeouts {
        write_progress: PROGRESS,
        ..HttpTimeouts::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind_with(address, handler, timeouts);
    (server.await.unwrap(), is_dropped)
}

fn ask(address: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    socket
}

/// Guards against a response that is held for as long as a client that reads nothing keeps its
/// connection open.
#[actix_rt::test]
async fn stalled_client() {
    let (server, is_dropped) = server().await;
    let socket = ask(server.address());
    for _ in 0..500 {
        if is_dropped.get() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(is_dropped.get(), "the response is still held");
    drop(socket);
}

/// Guards against a client that reads slowly, but goes on, and is cut off.
#[actix_rt::test]
async fn slow_client() {
    let (server, _) = server().await;
    let mut socket = ask(server.address());
    let reading = std::thread::spawn(move || {
        let mut buffer = vec![0; 4 * 1024 * 1024];
        let mut received = 0;
        while received < BODY_BYTES {
            match socket.read(&mut buffer) {
                Ok(count) if count > 0 => received += count,
                _ => break,
            }
            std::thread::sleep(PROGRESS / 20);
        }
        received
    });
    while !reading.is_finished() {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(reading.join().unwrap() >= BODY_BYTES);
}
