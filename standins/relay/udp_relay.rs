//! Relays UDP datagrams; the target sees one address of the relay per sender.

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

type Seen = watch::Receiver<RelayState>;

/// Relays until the handle goes.
pub async fn run(socket: std::net::UdpSocket, to: SocketAddr, mut seen: Seen) {
    let Ok(socket) = UdpSocket::from_std(socket) else {
        return;
    };
    let ended = seen.clone();
    tokio::select! {
        () = forward(Arc::new(socket), to, ended) => {}
        _ = seen.wait_for(|_| false) => {}
    }
}

async fn forward(near: Arc<UdpSocket>, to: SocketAddr, seen: Seen) {
    let mut ways: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        let far = match ways.entry(from) {
            Entry::Occupied(way) => Arc::clone(way.get()),
            Entry::Vacant(way) => match open_way(&near, from, to, &seen).await {
                Some(far) => Arc::clone(way.insert(far)),
                None => continue,
            },
        };
        let datagram = buffer[..count].to_vec();
        let mode = seen.borrow().mode;
        pass(mode, FlowDirection::Forward, async move {
            let _ = far.send(&datagram).await;
        });
    }
}

async fn open_way(
    near: &Arc<UdpSocket>,
    from: SocketAddr,
    to: SocketAddr,
    seen: &Seen,
) -> Option<Arc<UdpSocket>> {
    let far = UdpSocket::bind(SocketAddr::new(to.ip(), 0)).await.ok()?;
    far.connect(to).await.ok()?;
    let far = Arc::new(far);
    tokio::spawn(back(Arc::clone(&far), Arc::clone(near), from, seen.clone()));
    Some(far)
}

async fn back(far: Arc<UdpSocket>, near: Arc<UdpSocket>, from: SocketAddr, seen: Seen) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(count) = far.recv(&mut buffer).await else {
            // The target is not listening; datagrams may pass again later.
            tokio::task::yield_now().await;
            continue;
        };
        let datagram = buffer[..count].to_vec();
        let near = Arc::clone(&near);
        let mode = seen.borrow().mode;
        pass(mode, FlowDirection::Back, async move {
            let _ = near.send_to(&datagram, from).await;
        });
    }
}

fn pass(
    mode: RelayMode,
    direction: FlowDirection,
    sending: impl Future<Output = ()> + Send + 'static,
) {
    if mode.holds(direction) {
        return;
    }
    tokio::spawn(async move {
        if !mode.delay().is_zero() {
            sleep(mode.delay()).await;
        }
        sending.await;
    });
}
