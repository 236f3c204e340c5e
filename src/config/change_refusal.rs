//! Why a change was refused for good.

use quick_error::quick_error;

use crate::ids::{OperationId, Version};
use crate::resource::ResourceName;

quick_error! {
    /// A refused change; nothing was written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeRefusal {
        /// The resource does not exist.
        NotFound(name: ResourceName) {
            display("{name} does not exist; create it first")
        }
        /// The resource exists already.
        AlreadyExists(name: ResourceName, version: Version) {
            display("{name} exists already at version {version}; update it with that version, or choose another name")
        }
        /// Another change came first.
        VersionMismatch(name: ResourceName, expected: Version, found: Version) {
            display("{name} has version {found}, not {expected}; read it again and repeat the change on top")
        }
        /// Something refers to the resource.
        InUse(name: ResourceName, users: String) {
            display("{name} is in use by {users}; change or delete these first")
        }
        /// The resource refers to something that does not exist.
        MissingReference(field: &'static str, name: ResourceName) {
            display("field '{field}' names {name}, which does not exist; create it first")
        }
        /// A route has the prefix already.
        PrefixTaken(prefix: String, route: String) {
            display("field 'prefix' has value '{prefix}', which route/{route} has already; change that route instead")
        }
        /// The key is still in use.
        KeyActive(name: ResourceName) {
            display("{name} is not withdrawn; withdraw it before deleting it")
        }
        /// The operation was another change.
        OperationReused(operation: OperationId) {
            display("operation {operation} was another change; use a new operation id")
        }
        /// The edit does not fit the kind.
        UnsupportedEdit(name: ResourceName, remedy: &'static str) {
            display("{name} cannot be changed like that; {remedy}")
        }
        /// A field is wrong.
        InvalidField(field: &'static str, value: String, remedy: &'static str) {
            display("field '{field}' has value '{value}'; {remedy}")
        }
    }
}
