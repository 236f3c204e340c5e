//! Invalid input on the peer port: the listener refuses and counts it and does not panic.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbtest;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply, decode};

const SECRET: &str = "0123456789abcdef";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const SEEDS: std::ops::Range<u64> = 0..200;

/// Starts a listener that replies to every call; returns it and the number of calls it received.
async fn start_listener() -> (PeerListener, Rc<Cell<u32>>) {
    let received = Rc::new(Cell::new(0));
    let count = Rc::clone(&received);
    let handler: PeerHandler = Rc::new(move |_, mut stream| {
        count.set(count.get() + 1);
        Box::pin(async move {
            stream
                .send(&PeerReply::Config(ConfigReply::Pong))
                .await
                .unwrap();
            stream.finish().unwrap();
        })
    });
    let address = "127.0.0.1:0".parse().unwrap();
    let key = FleetKey::open(SECRET);
    let listener = PeerListener::bind(address, key, handler).await.unwrap();
    (listener, received)
}

async fn ping(listener: &PeerListener, secret: &str) -> Option<PeerReply> {
    let pool = PeerPool::open(FleetKey::open(secret));
    let call = PeerCall::Config(ConfigCall::Ping);
    pool.call(listener.address(), call, CALL_TIMEOUT).await.ok()
}

/// A call between daemons with the same fleet secret gets its reply.
#[actix_rt::test]
async fn same_secret() {
    let (listener, received) = start_listener().await;
    let reply = ping(&listener, SECRET).await;
    assert_eq!(reply, Some(PeerReply::Config(ConfigReply::Pong)));
    assert_eq!((received.get(), listener.refused_messages()), (1, 0));
}

/// A call from a daemon with another fleet secret is refused and counted, and does not reach the
/// handler.
#[actix_rt::test]
async fn other_secret() {
    let (listener, received) = start_listener().await;
    assert_eq!(ping(&listener, "another secret of 16").await, None);
    assert_eq!((received.get(), listener.refused_messages()), (0, 1));
    assert!(ping(&listener, SECRET).await.is_some());
}

/// Connections that send something else than the protocol are dropped, and the listener keeps
/// working.
#[actix_rt::test]
async fn garbage_bytes() {
    let (listener, received) = start_listener().await;
    let address = listener.address();
    let garbage: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", b"wagtail1", &[0xff; 5000]];
    for bytes in garbage {
        let bytes = bytes.to_vec();
        let sending = actix_rt::task::spawn_blocking(move || {
            let mut socket = TcpStream::connect(address).unwrap();
            let _ = socket.write_all(&bytes);
            let _ = socket.shutdown(std::net::Shutdown::Write);
            let _ = socket.read_to_end(&mut Vec::new());
        });
        sending.await.unwrap();
    }
    assert_eq!(received.get(), 0);
    assert!(ping(&listener, SECRET).await.is_some());
}

/// Random bytes decode to a message or an error, without a panic or an unbounded allocation.
#[test]
fn random_bytes_decode() {
    for seed in SEEDS {
        arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            let _ = decode::<PeerOpening>(&bytes);
            let _ = decode::<PeerReply>(&bytes);
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
}
