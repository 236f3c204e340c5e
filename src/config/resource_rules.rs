//! Validation of a single resource, independent of other resources.

use crate::config::ChangeRefusal;
use crate::config::path_segments::is_ambiguous;
use crate::resource::{ConfigResource, RouteAccess, ServiceRoute};

const MAX_PREFIX_BYTES: usize = 255;
const MAX_ACCESS_ACCOUNTS: usize = 1_000;

/// Validates the fields of `resource`.
///
/// # Errors
/// `ChangeRefusal::InvalidField` with the field, its value and the remedy.
pub fn validate(resource: &ConfigResource) -> Result<(), ChangeRefusal> {
    match resource {
        ConfigResource::Route(route) => validate_route(route),
        ConfigResource::Account(_)
        | ConfigResource::Key(_)
        | ConfigResource::Rate(_)
        | ConfigResource::Service(_)
        | ConfigResource::Evacuation(_) => Ok(()),
    }
}

fn validate_route(route: &ServiceRoute) -> Result<(), ChangeRefusal> {
    let refuse = |remedy| {
        let shown = route.prefix.chars().take(MAX_PREFIX_BYTES).collect();
        Err(ChangeRefusal::InvalidField("prefix", shown, remedy))
    };
    let prefix = route.prefix.as_str();
    if !prefix.starts_with('/') {
        return refuse("begin it with '/'");
    }
    if prefix.len() > MAX_PREFIX_BYTES {
        return refuse("use at most 255 bytes");
    }
    if prefix.len() > 1 && prefix.ends_with('/') {
        return refuse("leave the last '/' out; a prefix covers whole segments");
    }
    let is_forbidden = |found: char| found.is_ascii_control() || matches!(found, ' ' | '?' | '#');
    if !prefix.is_ascii() || prefix.contains(is_forbidden) {
        return refuse("use printable ASCII without spaces, '?' and '#'; encode the rest");
    }
    if is_ambiguous(prefix) {
        return refuse("leave out empty and dot segments and encoded slashes");
    }
    validate_access(&route.access)
}

fn validate_access(access: &RouteAccess) -> Result<(), ChangeRefusal> {
    match access {
        RouteAccess::Accounts(named) if named.len() > MAX_ACCESS_ACCOUNTS => {
            Err(ChangeRefusal::InvalidField(
                "access",
                format!("{} accounts", named.len()),
                "name at most 1000, or open the route to all",
            ))
        }
        RouteAccess::Accounts(_) | RouteAccess::All | RouteAccess::Public => Ok(()),
    }
}
