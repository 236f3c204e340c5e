//! The key of one connection, agreed from a nonce of each side.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::peers::FleetKey;

const NONCE_BYTES: usize = 24;
const PROTOCOL: &[u8; 8] = b"wagtail1";

/// A connection's key; messages replayed on another connection fail their code.
#[derive(Debug, Clone)]
pub struct SessionKey(FleetKey);

impl SessionKey {
    /// Exchanges nonces as the side that opened the connection.
    ///
    /// # Errors
    /// Any I/O error, and `InvalidData` when the other side speaks another protocol.
    pub async fn open<S>(key: &FleetKey, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let own = fresh_nonce();
        send_hello(stream, &own).await?;
        let other = receive_hello(stream).await?;
        Ok(Self(key.derive(&[&own, &other])))
    }

    /// Exchanges nonces as the side that accepted the connection.
    ///
    /// # Errors
    /// As `open`.
    pub async fn accept<S>(key: &FleetKey, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let other = receive_hello(stream).await?;
        let own = fresh_nonce();
        send_hello(stream, &own).await?;
        Ok(Self(key.derive(&[&other, &own])))
    }

    /// The key that authenticates messages.
    #[must_use]
    pub const fn key(&self) -> &FleetKey {
        &self.0
    }
}

fn fresh_nonce() -> [u8; NONCE_BYTES] {
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
            "peer speaks another protocol",
        ));
    }
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}
