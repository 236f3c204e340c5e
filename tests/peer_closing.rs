//! Connections between daemons when one side closes them or cancels a stream.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{PATIENCE, RelayHandle, RelayMode, eventually, free_address};
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool, PeerStream, SessionKey};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerReply};

const SECRET: &str = "0123456789abcdef";
const PONG: PeerReply = PeerReply::Config(ConfigReply::Pong);
/// Streams that are cancelled at once.
const CANCELLED: usize = 200;
/// Time that a call takes on a connection that is being closed.
const CALL_TIME: Duration = Duration::from_millis(150);

/// A listener that answers each call after `delay`, and the number of calls that it got.
async fn listen(address: SocketAddr, delay: Duration) -> (PeerListener, Rc<Cell<usize>>) {
    let calls: Rc<Cell<usize>> = Rc::default();
    let count = Rc::clone(&calls);
    let handler: PeerHandler = Rc::new(move |_, mut stream| {
        count.set(count.get() + 1);
        Box::pin(async move {
            actix_rt::time::sleep(delay).await;
            let _ = stream.send(&PONG).await;
            let _ = stream.finish();
        })
    });
    let listener = PeerListener::bind(address, FleetKey::open(SECRET), handler);
    (listener.await.unwrap(), calls)
}

fn open_pool() -> PeerPool {
    PeerPool::open(FleetKey::open(SECRET))
}

const fn ping() -> PeerCall {
    PeerCall::Config(ConfigCall::Ping)
}

/// Closes `listener` and returns how long that took.
async fn close(listener: &PeerListener) -> Duration {
    let clock = ProcessClock::open();
    let begun = Instant::now();
    listener.close(clock.now().after(PATIENCE), clock).await;
    begun.elapsed()
}

/// Guards against a reply that is lost because the peer closes the connection, and against a close that
/// waits for connections without streams.
#[actix_rt::test]
async fn running_call() {
    let (listener, _) = listen(free_address(), Duration::from_millis(100)).await;
    let pool = open_pool();
    let mut stream = pool.open_call(listener.address(), ping()).await.unwrap();
    let idle = open_pool();
    idle.call(listener.address(), ping(), PATIENCE)
        .await
        .unwrap();
    let second = pool.open_call(listener.address(), ping()).await;
    let closing = close(&listener);
    let receiving = stream.receive_required::<PeerReply>();
    let (closed_after, reply) = futures_util::future::join(closing, receiving).await;
    assert_eq!(reply.unwrap(), PONG);
    let reply = second.unwrap().receive_required::<PeerReply>().await;
    assert_eq!(reply.unwrap(), PONG);
    assert!(closed_after < PATIENCE / 2, "{closed_after:?}");
}

/// Guards against a close that waits for a peer that is gone.
#[actix_rt::test]
async fn silent_peer() {
    let (listener, _) = listen(free_address(), Duration::ZERO).await;
    let relay = RelayHandle::bind(listener.address()).unwrap();
    let pool = open_pool();
    pool.call(relay.address(), ping(), PATIENCE).await.unwrap();
    relay.set(RelayMode::Silent);
    let closed_after = close(&listener).await;
    assert!(closed_after < PATIENCE / 2, "{closed_after:?}");
}

/// A listener that is closing and a pool with a running call on the connection to it, so that the
/// connection stays open for a while.
async fn start_closing(address: SocketAddr) -> (PeerPool, PeerStream) {
    let (listener, calls) = listen(address, CALL_TIME).await;
    let pool = open_pool();
    let running = pool.open_call(address, ping()).await.unwrap();
    eventually("the running call", async || calls.get() == 1).await;
    actix_rt::spawn(async move { close(&listener).await });
    actix_rt::time::sleep(CALL_TIME / 3).await;
    (pool, running)
}

/// Guards against a call that fails because the peer closes the connection, although the address
/// accepts new ones.
#[actix_rt::test]
async fn new_connection() {
    let address = free_address();
    let (pool, mut running) = start_closing(address).await;
    let (_next, calls) = listen(address, Duration::ZERO).await;
    let reply = pool.call(address, ping(), PATIENCE).await;
    assert_eq!((reply.unwrap(), calls.get()), (PONG, 1));
    assert_eq!(running.receive_required::<PeerReply>().await.unwrap(), PONG);
}

/// Guards against a call that counts as delivered, and therefore is not repeated elsewhere, although the
/// peer closes the connection and accepts no new ones.
#[actix_rt::test]
async fn no_new_connection() {
    let address = free_address();
    let (pool, mut running) = start_closing(address).await;
    let error = pool.call(address, ping(), PATIENCE).await.unwrap_err();
    assert!(error.is_undelivered(), "{error}");
    assert_eq!(running.receive_required::<PeerReply>().await.unwrap(), PONG);
}

/// Guards against a call that counts as delivered although the peer's GOAWAY refuses it, and against one
/// that counts as undelivered although the GOAWAY does not.
#[actix_rt::test]
async fn refused_stream() {
    let listener = actix_rt::net::TcpListener::bind(free_address())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let (send, may_refuse) = tokio::sync::oneshot::channel::<()>();
    actix_rt::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let key = FleetKey::open(SECRET);
        SessionKey::accept(&key, 0, &mut socket).await.unwrap();
        let mut connection = h2::server::handshake(socket).await.unwrap();
        let first = connection.accept().await.unwrap();
        may_refuse.await.unwrap();
        connection.abrupt_shutdown(h2::Reason::NO_ERROR);
        assert!(connection.accept().await.is_none());
        drop(first);
        std::future::pending::<()>().await;
    });
    let pool = open_pool();
    let mut first = pool.open_call(address, ping()).await.unwrap();
    actix_rt::time::sleep(CALL_TIME).await;
    let mut second = pool.open_call(address, ping()).await.unwrap();
    send.send(()).unwrap();
    let error = second.receive_required::<PeerReply>().await.unwrap_err();
    assert!(error.is_undelivered(), "{error}");
    let error = first.receive_required::<PeerReply>().await.unwrap_err();
    assert!(!error.is_undelivered(), "{error}");
}

/// Guards against a connection that ends, with all its streams, because one stream was cancelled
/// before the peer accepted it.
#[actix_rt::test]
async fn cancelled_stream() {
    let (listener, _) = listen(free_address(), Duration::ZERO).await;
    let pool = open_pool();
    let mut stream = pool.open_call(listener.address(), ping()).await;
    let cancelled = pool.open_call(listener.address(), ping()).await.unwrap();
    drop(cancelled);
    let reply = stream.as_mut().unwrap().receive_required::<PeerReply>();
    assert_eq!(reply.await.unwrap(), PONG);
}

/// Guards against a connection that ends, with all its streams, because many streams were cancelled at once:
/// callers that leave together, while the peer is paused for a moment.
#[actix_rt::test]
async fn many_cancelled_streams() {
    let (listener, _) = listen(free_address(), Duration::ZERO).await;
    let pool = open_pool();
    let mut stream = pool.open_call(listener.address(), ping()).await;
    let mut cancelled = Vec::new();
    for _ in 0..CANCELLED {
        cancelled.push(pool.open_stream(listener.address()).await.unwrap());
    }
    drop(cancelled);
    let reply = stream.as_mut().unwrap().receive_required::<PeerReply>();
    assert_eq!(reply.await.unwrap(), PONG);
}
