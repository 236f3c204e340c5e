//! Serde functions that encode row values as base64 strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serializer, de};

/// Serializes `bytes` as a base64 string.
pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

/// Deserializes bytes from a base64 string.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(source)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}

/// Serde functions that encode an optional row value as a base64 string or null.
pub(crate) mod optional {
    use base64::Engine as _;

    use super::{Deserialize, Deserializer, STANDARD, Serializer, de};

    /// Serializes `bytes` as a base64 string, or as null when absent.
    pub(crate) fn serialize<S: Serializer>(
        bytes: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match bytes {
            Some(bytes) => serializer.serialize_some(&STANDARD.encode(bytes)),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes bytes from a base64 string, or `None` from null.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        source: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        Option::<String>::deserialize(source)?
            .map(|text| STANDARD.decode(text).map_err(de::Error::custom))
            .transpose()
    }
}
