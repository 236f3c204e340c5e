//! Criteria of a pick.

use crate::balance::PickScope;
use crate::ids::InstanceId;
use crate::units::Percent;
use crate::wire::InstanceRecord;

/// The criteria by which an instance is picked for a request.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// The capacity floor of the service, in percent of its announced slots.
    pub floor: Percent,
    /// Instances to leave out, because the request was already sent to them.
    pub tried: &'a [InstanceId],
    /// Whether the request is idempotent, so that it may be repeated.
    pub idempotent: bool,
    /// Whether the request may be a trial of an instance that has just failed.
    pub allows_trial: bool,
    /// Whether to pick nothing rather than an instance that is not fully healthy, because a healthy
    /// one was only busy and can be tried again.
    pub may_wait: bool,
    /// Whether the request or its response is large.
    pub is_bulk: bool,
    /// The instances that may be picked.
    pub scope: PickScope<'a>,
}

impl PickCriteria<'_> {
    /// Whether the instance of `record` is in scope and was not tried.
    #[must_use]
    pub fn includes(&self, record: &InstanceRecord) -> bool {
        self.scope.includes(record) && !self.tried.contains(&record.instance)
    }
}
