//! Time until a sick instance gets no new work.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::load_records::LoadRecords;
use crate::load_run::LoadRun;
use crate::measure_bench::{MeasureBench, SERVICE_TIME, instance_name};
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;
use crate::sick_watch::SickWatch;

const MEASURE: &str = "detection time";
const PART: f64 = 0.5;
const WARM_UP: Duration = Duration::from_secs(2);
const SICK: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_secs(1);
const AIM_MEDIAN_SECONDS: f64 = 2.0;
const AIM_WORST_SECONDS: f64 = 5.0;
/// An answer this many times later than the service time was held up.
const SLOW_TIMES: u32 = 5;

/// The sicknesses: their names and the stand-in's faults.
const FAULTS: [(&str, &str); 5] = [
    ("10x slow", "{\"slow\":10}"),
    ("wrong", "\"wrong\""),
    ("failing 30%", "{\"failing\":\"30%\"}"),
    ("frozen", "\"frozen\""),
    ("flapping 2 s", "{\"flapping\":\"2s\"}"),
];

struct SickSpell {
    name: &'static str,
    instance: usize,
    from: Duration,
    until: Duration,
}

/// Makes one instance of the desk after the other sick, at half load.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let run = LoadRun::spawn(bench.streams(PART), bench.seed);
    sleep(WARM_UP).await;
    let mut spells = Vec::new();
    for (index, (name, fault)) in FAULTS.into_iter().enumerate() {
        let instance = first_instance(bench) + index;
        let from = run.elapsed();
        bench.fleet.backends[instance].fault(fault).await;
        sleep(SICK).await;
        let until = run.elapsed();
        bench.fleet.backends[instance].fault("\"normal\"").await;
        sleep(PAUSE).await;
        spells.push(SickSpell {
            name,
            instance,
            from,
            until,
        });
    }
    let records = run.stop().await;
    let records = records.filtered(|record| record.kind.service() == DESK);
    let mut rows: Vec<MeasureRow> = Vec::new();
    let times: Vec<f64> = spells
        .iter()
        .map(|spell| detection(bench, &records, spell))
        .collect();
    for (spell, seconds) in spells.iter().zip(&times) {
        let row = MeasureRow::at_most(MEASURE, spell.name, *seconds, "s", AIM_WORST_SECONDS);
        let seen = records.between(spell.from, spell.until);
        seen.tell_reasons(spell.name);
        rows.push(row.with_note(seen.summary()));
    }
    let median = median(times);
    rows.push(MeasureRow::at_most(
        MEASURE,
        "median of all",
        median,
        "s",
        AIM_MEDIAN_SECONDS,
    ));
    rows
}

/// Other seeds make other instances sick.
fn first_instance(bench: &MeasureBench) -> usize {
    let choices = bench.shape.desks() - FAULTS.len();
    bench.seed as usize % choices
}

fn detection(bench: &MeasureBench, records: &LoadRecords, spell: &SickSpell) -> f64 {
    let watch = SickWatch {
        records,
        instance: &instance_name(spell.instance),
        instances: bench.shape.desks(),
        from: spell.from,
        until: spell.until,
        slow: SERVICE_TIME * SLOW_TIMES,
    };
    let found = watch.detection();
    found.map_or(f64::INFINITY, |time| time.as_secs_f64())
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
