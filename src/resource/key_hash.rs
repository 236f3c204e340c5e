//! Hash of the secret of an API key. Configuration changes use the same type as a content hash.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

use crate::text_serde;

/// BLAKE3 hash of a secret, truncated to 128 bits. This size keeps a catalog of 220,000 keys compact
/// and makes collisions practically impossible.
#[derive(Clone, Copy, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct KeyHash([u8; Self::BYTES]);

impl KeyHash {
    /// Length of a hash in bytes.
    const BYTES: usize = 16;

    /// Hashes `secret`.
    #[must_use]
    pub fn hash_secret(secret: &str) -> Self {
        Self::hash_bytes(secret.as_bytes())
    }

    /// Hashes `bytes`.
    #[must_use]
    pub fn hash_bytes(bytes: &[u8]) -> Self {
        let full = blake3::hash(bytes);
        let mut hash = [0; Self::BYTES];
        hash.copy_from_slice(&full.as_bytes()[..Self::BYTES]);
        Self(hash)
    }

    /// The 16 bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}

quick_error! {
    /// Error of parsing a hash from text.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// The text does not consist of 32 hexadecimal digits.
        InvalidHex {
            display("a key hash has 32 hexadecimal digits")
        }
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * Self::BYTES || !text.is_ascii() {
            return Err(KeyHashError::InvalidHex);
        }
        let mut hash = [0; Self::BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError::InvalidHex)?;
        }
        Ok(Self(hash))
    }
}

text_serde!(KeyHash);
