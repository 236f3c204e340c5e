//! Calls by which `MembersHandle` pulls records from other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{RegionId, ServiceId};
use crate::logs::log_target;
use crate::members::MembersHandle;
use crate::wire::{InstancesCall, InstancesReply, PeerCall, PeerReply};

// Timeout of one call, which returns one page.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
// Pages read in one pull.
const MAX_PAGES: usize = 64;

impl MembersHandle {
    /// Pulls the owners whose states differ, page by page, at most `MAX_PAGES` pages.
    pub(super) async fn pull(self, peer: SocketAddr) {
        let mut next = Some(0);
        for _ in 0..MAX_PAGES {
            let Some(from_hash) = next else {
                return;
            };
            next = self.pull_page(peer, from_hash).await;
        }
    }

    async fn pull_page(&self, peer: SocketAddr, from_hash: u32) -> Option<u32> {
        let call = self.state.core.borrow().pull_call(peer, from_hash);
        let call = PeerCall::Instances(call);
        let reply = self
            .state
            .sources
            .peers
            .call(peer, call, PULL_TIMEOUT)
            .await;
        match reply {
            Ok(PeerReply::Instances(InstancesReply::Owners { owners, next, runs })) => {
                self.state.sources.suspects.receive_known(&runs);
                let actions =
                    self.with_core(|core, rng, now| core.merge_pull_page(&owners, now, rng));
                self.execute(actions);
                next
            }
            Ok(_) => None,
            Err(cause) => {
                log::info!(target: log_target::MEMBERS, peer:%, cause:%; "Cannot pull the members that differ from this peer's view.");
                None
            }
        }
    }

    /// Queries a daemon of another region for the records of a service; failures are retried at the
    /// next refresh.
    pub(super) async fn pull_service(self, service: ServiceId, region: RegionId, peer: SocketAddr) {
        let call = PeerCall::Instances(InstancesCall::Service(service.clone()));
        let reply = self
            .state
            .sources
            .peers
            .call(peer, call, PULL_TIMEOUT)
            .await;
        if let Ok(PeerReply::Instances(InstancesReply::Service(records))) = reply {
            let mut core = self.state.core.borrow_mut();
            core.store_remote_service(&service, region, records);
        }
    }
}
