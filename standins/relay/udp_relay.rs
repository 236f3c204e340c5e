//! Relays UDP datagrams through one socket per client, so that the target can reply to each client.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;
use wagtailtrack::hash::FastMap;

use super::relay_handle::RelayState;
use super::relay_mode::{FlowDirection, RelayMode};

const MAX_DATAGRAM_BYTES: usize = 65_536;

type StateReceiver = watch::Receiver<RelayState>;

/// Relays datagrams until the relay handle is dropped.
pub async fn run(socket: std::net::UdpSocket, to: SocketAddr, mut receiver: StateReceiver) {
    let Ok(socket) = UdpSocket::from_std(socket) else {
        return;
    };
    let forward_receiver = receiver.clone();
    tokio::select! {
        () = relay_datagrams(Arc::new(socket), to, forward_receiver) => {}
        _ = receiver.wait_for(|_| false) => {}
    }
}

/// Sends datagrams from clients to the target, opening a socket for each new client.
async fn relay_datagrams(client: Arc<UdpSocket>, to: SocketAddr, receiver: StateReceiver) {
    let mut flows: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = client.recv_from(&mut buffer).await else {
            continue;
        };
        let target = match flows.entry(from) {
            Entry::Occupied(flow) => Arc::clone(flow.get()),
            Entry::Vacant(flow) => match open_flow(&client, from, to, &receiver).await {
                Some(target) => Arc::clone(flow.insert(target)),
                None => continue,
            },
        };
        let datagram = buffer[..count].to_vec();
        let mode = receiver.borrow().mode;
        send_datagram(mode, FlowDirection::Forward, async move {
            let _ = target.send(&datagram).await;
        });
    }
}

/// Connects a socket to the target and starts to relay its replies to the client `from`.
async fn open_flow(
    client: &Arc<UdpSocket>,
    from: SocketAddr,
    to: SocketAddr,
    receiver: &StateReceiver,
) -> Option<Arc<UdpSocket>> {
    let target = UdpSocket::bind(SocketAddr::new(to.ip(), 0)).await.ok()?;
    target.connect(to).await.ok()?;
    let target = Arc::new(target);
    tokio::spawn(relay_replies(
        Arc::clone(&target),
        Arc::clone(client),
        from,
        receiver.clone(),
    ));
    Some(target)
}

/// Sends datagrams from the target to the client `from`.
async fn relay_replies(
    target: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    from: SocketAddr,
    receiver: StateReceiver,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(count) = target.recv(&mut buffer).await else {
            // The target is not listening; it may start again later.
            tokio::task::yield_now().await;
            continue;
        };
        let datagram = buffer[..count].to_vec();
        let client = Arc::clone(&client);
        let mode = receiver.borrow().mode;
        send_datagram(mode, FlowDirection::Back, async move {
            let _ = client.send_to(&datagram, from).await;
        });
    }
}

/// Starts the sending of a datagram, delayed or dropped as `mode` says.
fn send_datagram(
    mode: RelayMode,
    direction: FlowDirection,
    send: impl Future<Output = ()> + Send + 'static,
) {
    if mode.blocks(direction) {
        return;
    }
    tokio::spawn(async move {
        if !mode.delay().is_zero() {
            sleep(mode.delay()).await;
        }
        send.await;
    });
}
