//! Registers a backend instance with its local daemon over HTTP and renews the registration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use serde::Serialize;
use wagtailtrack::ids::ServiceId;
use wagtailtrack::units::{Slots, TimeSpan};
use wagtailtrack::wire::InstancePhase;

use crate::instance_state::InstanceState;

const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// An announcement expires after this long unless it is renewed.
const LEASE: TimeSpan = TimeSpan::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// JSON body of `PUT /v1/instances/{instance}`.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a ServiceId,
    address: SocketAddr,
    phase: InstancePhase,
    slots: Slots,
    lease: TimeSpan,
    cold: TimeSpan,
}

/// Starts a task that announces `state`, reachable at `address`, to `daemon`.
///
/// It announces every second, and at once when the phase changes.
pub fn spawn(state: Rc<InstanceState>, daemon: SocketAddr, address: SocketAddr) {
    actix_rt::spawn(async move {
        let client = awc::Client::default();
        loop {
            let phase = state.phase();
            announce(&client, &state, daemon, address, phase).await;
            let interval = renewal_interval(&state);
            let _ = timeout(interval, state.announce_now.notified()).await;
        }
    });
}

/// Time until the next announcement; at most the starting phase while the instance starts.
fn renewal_interval(state: &InstanceState) -> Duration {
    match state.phase() {
        InstancePhase::Starting => RENEWAL_INTERVAL.min(state.spec.starting),
        _ => RENEWAL_INTERVAL,
    }
}

async fn announce(
    client: &awc::Client,
    state: &InstanceState,
    daemon: SocketAddr,
    address: SocketAddr,
    phase: InstancePhase,
) {
    let url = format!("http://{daemon}/v1/instances/{}", state.spec.instance);
    let body = Announcement {
        service: &state.spec.service,
        address,
        phase,
        slots: state.spec.slots,
        lease: LEASE,
        cold: state.cold_left(),
    };
    let request = client.put(url).timeout(CALL_TIMEOUT).send_json(&body);
    match request.await {
        Ok(response) if response.status().is_success() => {}
        Ok(response) => eprintln!(
            "standin-backend: the daemon rejected the announcement of {}: status {}",
            state.spec.instance,
            response.status()
        ),
        Err(cause) => eprintln!(
            "standin-backend: cannot announce {} to the daemon: {cause}",
            state.spec.instance
        ),
    }
}
