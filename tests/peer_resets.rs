//! Streams between daemons that the opener resets: the other streams of the connection go on.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply};

const SECRET: &str = "0123456789abcdef";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time until what was sent is in the peer's socket.
const ARRIVAL: Duration = Duration::from_millis(50);
/// Time in which the busy listener reads nothing.
const BUSY: Duration = Duration::from_millis(400);
/// Time until the reply to the first call.
const WORK: Duration = Duration::from_secs(1);

/// Runs a listener in a thread of its own. The reply to its first call takes `WORK`; the second keeps the
/// thread from reading for `BUSY`.
fn start_listener() -> SocketAddr {
    let (sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let calls = Rc::new(Cell::new(0));
            let handler: PeerHandler = Rc::new(move |_, mut stream| {
                calls.set(calls.get() + 1);
                let number = calls.get();
                Box::pin(async move {
                    match number {
                        1 => actix_rt::time::sleep(WORK).await,
                        2 => std::thread::sleep(BUSY),
                        _ => {}
                    }
                    let _ = stream.send(&PeerReply::Config(ConfigReply::Pong)).await;
                    let _ = stream.finish();
                })
            });
            let any = "127.0.0.1:0".parse().unwrap();
            let listener = PeerListener::bind(any, FleetKey::open(SECRET), handler);
            let listener = listener.await.unwrap();
            sender.send(listener.address()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

/// Guards against a connection that is closed, with all its running requests, because one stream was reset
/// before the listener answered it.
#[actix_rt::test]
async fn reset_before_accept() {
    let address = start_listener();
    let pool = PeerPool::open(FleetKey::open(SECRET));
    let call = || {
        let pool = pool.clone();
        actix_rt::spawn(async move {
            let call = PeerCall::Config(ConfigCall::Ping);
            pool.call(address, call, CALL_TIMEOUT).await
        })
    };
    let running = call();
    actix_rt::time::sleep(ARRIVAL).await;
    let busy = call();
    actix_rt::time::sleep(ARRIVAL).await;
    let mut given_up = pool.open_stream(address).await.unwrap();
    let opening = PeerOpening::Call(PeerCall::Config(ConfigCall::Ping));
    given_up.send(&opening).await.unwrap();
    actix_rt::time::sleep(ARRIVAL).await;
    drop(given_up);
    for reply in [busy, running] {
        let reply = reply.await.unwrap();
        assert!(
            matches!(reply, Ok(PeerReply::Config(ConfigReply::Pong))),
            "{reply:?}"
        );
    }
}
