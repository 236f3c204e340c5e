//! Relays TCP connections.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::relay_handle::RelayState;
use super::relay_mode::{FlowDirection, RelayMode};

const CHUNK_BYTES: usize = 16 * 1024;
const CHUNKS_UNDER_WAY: usize = 256;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Seen = watch::Receiver<RelayState>;
type Chunk = (Instant, Vec<u8>);

/// Accepts until the handle goes.
pub async fn run(listener: std::net::TcpListener, to: SocketAddr, mut seen: Seen) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let ended = seen.clone();
    tokio::select! {
        () = accept(&listener, to, &ended) => {}
        _ = seen.wait_for(|_| false) => {}
    }
}

async fn accept(listener: &TcpListener, to: SocketAddr, seen: &Seen) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if seen.borrow().mode == RelayMode::Cut {
            let _ = near.set_zero_linger();
            continue;
        }
        tokio::spawn(connect(near, to, seen.clone()));
    }
}

async fn connect(mut near: TcpStream, to: SocketAddr, seen: Seen) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let is_cut = tokio::select! {
        () = cut(seen.clone()) => true,
        () = join(&mut near, &mut far, &seen) => false,
    };
    if is_cut {
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn join(near: &mut TcpStream, far: &mut TcpStream, seen: &Seen) {
    let born = seen.borrow().silences;
    let forward = FlowGate::new(FlowDirection::Forward, born, seen);
    let back = FlowGate::new(FlowDirection::Back, born, seen);
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    tokio::join!(
        pump(near_read, far_write, forward),
        pump(far_read, near_write, back)
    );
}

/// Returns when connections are cut or the relay ends.
async fn cut(mut seen: Seen) {
    let _ = seen.wait_for(|state| state.mode == RelayMode::Cut).await;
}

/// Decides when the bytes of one direction of one connection pass.
struct FlowGate {
    direction: FlowDirection,
    born: u64,
    seen: Seen,
}

impl FlowGate {
    fn new(direction: FlowDirection, born: u64, seen: &Seen) -> Self {
        Self {
            direction,
            born,
            seen: seen.clone(),
        }
    }

    /// Waits until bytes may pass, and tells by when they are due.
    async fn pass(&mut self) -> Instant {
        let (direction, born) = (self.direction, self.born);
        let passing = self
            .seen
            .wait_for(|state| state.silences != born || !state.mode.holds(direction))
            .await;
        match passing.map(|state| *state) {
            Ok(state) if state.silences == born => Instant::now() + state.mode.delay(),
            _ => pending().await,
        }
    }
}

async fn pump(read: ReadHalf<'_>, write: WriteHalf<'_>, gate: FlowGate) {
    let (chunks, due) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::join!(receive(read, gate, chunks), deliver(write, due));
}

async fn receive(mut read: ReadHalf<'_>, mut gate: FlowGate, chunks: mpsc::Sender<Chunk>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = read.read(&mut buffer).await.unwrap_or(0);
        let due = gate.pass().await;
        let chunk = buffer[..count].to_vec();
        if chunks.send((due, chunk)).await.is_err() || count == 0 {
            return;
        }
    }
}

/// Writes each chunk when it is due; an empty one ends the direction.
async fn deliver(mut write: WriteHalf<'_>, mut due: mpsc::Receiver<Chunk>) {
    while let Some((time, chunk)) = due.recv().await {
        if time > Instant::now() {
            sleep_until(time).await;
        }
        if chunk.is_empty() || write.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let _ = write.shutdown().await;
}
