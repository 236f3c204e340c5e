//! Connections between daemons when one of the daemons closes them or exits.

use std::rc::Rc;

use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerReply};

const SECRET: &str = "0123456789abcdef";

/// Guards against a connection that ends, with all its streams, because one stream was cancelled
/// before the peer accepted it.
#[actix_rt::test]
async fn cancelled_stream() {
    let handler: PeerHandler = Rc::new(|_, mut stream| {
        Box::pin(async move {
            let reply = PeerReply::Config(ConfigReply::Pong);
            let _ = stream.send(&reply).await;
            let _ = stream.finish();
        })
    });
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = PeerListener::bind(address, FleetKey::open(SECRET), handler);
    let listener = listener.await.unwrap();
    let pool = PeerPool::open(FleetKey::open(SECRET));
    let call = PeerCall::Config(ConfigCall::Ping);
    let mut stream = pool.open_call(listener.address(), call.clone()).await;
    let cancelled = pool.open_call(listener.address(), call).await.unwrap();
    drop(cancelled);
    let reply = stream.as_mut().unwrap().receive_required::<PeerReply>();
    assert_eq!(reply.await.unwrap(), PeerReply::Config(ConfigReply::Pong));
}
