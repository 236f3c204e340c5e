//! Responses whose status line is none of the protocol.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use common::sample_offer;
use wagtailtrack::egress::{BackendClient, ClientOptions};
use wagtailtrack::time::ProcessClock;

/// What stands for the status in a response that is no answer.
const ODD_STATUSES: [&str; 17] = [
    "000", "001", "099", "600", "601", "999", "20", "2", "2000", "+20", "-200", " 200", "2 0",
    "20x", "0x1", "", "OK",
];
/// Status lines without further text that are well.
const EVEN_STATUSES: [&str; 6] = ["200", "204", "299", "404", "500", "599"];
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// An instance that sends a whole response `whole` times on each connection, and then `response`.
fn spawn_instance(whole: usize, response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let response = response.clone();
            std::thread::spawn(move || serve(socket.unwrap(), whole, &response));
        }
    });
    address
}

fn serve(mut socket: TcpStream, whole: usize, response: &str) {
    let mut request = [0; 4096];
    for served in 0.. {
        let Ok(1..) = socket.read(&mut request) else {
            return;
        };
        let bytes = if served < whole { WHOLE } else { response };
        let _ = socket.write_all(bytes.as_bytes());
    }
}

/// The status that the client makes of `response`, the first on a connection or after `whole` others; none
/// if it takes it for no answer.
async fn status_of(whole: usize, response: String) -> Option<u16> {
    let address = spawn_instance(whole, response);
    let clock = ProcessClock::open();
    let client = BackendClient::open_with(clock, ClientOptions::default());
    let mut status = None;
    for _ in 0..=whole {
        let deadline = clock.now().after(Duration::from_secs(5));
        let sent = client.send(address, &sample_offer(), deadline).await;
        let Ok(mut response) = sent else {
            return None;
        };
        status = Some(response.head.status);
        while let Ok(Some(_)) = response.next_chunk().await {}
        client.release(address, response);
    }
    status
}

/// Guards against an answer with a status that the protocol does not have, which the caller gets as one.
#[actix_rt::test]
async fn odd_statuses_are_no_answers() {
    for whole in [0, 1] {
        for status in ODD_STATUSES {
            let response = format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n");
            assert_eq!(status_of(whole, response).await, None, "'{status}' {whole}");
        }
    }
}

#[actix_rt::test]
async fn even_statuses_are_answers() {
    for whole in [0, 1] {
        for status in EVEN_STATUSES {
            let response = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            let expected = status.parse().ok();
            assert_eq!(status_of(whole, response).await, expected, "'{status}'");
        }
    }
}

/// Guards against informational responses without end, which would be read for ever.
#[actix_rt::test]
async fn informational_responses_without_end() {
    let response = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(10_000);
    assert_eq!(status_of(0, response).await, None);
}
