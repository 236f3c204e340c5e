//! Collects the instances that any daemon reports as ejected in its `/dump`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use serde_json::Value;
use wagtailtrack::hash::FastSet;

use crate::common::{CallerClient, TestFleet};

const POLL: Duration = Duration::from_millis(400);
const EJECTED: &str = "ejected";

/// A running poller of the dumps of all daemons.
pub struct EjectionWatch {
    shared: Rc<SharedWatch>,
}

#[derive(Default)]
struct SharedWatch {
    seen: RefCell<FastSet<String>>,
    dumps: Cell<usize>,
    is_stopped: Cell<bool>,
}

impl EjectionWatch {
    /// Starts to poll the daemons of `fleet`.
    pub fn spawn(fleet: &TestFleet) -> Self {
        let shared = Rc::new(SharedWatch::default());
        let daemons: Vec<CallerClient> = fleet
            .daemons
            .iter()
            .map(super::common::DaemonProcess::operator)
            .collect();
        actix_rt::spawn(watch(daemons, Rc::clone(&shared)));
        Self { shared }
    }

    /// Stops polling; returns the instances seen as ejected and the number of dumps read.
    pub fn stop(self) -> (FastSet<String>, usize) {
        self.shared.is_stopped.set(true);
        (self.shared.seen.take(), self.shared.dumps.get())
    }
}

async fn watch(daemons: Vec<CallerClient>, shared: Rc<SharedWatch>) {
    while !shared.is_stopped.get() {
        let dumps = join_all(daemons.iter().map(read_dump)).await;
        for dump in dumps.into_iter().flatten() {
            shared.dumps.set(shared.dumps.get() + 1);
            collect(&dump, &mut shared.seen.borrow_mut());
        }
        sleep(POLL).await;
    }
}

async fn read_dump(daemon: &CallerClient) -> Option<Value> {
    let answer = daemon.get("/dump").await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Adds the instance of every object in `value` whose health is ejected.
fn collect(value: &Value, seen: &mut FastSet<String>) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| collect(item, seen)),
        Value::Object(fields) => {
            let instance = fields.get("instance").and_then(Value::as_str);
            let is_ejected = fields.get("health").is_some_and(is_ejected_health);
            if let (Some(instance), true) = (instance, is_ejected) {
                seen.insert(instance.to_owned());
            }
            fields.values().for_each(|field| collect(field, seen));
        }
        _ => {}
    }
}

fn is_ejected_health(health: &Value) -> bool {
    health.as_str() == Some(EJECTED) || health.get(EJECTED).is_some()
}
