//! Instances that send bytes without end, in a head, between chunks or in a body.
//!
//! Guards against a daemon that reads them until the deadline, holds them, or uses the connection
//! again. The load: one instance that writes as fast as the connection takes it.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::{eventually, sample_offer};
use wagtailtrack::egress::{BackendClient, BackendResponse, ClientOptions, SendFailure};
use wagtailtrack::execution_verdict::ExecutionVerdict;
use wagtailtrack::time::ProcessClock;
use wagtailtrack::units::ByteSize;
use wagtailtrack::wire::FailureCause;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const MAX_ANSWER: ByteSize = ByteSize::from_kib(1024);
/// More than what the buffers of a loopback connection hold beside the bytes that are read.
const SOCKET_BYTES: usize = 16 * 1024 * 1024;
const DEADLINE: Duration = Duration::from_secs(30);

/// An instance that answers every request with some bytes and then repeats others until the client
/// closes the connection.
struct EndlessInstance {
    address: SocketAddr,
    written: Arc<AtomicUsize>,
    is_closed: Arc<AtomicBool>,
}

impl EndlessInstance {
    fn open(start: String, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let written = Arc::new(AtomicUsize::new(0));
        let is_closed = Arc::new(AtomicBool::new(false));
        let (count, closed) = (Arc::clone(&written), Arc::clone(&is_closed));
        std::thread::spawn(move || {
            let (mut socket, _) = listener.accept().unwrap();
            let mut request = [0; 4096];
            let _ = socket.read(&mut request);
            let _ = socket.write_all(start.as_bytes());
            let block = repeated.repeat(4096 / repeated.len());
            while socket.write_all(block.as_bytes()).is_ok() {
                count.fetch_add(block.len(), Ordering::SeqCst);
            }
            closed.store(true, Ordering::SeqCst);
        });
        Self {
            address,
            written,
            is_closed,
        }
    }

    /// Checks that the client closes the connection after it has read at most `most` bytes.
    async fn assert_closed(&self, most: usize) {
        eventually("the end of the connection", async || {
            self.is_closed.load(Ordering::SeqCst)
        })
        .await;
        let written = self.written.load(Ordering::SeqCst);
        assert!(written <= most + SOCKET_BYTES, "{written} bytes were read");
    }
}

fn client(accept_unframed: bool) -> BackendClient {
    let options = ClientOptions {
        accept_unframed,
        max_answer: MAX_ANSWER,
        ..ClientOptions::default()
    };
    BackendClient::open_with(ProcessClock::open(), options)
}

async fn send(client: &BackendClient, address: SocketAddr) -> Result<BackendResponse, SendFailure> {
    let deadline = ProcessClock::open().now().after(DEADLINE);
    let offer = sample_offer();
    let sending = client.send(address, &offer, deadline);
    let result = actix_rt::time::timeout(DEADLINE / 2, sending).await;
    result.expect("the client waited for more")
}

/// Reads the body to its end or failure and returns its length and the failure.
async fn read(response: &mut BackendResponse) -> (usize, Option<FailureCause>) {
    let mut bytes = 0;
    let reading = async {
        loop {
            match response.next_chunk().await {
                Ok(Some(chunk)) => bytes += chunk.len(),
                Ok(None) => return None,
                Err(cause) => return Some(cause),
            }
        }
    };
    let failure = actix_rt::time::timeout(DEADLINE / 2, reading).await;
    (bytes, failure.expect("the client waited for more"))
}

/// A head that never ends: one line, many headers, informational responses or no HTTP at all.
#[actix_rt::test]
async fn endless_head() {
    let heads = [
        ("HTTP/1.1 200 OK\r\nx-long: ", "lane"),
        ("HTTP/1.1 200 ", "lane"),
        ("HTTP/1.1 200 OK\r\n", "x-many: 1\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "lane"),
    ];
    for (start, repeated) in heads {
        let instance = EndlessInstance::open(start.to_owned(), repeated);
        let failure = send(&client(false), instance.address).await.err().unwrap();
        assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun, "{start}");
        assert_eq!(failure.cause, FailureCause::BadResponse, "{start}");
        instance.assert_closed(0).await;
    }
}

