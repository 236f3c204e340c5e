//! Waits until a revision has propagated to all live daemons.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use serde::{Deserialize, Serialize};

use crate::config::config_driver::ConfigDriver;
use crate::ids::Revision;

/// Maximum number of concurrent queries to peers.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Delay between two rounds of queries.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Which live daemons have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PropagationReport {
    /// Number of daemons that confirmed the revision, including the one that reports.
    pub confirmed: usize,
    /// Peer addresses of the live daemons that did not confirm it in time.
    pub unconfirmed: Vec<SocketAddr>,
}

/// Queries the live peers in rounds until all confirm `revision`, for at most `span`.
pub(super) async fn wait(
    driver: &Rc<ConfigDriver>,
    revision: Revision,
    span: Duration,
) -> PropagationReport {
    let peers = (driver.sources.peer_addresses)();
    let pending = RefCell::new(peers.clone());
    let querying = async {
        while !pending.borrow().is_empty() {
            query_round(driver, revision, &pending).await;
            actix_rt::time::sleep(ROUND_DELAY).await;
        }
    };
    let _ = actix_rt::time::timeout(span, querying).await;
    let unconfirmed = pending.into_inner();
    PropagationReport {
        confirmed: 1 + peers.len() - unconfirmed.len(),
        unconfirmed,
    }
}

async fn query_round(
    driver: &Rc<ConfigDriver>,
    revision: Revision,
    pending: &RefCell<Vec<SocketAddr>>,
) {
    let peers = pending.borrow().clone();
    futures_util::stream::iter(peers)
        .for_each_concurrent(MAX_CONCURRENT_QUERIES, |peer| async move {
            let state = driver.query_peer(peer, revision).await;
            if state.is_some_and(|state| state.revision >= revision) {
                pending.borrow_mut().retain(|other| *other != peer);
            }
        })
        .await;
}
