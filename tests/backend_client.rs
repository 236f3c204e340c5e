//! The client towards instances: what each broken answer proves.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::sample_offer;
use wagtailtrack::egress::{BackendClient, BackendResponse, ClientOptions, SendFailure};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::verdict::Verdict;
use wagtailtrack::wire::{FailureCause, RequestOffer};

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

fn offer() -> RequestOffer {
    RequestOffer {
        body: b"lane".to_vec(),
        ..sample_offer()
    }
}

/// An instance that answers every request with these bytes, then closes if told to.
struct RawInstance {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl RawInstance {
    fn open(answer: String, closes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                count.fetch_add(1, Ordering::SeqCst);
                let mut request = [0; 4096];
                while socket.read(&mut request).is_ok_and(|count| count > 0) {
                    let _ = socket.write_all(answer.as_bytes());
                    if closes {
                        break;
                    }
                }
            }
        });
        Self {
            address,
            connections,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn send(client: &BackendClient, address: SocketAddr) -> Result<BackendResponse, SendFailure> {
    let deadline = ProcessClock::open().now().after(Duration::from_secs(5));
    client.send(address, &offer(), deadline).await
}

async fn read(answer: &mut BackendResponse) -> Result<Vec<u8>, FailureCause> {
    let mut body = Vec::new();
    while let Some(chunk) = answer.next_chunk().await? {
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// The body of an answer made of `bytes` by an instance that then closes.
async fn body_of(bytes: &str) -> Result<Vec<u8>, FailureCause> {
    let instance = RawInstance::open(format!("{HEAD}{bytes}"), true);
    let client = BackendClient::open(ProcessClock::open());
    let mut answer = send(&client, instance.address).await.ok().unwrap();
    read(&mut answer).await
}

#[actix_rt::test]
async fn whole_bodies() {
    assert_eq!(
        body_of("content-length: 4\r\n\r\nlane").await,
        Ok(b"lane".to_vec())
    );
    let chunked = "transfer-encoding: chunked\r\n\r\n4\r\nlane\r\n0\r\n\r\n";
    assert_eq!(body_of(chunked).await, Ok(b"lane".to_vec()));
}

#[actix_rt::test]
async fn cut_bodies() {
    assert!(body_of("content-length: 9\r\n\r\nlane").await.is_err());
    assert!(
        body_of("transfer-encoding: chunked\r\n\r\n4\r\nlane\r\n")
            .await
            .is_err()
    );
    assert!(
        body_of("transfer-encoding: chunked\r\n\r\n9\r\nlane")
            .await
            .is_err()
    );
}

#[actix_rt::test]
async fn unmarked_end() {
    // Only the end of the connection marks the end of this one.
    let instance = RawInstance::open(format!("{HEAD}\r\nlane"), true);
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadAnswer);
}

/// Where the settings accept it, an answer without a length is whole when its connection ends in
/// good order; what was read of it is not dropped.
#[actix_rt::test]
async fn accepted_end() {
    let rules = ClientOptions {
        accept_unframed: true,
        ..ClientOptions::default()
    };
    let instance = RawInstance::open(format!("{HEAD}\r\nlane"), true);
    let client = BackendClient::open_with(ProcessClock::open(), rules);
    let mut answer = send(&client, instance.address).await.ok().unwrap();
    assert_eq!(read(&mut answer).await, Ok(b"lane".to_vec()));
}

#[actix_rt::test]
async fn lost_before_head() {
    for answer in ["", "HTTP/1.1 20", "garbage\r\n\r\n"] {
        let instance = RawInstance::open(answer.to_owned(), true);
        let client = BackendClient::open(ProcessClock::open());
        let failure = send(&client, instance.address).await.err().unwrap();
        assert_eq!(failure.verdict, Verdict::MayHaveRun, "{answer}");
    }
}

#[actix_rt::test]
async fn never_connected() {
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, address).await.err().unwrap();
    assert_eq!(failure.verdict, Verdict::NotRun);
}

#[actix_rt::test]
async fn crossed_answer() {
    let other = format!("{HEAD}x-request-id: 7-8\r\ncontent-length: 0\r\n\r\n");
    let instance = RawInstance::open(other, false);
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadAnswer);
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    let own = format!("{HEAD}x-request-id: 7-9\r\ncontent-length: 0\r\n\r\n");
    let instance = RawInstance::open(own, false);
    // The deadline above has passed by the first client's clock.
    let client = BackendClient::open(ProcessClock::open());
    assert!(send(&client, instance.address).await.is_ok());
}

#[actix_rt::test]
async fn surplus_bytes() {
    for (surplus, connections) in [("", 1), ("HTTP/1.1 200 OK\r\n", 3)] {
        let answer = format!("{HEAD}content-length: 4\r\n\r\nlane{surplus}");
        let instance = RawInstance::open(answer, false);
        let client = BackendClient::open(ProcessClock::open());
        for _ in 0..3 {
            let mut answer = send(&client, instance.address).await.ok().unwrap();
            assert_eq!(read(&mut answer).await, Ok(b"lane".to_vec()));
            client.release(instance.address, answer);
        }
        assert_eq!(instance.connections(), connections, "surplus '{surplus}'");
    }
}
