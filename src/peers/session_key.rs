//! Key of one connection between daemons, derived from the fleet key and a nonce of each side.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::peers::FleetKey;

const NONCE_BYTES: usize = 24;
/// First bytes of a connection in each direction: the protocol and its version.
const PROTOCOL: &[u8; 8] = b"wagtail1";

/// The key of one connection. Since each connection has its own, a message that is replayed on
/// another connection fails its authentication.
#[derive(Debug, Clone)]
pub struct SessionKey(FleetKey);

impl SessionKey {
    /// Exchanges nonces and derives the key, as the side that opened the connection.
    ///
    /// # Errors
    /// Any I/O error, and `InvalidData` if the peer uses another protocol or version.
    pub async fn open<S>(key: &FleetKey, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let own_nonce = random_nonce();
        send_hello(stream, &own_nonce).await?;
        let peer_nonce = receive_hello(stream).await?;
        Ok(Self(key.derive(&[&own_nonce, &peer_nonce])))
    }

    /// Exchanges nonces and derives the key, as the side that accepted the connection.
    ///
    /// # Errors
    /// As `open`.
    pub async fn accept<S>(key: &FleetKey, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let peer_nonce = receive_hello(stream).await?;
        let own_nonce = random_nonce();
        send_hello(stream, &own_nonce).await?;
        Ok(Self(key.derive(&[&peer_nonce, &own_nonce])))
    }

    /// The key that authenticates the messages on this connection.
    #[must_use]
    pub const fn key(&self) -> &FleetKey {
        &self.0
    }
}

fn random_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    fastrand::Rng::new().fill(&mut nonce);
    nonce
}

async fn send_hello<S: AsyncWrite + Unpin>(stream: &mut S, nonce: &[u8]) -> io::Result<()> {
    stream.write_all(PROTOCOL).await?;
    stream.write_all(nonce).await?;
    stream.flush().await
}

async fn receive_hello<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<[u8; NONCE_BYTES]> {
    let mut protocol = [0; PROTOCOL.len()];
    stream.read_exact(&mut protocol).await?;
    if &protocol != PROTOCOL {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "peer uses another protocol or version",
        ));
    }
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}
