//! Until when a request may be sent to an instance while the daemon shuts down.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::ingress::caller_request::CallerRequest;
use crate::ingress::{IngressHandle, RequestPlan, RequestRefusal, WorkTimes};
use crate::time::Deadline;

impl IngressHandle {
    /// How long requests of the plan's route take; none if unknown. Where the route has not been
    /// observed, the slowest instance of its service counts.
    fn work_times(&self, plan: &RequestPlan) -> Option<WorkTimes> {
        let times = &self.state.borrow().route_times;
        let (service, route) = (&plan.service, &plan.route);
        if let (Some(usual), Some(most)) =
            (times.usual(service, route), times.expected(service, route))
        {
            return Some(WorkTimes { usual, most });
        }
        let records = self.sources.members.instances_of(service);
        let medians = records.iter().map(|record| record.median_micros);
        let slowest = medians.max().filter(|micros| *micros > 0)?;
        let usual = Duration::from_micros(slowest.into());
        Some(WorkTimes { usual, most: usual })
    }

    /// Until when a request may be sent to an instance; none if the shutdown sets no bound.
    fn last_start(&self, plan: &RequestPlan, deadline: Deadline) -> Option<Deadline> {
        let limits = self.shutdown.limits()?;
        limits.last_start(deadline, self.work_times(plan))
    }

    /// Carries out a step before the first attempt at a request, or refuses the request once it can no
    /// longer be completed before the daemon ends.
    pub(crate) async fn while_startable<T>(
        &self,
        plan: &RequestPlan,
        deadline: Deadline,
        step: impl Future<Output = Result<T, RequestRefusal>>,
    ) -> Result<T, RequestRefusal> {
        let last_start = || self.last_start(plan, deadline);
        let ended = self
            .shutdown
            .wait_last_start(self.sources.clock, last_start);
        match select(pin!(step), pin!(ended)).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(RequestRefusal::Stopping),
        }
    }
}

impl CallerRequest<'_> {
    /// Whether an attempt that begins now can be completed before the daemon ends.
    pub(crate) fn may_start(&self) -> bool {
        let now = self.ingress.sources.clock.now();
        let last_start = self.last_start();
        last_start.is_none_or(|last_start| !last_start.has_passed(now))
    }

    /// Until when an attempt may begin; none if the shutdown sets no bound.
    pub(crate) fn last_start(&self) -> Option<Deadline> {
        self.ingress.last_start(&self.plan, self.deadline)
    }
}
