//! Reasons for which a change request is refused; repeating the same request does not help.

use quick_error::quick_error;

use crate::ids::{OperationId, Version};
use crate::resource::ResourceName;

quick_error! {
    /// Why a change was refused; nothing was written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeRefusal {
        /// The resource to update, delete or withdraw does not exist.
        NotFound(name: ResourceName) {
            display("{name} does not exist; create it first")
        }
        /// The resource to create exists already, at this version.
        AlreadyExists(name: ResourceName, version: Version) {
            display("{name} exists already at version {version}; update it with that version, or choose another name")
        }
        /// The stored version is not the expected one: another change was committed in between.
        VersionMismatch(name: ResourceName, expected: Version, found: Version) {
            display("{name} has version {found}, not {expected}; read it again and repeat the change on top")
        }
        /// The resource cannot be deleted, because these resources refer to it.
        InUse(name: ResourceName, users: String) {
            display("{name} is in use by {users}; change or delete these first")
        }
        /// The resource refers to something that does not exist.
        MissingReference(field: &'static str, name: ResourceName) {
            display("field '{field}' names {name}, which does not exist; create it first")
        }
        /// Another route of the same host has the prefix already.
        PrefixTaken(prefix: String, route: String) {
            display("field 'prefix' has value '{prefix}', which route/{route} has already; change that route instead")
        }
        /// The key cannot be deleted, because it has not been withdrawn.
        KeyActive(name: ResourceName) {
            display("{name} is not withdrawn; withdraw it before deleting it")
        }
        /// The operation id was used for a different change.
        OperationReused(operation: OperationId) {
            display("operation {operation} was another change; use a new operation id")
        }
        /// The kind of resource does not support the edit.
        UnsupportedEdit(name: ResourceName, remedy: &'static str) {
            display("{name} cannot be changed like that; {remedy}")
        }
        /// A field of the resource has an invalid value.
        InvalidField(field: &'static str, value: String, remedy: &'static str) {
            display("field '{field}' has value '{value}'; {remedy}")
        }
    }
}
