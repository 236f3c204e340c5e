//! Finds out whether an instance has ended while it ran requests.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use tokio::io::AsyncReadExt;

use crate::egress::EgressHandle;
use crate::egress::egress_handle::SharedDispatcher;
use crate::logs::log_target;

/// Longest wait for the answer to a connection attempt. The instance is on the same VM, which refuses at
/// once if no process listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a new connection must stay open to show that the process goes on.
const SETTLE_TIME: Duration = Duration::from_millis(30);
/// Most connection attempts: an instance that resets each is not one that has ended.
const MAX_CONNECTS: usize = 3;

impl EgressHandle {
    /// Called when a request has lost its connection. If the instance has ended, reports the requests
    /// that it was running.
    ///
    /// A lost connection alone proves nothing: instances reset connections, and links fail. An instance
    /// that announced that it leaves may end at any time.
    pub(super) async fn observe_lost_connection(&self, dispatcher: &SharedDispatcher) {
        let address = dispatcher.borrow().local().address;
        if !dispatcher.borrow().is_ready() || !refuses_connections(address).await {
            return;
        }
        let now = self.sources.clock.now();
        let running = dispatcher.borrow_mut().digests.take(now);
        if running.is_empty() {
            return;
        }
        let requests: Vec<String> = running
            .iter()
            .map(|(digest, age)| format!("{digest}:{}ms", age.as_millis()))
            .collect();
        log::warn!(
            target: log_target::EGRESS,
            instance:% = dispatcher.borrow().local().instance,
            address:%,
            running:? = requests;
            "Instance ended while it ran requests."
        );
        let digests: Vec<_> = running.into_iter().map(|(digest, _)| digest).collect();
        let instance = dispatcher.borrow().local().instance.clone();
        self.sources.suspects.report_end(&instance, &digests);
    }
}

/// Whether no process listens at `address`.
///
/// A process that ends may close its connections before its listener, which then resets the new
/// connection. One that stays open shows that the process goes on.
async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECTS {
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        match connecting.await {
            Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused => return true,
            Ok(Ok(mut socket)) => {
                let closing = socket.read_u8();
                if actix_rt::time::timeout(SETTLE_TIME, closing).await.is_err() {
                    return false;
                }
            }
            Ok(Err(_)) | Err(_) => return false,
        }
    }
    false
}
