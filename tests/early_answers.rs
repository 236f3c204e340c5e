//! Answers to requests whose bodies are not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use wagtailtrack::http::{HttpHandler, HttpServer};

/// More than the kernel takes on both sides.
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Guards against a client that does not see why its request was refused, since the connection is reset while
/// the client still sends the body.
#[actix_rt::test]
async fn refusal_reaches_uploading_client() {
    let handler: HttpHandler = Rc::new(|_| {
        let response = Response::new(StatusCode::PAYLOAD_TOO_LARGE);
        Box::pin(async { response.set_body(BoxBody::new("too large")) })
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, handler).await.unwrap();
    let address = server.address();
    let client = std::thread::spawn(move || upload(address));
    while !client.is_finished() {
        actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    let answer = client.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(answer.ends_with("too large"), "{answer}");
}

/// Sends a whole body and then reads the answer up to the end of the connection.
fn upload(address: SocketAddr) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(&vec![b'.'; BODY_BYTES]).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    answer
}
