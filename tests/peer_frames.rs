//! Bad input at the border between daemons: refused and counted, never a panic.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbtest;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply, decode};

const SECRET: &str = "0123456789abcdef";
const WAIT: Duration = Duration::from_secs(30);
const SEEDS: std::ops::Range<u64> = 0..200;

/// A listener that answers every call, and how many it heard.
async fn listen() -> (PeerListener, Rc<Cell<u32>>) {
    let heard = Rc::new(Cell::new(0));
    let count = Rc::clone(&heard);
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
    (listener, heard)
}

async fn ping(listener: &PeerListener, secret: &str) -> Option<PeerReply> {
    let pool = PeerPool::open(FleetKey::open(secret));
    let call = PeerCall::Config(ConfigCall::Ping);
    pool.call(listener.address(), call, WAIT).await.ok()
}

#[actix_rt::test]
async fn same_secret() {
    let (listener, heard) = listen().await;
    let reply = ping(&listener, SECRET).await;
    assert_eq!(reply, Some(PeerReply::Config(ConfigReply::Pong)));
    assert_eq!((heard.get(), listener.refused_messages()), (1, 0));
}

#[actix_rt::test]
async fn other_secret() {
    let (listener, heard) = listen().await;
    assert_eq!(ping(&listener, "another secret of 16").await, None);
    assert_eq!((heard.get(), listener.refused_messages()), (0, 1));
    assert!(ping(&listener, SECRET).await.is_some());
}

#[actix_rt::test]
async fn garbage_bytes() {
    let (listener, heard) = listen().await;
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
    assert_eq!(heard.get(), 0);
    assert!(ping(&listener, SECRET).await.is_some());
}

/// Any bytes decode to a message or to an error, within bounded memory.
#[test]
fn any_message() {
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
