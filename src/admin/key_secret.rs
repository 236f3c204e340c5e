//! Secrets and operation ids, drawn from the operating system's generator.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::admin::ApiError;
use crate::ids::OperationId;

const SECRET_BYTES: usize = 24;
const OPERATION_BYTES: usize = 12;
const SECRET_PREFIX: &str = "wtk_";

/// Draws a key's secret of 192 random bits.
///
/// # Errors
/// `ApiError::RandomGenerator` when the generator fails.
pub(super) fn generate_secret() -> Result<String, ApiError> {
    let mut bytes = [0; SECRET_BYTES];
    fill(&mut bytes)?;
    Ok(format!("{SECRET_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
}

/// Draws the name of an operation.
///
/// # Errors
/// `ApiError::RandomGenerator` when the generator fails.
pub fn generate_operation_id() -> Result<OperationId, ApiError> {
    let mut bytes = [0; OPERATION_BYTES];
    fill(&mut bytes)?;
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("op-{digits}").parse()?)
}

fn fill(bytes: &mut [u8]) -> Result<(), ApiError> {
    getrandom::fill(bytes).map_err(|cause| ApiError::RandomGenerator(cause.to_string()))
}
