//! Guard that keeps the picker's count of running requests right when an attempt is cancelled.

use crate::ids::InstanceId;
use crate::ingress::caller_request::CallerRequest;

/// An offer that the picker counts at its instance. Dropping it before `end` counts the offer as cancelled.
pub(crate) struct CountedOffer<'a> {
    request: &'a CallerRequest<'a>,
    instance: InstanceId,
    has_ended: bool,
}

impl<'a> CountedOffer<'a> {
    /// Creates the guard of an offer that was counted when its instance was picked.
    pub(crate) fn open(request: &'a CallerRequest<'a>, instance: &InstanceId) -> Self {
        Self {
            request,
            instance: instance.clone(),
            has_ended: false,
        }
    }

    /// Notes that the attempt has an outcome, which the picker is told with the load of the instance.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for CountedOffer<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let service = &self.request.plan.service;
        self.request
            .ingress
            .with_picker(service, |picker, _| picker.on_cancel(&self.instance));
    }
}
