//! Connections between daemons over a slow link, and over one that goes silent.

mod common;

use std::rc::Rc;

use common::{PATIENCE, RelayHandle, RelayMode};
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool, PeerStream};
use wagtailtrack::wire::{ConfigCall, EgressMessage, PeerCall};

const SECRET: &str = "0123456789abcdef";
/// Bytes that each stream sends at once; they fit into its flow control window.
const CHUNK_BYTES: usize = 200_000;
/// Streams that send together, so that the reply to a ping waits behind 2 MB.
const STREAMS: usize = 10;
/// Rate of the slow link. It takes 3.3 s for what the streams send.
const BYTES_PER_SECOND: u64 = 600_000;

/// A listener that answers each call with one chunk, and the relay before it.
async fn start() -> (PeerListener, RelayHandle) {
    let handler: PeerHandler = Rc::new(|_, mut stream| {
        Box::pin(async move {
            let chunk = EgressMessage::Chunk(vec![0; CHUNK_BYTES]);
            stream.send(&chunk).await.unwrap();
            stream.finish().unwrap();
        })
    });
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = PeerListener::bind(address, FleetKey::open(SECRET), handler);
    let listener = listener.await.unwrap();
    let relay = RelayHandle::bind(listener.address()).unwrap();
    (listener, relay)
}

async fn open_call(pool: &PeerPool, relay: &RelayHandle) -> PeerStream {
    let call = PeerCall::Config(ConfigCall::Ping);
    pool.open_call(relay.address(), call).await.unwrap()
}

async fn receive_chunk(mut stream: PeerStream) {
    let chunk = stream.receive_required::<EgressMessage>().await.unwrap();
    assert_eq!(chunk, EgressMessage::Chunk(vec![0; CHUNK_BYTES]));
}

/// Guards against a connection that is closed, with all its streams, because the reply to a ping waits
/// behind other bytes that keep arriving.
#[actix_rt::test]
async fn slow_link() {
    let (_listener, relay) = start().await;
    let pool = PeerPool::open(FleetKey::open(SECRET));
    receive_chunk(open_call(&pool, &relay).await).await;
    relay.set(RelayMode::Rate(BYTES_PER_SECOND));
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        streams.push(open_call(&pool, &relay).await);
    }
    for stream in streams {
        receive_chunk(stream).await;
    }
}

/// Guards against a connection that stays open although nothing arrives on it any more.
#[actix_rt::test]
async fn silent_link() {
    let (_listener, relay) = start().await;
    let pool = PeerPool::open(FleetKey::open(SECRET));
    receive_chunk(open_call(&pool, &relay).await).await;
    relay.set(RelayMode::Silent);
    let mut stream = open_call(&pool, &relay).await;
    let receiving = stream.receive_required::<EgressMessage>();
    let received = actix_rt::time::timeout(PATIENCE, receiving).await.unwrap();
    assert!(received.is_err(), "{received:?}");
}
