//! An open-loop load: requests leave when they are due, whatever the answers do.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until};

use crate::load_records::LoadRecords;
use crate::load_stream::LoadStream;
use crate::request_sender::{DEADLINE, RequestSender};

const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running load.
pub struct LoadRun {
    /// When it began.
    pub origin: Instant,
    shared: Rc<SharedLoad>,
}

struct SharedLoad {
    records: RefCell<LoadRecords>,
    is_stopped: Cell<bool>,
    under_way: Cell<usize>,
    serial: Cell<u64>,
    sender: RequestSender,
}

impl LoadRun {
    /// Begins to send every stream; times of arrival follow from `seed`.
    pub fn spawn(streams: Vec<LoadStream>, seed: u64) -> Self {
        let origin = Instant::now();
        let shared = Rc::new(SharedLoad {
            records: RefCell::default(),
            is_stopped: Cell::default(),
            under_way: Cell::default(),
            serial: Cell::default(),
            sender: RequestSender::open(origin),
        });
        for (index, stream) in streams.into_iter().enumerate() {
            let rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(index as u64));
            actix_rt::spawn(send_stream(Rc::clone(&shared), stream, origin, rng));
        }
        Self { origin, shared }
    }

    /// Time since it began.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Stops sending, waits for what is under way and returns every record.
    pub async fn stop(self) -> LoadRecords {
        self.shared.is_stopped.set(true);
        let begun = Instant::now();
        while self.shared.under_way.get() > 0 && begun.elapsed() < DRAIN_LIMIT {
            sleep(DRAIN_POLL).await;
        }
        self.shared.records.take()
    }
}

/// Runs a load for `length` and returns its records.
pub async fn run_for(streams: Vec<LoadStream>, seed: u64, length: Duration) -> LoadRecords {
    let run = LoadRun::spawn(streams, seed);
    sleep(length).await;
    run.stop().await
}

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
            shared.under_way.set(shared.under_way.get() + 1);
            let serial = shared.serial.replace(shared.serial.get() + 1);
            let record = shared.sender.send(&stream, target, serial, due).await;
            shared.records.borrow_mut().0.push(record);
            shared.under_way.set(shared.under_way.get() - 1);
        });
    }
}

/// The limit within which an answer counts as in time.
pub const fn deadline() -> Duration {
    DEADLINE
}
