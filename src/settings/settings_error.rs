//! Why settings were refused.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Names the field, the value and the remedy.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("cannot read settings file '{}': {cause}; check the path given with --config", path.display())
            source(cause)
        }
        /// The file is no valid TOML, or a field is unknown or malformed.
        Parse(path: PathBuf, cause: String) {
            display("settings file '{}' is not valid: {cause}", path.display())
        }
        /// A value does not fit with the others.
        Value(field: &'static str, value: String, remedy: &'static str) {
            display("settings field '{field}' has value '{value}'; {remedy}")
        }
    }
}
