//! Relays TCP connections and applies the relay mode to each direction.

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
/// Chunks that a delayed direction buffers before it stops reading.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type StateReceiver = watch::Receiver<RelayState>;
/// Bytes and the time at which they may be delivered; no bytes mean the end of the stream.
type Chunk = (Instant, Vec<u8>);

/// Relays connections until the relay handle is dropped.
pub async fn run(listener: std::net::TcpListener, to: SocketAddr, mut receiver: StateReceiver) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let forward_receiver = receiver.clone();
    tokio::select! {
        () = accept(&listener, to, &forward_receiver) => {}
        _ = receiver.wait_for(|_| false) => {}
    }
}

async fn accept(listener: &TcpListener, to: SocketAddr, receiver: &StateReceiver) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if receiver.borrow().mode == RelayMode::Cut {
            let _ = client.set_zero_linger();
            continue;
        }
        tokio::spawn(connect(client, to, receiver.clone()));
    }
}

/// Connects to the target and relays until both directions end or the mode is `Cut`.
async fn connect(mut client: TcpStream, to: SocketAddr, receiver: StateReceiver) {
    let Ok(mut target) = TcpStream::connect(to).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let was_cut = tokio::select! {
        () = wait_for_cut(receiver.clone()) => true,
        () = relay_streams(&mut client, &mut target, &receiver) => false,
    };
    if was_cut {
        let _ = client.set_zero_linger();
        let _ = target.set_zero_linger();
    }
}

async fn relay_streams(client: &mut TcpStream, target: &mut TcpStream, receiver: &StateReceiver) {
    let silences_at_open = receiver.borrow().silences;
    let forward = FlowGate::new(FlowDirection::Forward, silences_at_open, receiver);
    let back = FlowGate::new(FlowDirection::Back, silences_at_open, receiver);
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    tokio::join!(
        relay_direction(client_read, target_write, forward),
        relay_direction(target_read, client_write, back)
    );
}

/// Waits until the mode is `Cut` or the relay handle is dropped.
async fn wait_for_cut(mut receiver: StateReceiver) {
    let _ = receiver
        .wait_for(|state| state.mode == RelayMode::Cut)
        .await;
}

/// Holds or delays the bytes of one direction of one connection.
struct FlowGate {
    direction: FlowDirection,
    /// The count of silences when the connection opened; a higher one silences this connection.
    silences_at_open: u64,
    receiver: StateReceiver,
}

impl FlowGate {
    fn new(direction: FlowDirection, silences_at_open: u64, receiver: &StateReceiver) -> Self {
        Self {
            direction,
            silences_at_open,
            receiver: receiver.clone(),
        }
    }

    /// Waits until `bytes` bytes may pass and returns the time at which to deliver them.
    ///
    /// Never returns once the connection is silenced or the relay handle is dropped.
    async fn wait_until_open(&mut self, bytes: usize) -> Instant {
        let (direction, silences_at_open) = (self.direction, self.silences_at_open);
        let state = self
            .receiver
            .wait_for(|state| state.silences != silences_at_open || !state.mode.blocks(direction))
            .await;
        match state.map(|state| *state) {
            Ok(state) if state.silences == silences_at_open => {
                // Nothing more is read meanwhile, so that the rest stays in the sender's buffers.
                sleep(state.mode.transfer_time(bytes)).await;
                Instant::now() + state.mode.delay()
            }
            _ => pending().await,
        }
    }
}

async fn relay_direction(read: ReadHalf<'_>, write: WriteHalf<'_>, gate: FlowGate) {
    let (chunks, due) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(receive(read, gate, chunks), deliver(write, due));
}

async fn receive(mut read: ReadHalf<'_>, mut gate: FlowGate, chunks: mpsc::Sender<Chunk>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = read.read(&mut buffer).await.unwrap_or(0);
        let due = gate.wait_until_open(count).await;
        let chunk = buffer[..count].to_vec();
        if chunks.send((due, chunk)).await.is_err() || count == 0 {
            return;
        }
    }
}

/// Writes each chunk at its delivery time; an empty chunk closes the write half.
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
