//! Announces an instance to the daemon beside it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use serde::Serialize;
use wagtailtrack::ids::ServiceId;
use wagtailtrack::units::{Slots, TimeSpan};
use wagtailtrack::wire::InstancePhase;

use crate::instance_state::InstanceState;

const RENEW_EVERY: Duration = Duration::from_secs(1);
const LEASE: TimeSpan = TimeSpan::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// The body of an announcement.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a ServiceId,
    address: SocketAddr,
    phase: InstancePhase,
    slots: Slots,
    lease: TimeSpan,
}

/// Announces `state`, reachable at `address`, to `daemon` about every second and at each change.
pub fn spawn(state: Rc<InstanceState>, daemon: SocketAddr, address: SocketAddr) {
    actix_rt::spawn(async move {
        let client = awc::Client::default();
        loop {
            let phase = state.phase();
            announce(&client, &state, daemon, address, phase).await;
            let until = next_renewal(&state);
            let _ = timeout(until, state.announce_now.notified()).await;
        }
    });
}

fn next_renewal(state: &InstanceState) -> Duration {
    match state.phase() {
        InstancePhase::Starting => RENEW_EVERY.min(state.spec.starting),
        _ => RENEW_EVERY,
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
    };
    let request = client.put(url).timeout(CALL_LIMIT).send_json(&body);
    match request.await {
        Ok(answer) if answer.status().is_success() => {}
        Ok(answer) => eprintln!(
            "standin-backend: announcement of {} got {}",
            state.spec.instance,
            answer.status()
        ),
        Err(cause) => eprintln!(
            "standin-backend: cannot announce {}: {cause}",
            state.spec.instance
        ),
    }
}
