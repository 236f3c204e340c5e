//! Encoding and decoding of messages, with a limit on their size.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use quick_error::quick_error;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

quick_error! {
    /// Reason why a message could not be encoded or decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// The message is larger than `MAX_MESSAGE_BYTES`.
        Encode(cause: String) {
            display("message cannot be encoded: {cause}")
        }
        /// The bytes are not a message of the expected type.
        Decode(cause: String) {
            display("message cannot be decoded: {cause}")
        }
        /// This number of bytes follows the message.
        TrailingBytes(bytes: usize) {
            display("message has {bytes} trailing bytes")
        }
    }
}

/// Encodes `message` with `bincode`.
///
/// # Errors
/// `CodecError::Encode` if the result is larger than `MAX_MESSAGE_BYTES`.
pub fn encode<T: Encode>(message: &T) -> Result<Vec<u8>, CodecError> {
    bincode::encode_to_vec(message, CODEC).map_err(|cause| CodecError::Encode(cause.to_string()))
}

/// Decodes `bytes`, which must hold exactly one message.
///
/// # Errors
/// `CodecError::Decode` if the bytes are malformed or too few, and `CodecError::TrailingBytes` if
/// some are left over.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, used) = bincode::decode_from_slice(bytes, CODEC)
        .map_err(|cause| CodecError::Decode(cause.to_string()))?;
    match bytes.len() - used {
        0 => Ok(message),
        trailing => Err(CodecError::TrailingBytes(trailing)),
    }
}
