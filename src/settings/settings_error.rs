//! Errors of reading and validating the settings file.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why the settings file was rejected, with the field, the value and the remedy where known.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("cannot read settings file '{}': {cause}; check the path given with --config", path.display())
            source(cause)
        }
        /// The file is not valid TOML, or a field is unknown, missing or malformed.
        Parse(path: PathBuf, cause: String) {
            display("settings file '{}' is not valid: {cause}", path.display())
        }
        /// A value is out of bounds or conflicts with another field.
        Value(field: &'static str, value: String, remedy: &'static str) {
            display("settings field '{field}' has value '{value}'; {remedy}")
        }
    }
}
