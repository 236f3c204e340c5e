//! Generates key secrets and operation ids with the operating system's random generator.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::admin::ApiError;
use crate::ids::OperationId;

/// Random bytes in a secret, before base64 encoding.
const SECRET_BYTES: usize = 24;
/// Random bytes in an operation id, before hexadecimal encoding.
const OPERATION_BYTES: usize = 12;
const SECRET_PREFIX: &str = "wtk_";

/// Generates a key secret with 192 random bits.
///
/// # Errors
/// `ApiError::RandomGenerator` when the random generator fails.
pub(super) fn generate_secret() -> Result<String, ApiError> {
    let mut bytes = [0; SECRET_BYTES];
    fill_random(&mut bytes)?;
    Ok(format!("{SECRET_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
}

/// Generates an operation id with 96 random bits.
///
/// # Errors
/// `ApiError::RandomGenerator` when the random generator fails.
pub fn generate_operation_id() -> Result<OperationId, ApiError> {
    let mut bytes = [0; OPERATION_BYTES];
    fill_random(&mut bytes)?;
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("op-{digits}").parse()?)
}

fn fill_random(bytes: &mut [u8]) -> Result<(), ApiError> {
    getrandom::fill(bytes).map_err(|cause| ApiError::RandomGenerator(cause.to_string()))
}
