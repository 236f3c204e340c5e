//! Waits until a revision is in force everywhere.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use serde::{Deserialize, Serialize};

use crate::config::config_driver::ConfigDriver;
use crate::ids::Revision;

const ASKED_AT_ONCE: usize = 64;
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Where a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PropagationReport {
    /// Daemons that said so, the answering one included.
    pub confirmed: usize,
    /// Peer addresses of the live daemons that did not.
    pub unconfirmed: Vec<SocketAddr>,
}

/// Asks every live peer again and again, for at most `span`.
pub(super) async fn wait(
    driver: &Rc<ConfigDriver>,
    revision: Revision,
    span: Duration,
) -> PropagationReport {
    let peers = (driver.sources.peer_addresses)();
    let left = RefCell::new(peers.clone());
    let asking = async {
        while !left.borrow().is_empty() {
            ask_round(driver, revision, &left).await;
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
    };
    let _ = actix_rt::time::timeout(span, asking).await;
    let unconfirmed = left.into_inner();
    PropagationReport {
        confirmed: 1 + peers.len() - unconfirmed.len(),
        unconfirmed,
    }
}

async fn ask_round(driver: &Rc<ConfigDriver>, revision: Revision, left: &RefCell<Vec<SocketAddr>>) {
    let asked = left.borrow().clone();
    futures_util::stream::iter(asked)
        .for_each_concurrent(ASKED_AT_ONCE, |peer| async move {
            let state = driver.ask(peer, revision).await;
            if state.is_some_and(|state| state.revision >= revision) {
                left.borrow_mut().retain(|other| *other != peer);
            }
        })
        .await;
}