/// Bytes without end that are no part of the body: an extension of a chunk's size, or a trailer.
#[actix_rt::test]
async fn endless_framing() {
    for (start, repeated) in [
        ("4;x=", "lane"),
        ("0\r\nx: ", "lane"),
        ("0\r\n", "x: 1\r\n"),
    ] {
        let instance = EndlessInstance::open(format!("{CHUNKED}{start}"), repeated);
        let mut response = send(&client(false), instance.address).await.ok().unwrap();
        let failure = read(&mut response).await;
        assert_eq!(failure, (0, Some(FailureCause::BadResponse)), "{start}");
        drop(response);
        instance.assert_closed(0).await;
    }
}

/// A body without end is cut off at the largest answer, however its length is marked.
#[actix_rt::test]
async fn endless_body() {
    let unframed = "HTTP/1.1 200 OK\r\n\r\n";
    for (start, repeated) in [(CHUNKED, "4\r\nlane\r\n"), (unframed, "lane")] {
        let instance = EndlessInstance::open(start.to_owned(), repeated);
        let mut response = send(&client(true), instance.address).await.ok().unwrap();
        let (bytes, failure) = read(&mut response).await;
        assert_eq!(failure, Some(FailureCause::BadResponse), "{start}");
        assert!(bytes <= MAX_ANSWER.as_usize(), "{bytes}");
        drop(response);
        instance.assert_closed(2 * MAX_ANSWER.as_usize()).await;
    }
}

/// An answer that declares a larger length than allowed is not read at all; one of the largest size
/// is.
#[actix_rt::test]
async fn declared_length() {
    let head = |bytes: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
    let most = MAX_ANSWER.as_usize();
    let instance = EndlessInstance::open(head(most + 1), "lane");
    let failure = send(&client(false), instance.address).await.err().unwrap();
    assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun);
    instance.assert_closed(0).await;
    let instance = EndlessInstance::open(head(most), "lane");
    let mut response = send(&client(false), instance.address).await.ok().unwrap();
    assert_eq!(read(&mut response).await, (most, None));
}

/// The body of a late response to another request is skipped only up to a bound.
#[actix_rt::test]
async fn endless_skipped_body() {
    let start = CHUNKED.replace("\r\n\r\n", "\r\nx-request-id: 7-8\r\n\r\n");
    let instance = EndlessInstance::open(start, "4\r\nlane\r\n");
    let failure = send(&client(false), instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadResponse);
    instance.assert_closed(2 * MAX_ANSWER.as_usize()).await;
}

/// A connection whose response was not read to its end is not used again: what follows is not the
/// response to the next request.
#[actix_rt::test]
async fn unread_rest() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let instance = EndlessInstance::open(start.to_owned(), "lane");
    let client = client(false);
    let mut response = send(&client, instance.address).await.ok().unwrap();
    let first = response.next_chunk().await.unwrap().unwrap();
    assert!(!first.is_empty());
    client.release(instance.address, response);
    instance.assert_closed(0).await;
}

/// A rest of the body that has not arrived yet is no less unread.
#[actix_rt::test]
async fn unsent_rest() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            count.fetch_add(1, Ordering::SeqCst);
            let start = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nlane";
            let _ = socket.read(&mut [0; 4096]);
            let _ = socket.write_all(start);
            open.push(socket);
        }
    });
    let client = client(false);
    for number in 1..=2 {
        let mut response = send(&client, address).await.ok().unwrap();
        assert!(response.next_chunk().await.unwrap().is_some());
        client.release(address, response);
        assert_eq!(connections.load(Ordering::SeqCst), number);
    }
}
