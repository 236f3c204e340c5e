//! Open-loop load generator: requests are sent when due, without waiting for responses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until};

use crate::load_records::LoadRecords;
use crate::load_stream::LoadStream;
use crate::request_sender::{DEADLINE, RequestSender};

const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running load generator.
pub struct LoadRun {
    /// Start of the load; due times count from here.
    pub origin: Instant,
    shared: Rc<SharedLoad>,
}

struct SharedLoad {
    records: RefCell<LoadRecords>,
    is_stopped: Cell<bool>,
    in_flight: Cell<usize>,
    serial: Cell<u64>,
    sender: RequestSender,
}

impl LoadRun {
    /// Starts to send every stream; `seed` determines the send times and targets.
    pub fn spawn(streams: Vec<LoadStream>, seed: u64) -> Self {
        let origin = Instant::now();
        let shared = Rc::new(SharedLoad {
            records: RefCell::default(),
            is_stopped: Cell::default(),
            in_flight: Cell::default(),
            serial: Cell::default(),
            sender: RequestSender::open(origin),
        });
        for (index, stream) in streams.into_iter().enumerate() {
            let rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(index as u64));
            actix_rt::spawn(send_stream(Rc::clone(&shared), stream, origin, rng));
        }
        Self { origin, shared }
    }

    /// Time since the start of the load.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Stops sending, waits up to 2.5 s for requests in flight and returns all records.
    pub async fn stop(self) -> LoadRecords {
        self.shared.is_stopped.set(true);
        let started = Instant::now();
        while self.shared.in_flight.get() > 0 && started.elapsed() < DRAIN_TIMEOUT {
            sleep(DRAIN_POLL).await;
        }
        self.shared.records.take()
    }
}

/// Runs a load for `duration` and returns its records.
pub async fn run_for_duration(
    streams: Vec<LoadStream>,
    seed: u64,
    duration: Duration,
) -> LoadRecords {
    let run = LoadRun::spawn(streams, seed);
    sleep(duration).await;
    run.stop().await
}

/// Sends a stream as a Poisson process, each request to a random target.
async fn send_stream(
    shared: Rc<SharedLoad>,
    stream: LoadStream,
    origin: Instant,
    mut rng: fastrand::Rng,
) {
    let stream = Rc::new(stream);
    let mut due = Duration::ZERO;
    loop {
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / stream.rate);
        sleep_until((origin + due).into()).await;
        if shared.is_stopped.get() {
            return;
        }
        let target = stream.targets[rng.usize(..stream.targets.len())];
        let (shared, stream) = (Rc::clone(&shared), Rc::clone(&stream));
        actix_rt::spawn(async move {
            shared.in_flight.set(shared.in_flight.get() + 1);
            let serial = shared.serial.replace(shared.serial.get() + 1);
            let record = shared.sender.send(&stream, target, serial, due).await;
            shared.records.borrow_mut().0.push(record);
            shared.in_flight.set(shared.in_flight.get() - 1);
        });
    }
}

/// The deadline of each request; a later response does not count as in time.
pub const fn deadline() -> Duration {
    DEADLINE
}
