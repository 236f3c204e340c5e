//! The hash of a key's secret.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

use crate::text_serde;

/// Truncated BLAKE3 hash of a secret; 128 bits keep 220,000 keys compact and collisions out of reach.
#[derive(Clone, Copy, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct KeyHash([u8; Self::BYTES]);

impl KeyHash {
    const BYTES: usize = 16;

    /// The hash of `secret`.
    #[must_use]
    pub fn hash_secret(secret: &str) -> Self {
        Self::hash_bytes(secret.as_bytes())
    }

    /// The hash of `bytes`.
    #[must_use]
    pub fn hash_bytes(bytes: &[u8]) -> Self {
        let full = blake3::hash(bytes);
        let mut hash = [0; Self::BYTES];
        hash.copy_from_slice(&full.as_bytes()[..Self::BYTES]);
        Self(hash)
    }

    /// The raw bytes.
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
    /// A text that is no hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// Not 32 hexadecimal digits.
        Form {
            display("a key hash has 32 hexadecimal digits")
        }
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * Self::BYTES || !text.is_ascii() {
            return Err(KeyHashError::Form);
        }
        let mut hash = [0; Self::BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError::Form)?;
        }
        Ok(Self(hash))
    }
}

text_serde!(KeyHash);
