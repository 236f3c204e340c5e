//! What is wrong with an instance of the model.

use std::time::Duration;

use wagtailtrack::health::SampleOutcome;
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;

/// A fault that begins at a set time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InstanceFault {
    /// Answers this many times more slowly.
    Slow(f64),
    /// Answers this share of the requests so many times more slowly.
    PartlySlow(f64, f64),
    /// Fails this share of the requests at once.
    Failing(f64),
    /// Cuts or garbles this share of the answers.
    Wrong(f64),
    /// Answers nothing.
    Frozen,
    /// Slow by a factor in every other stretch of so many milliseconds.
    FlappingSlow(f64, u64),
    /// Fails every request in every other stretch of so many milliseconds.
    FlappingFailing(u64),
    /// Sheds this share of the requests.
    Shedding(f64),
    /// Slow by a factor for so many milliseconds, then well.
    Cold(f64, u64),
    /// Stands still for so many milliseconds, once.
    Pause(u64),
}

impl InstanceFault {
    /// The answer of an instance with this fault, `age` after the fault began.
    ///
    /// None when it never answers.
    pub fn apply(
        self,
        usual: Duration,
        age: Duration,
        rng: &mut fastrand::Rng,
    ) -> Option<(SampleOutcome, Duration)> {
        let millis = u64::try_from(age.as_millis()).unwrap();
        let is_bad = |stretch: u64| (millis / stretch).is_multiple_of(2);
        let quick = Duration::from_millis(3);
        let good = (SampleOutcome::Good, usual);
        Some(match self {
            Self::Slow(factor) => (SampleOutcome::Good, usual.mul_f64(factor)),
            Self::PartlySlow(share, factor) if rng.f64() < share => {
                (SampleOutcome::Good, usual.mul_f64(factor))
            }
            Self::Failing(share) if rng.f64() < share => (SampleOutcome::Failed, quick),
            Self::Wrong(share) if rng.f64() < share => (SampleOutcome::Wrong, usual),
            Self::Frozen => return None,
            Self::FlappingSlow(factor, stretch) if is_bad(stretch) => {
                (SampleOutcome::Good, usual.mul_f64(factor))
            }
            Self::FlappingFailing(stretch) if is_bad(stretch) => (SampleOutcome::Failed, quick),
            Self::Shedding(share) if rng.f64() < share => (SampleOutcome::Shed, quick),
            Self::Cold(factor, span) if millis < span => {
                (SampleOutcome::Good, usual.mul_f64(factor))
            }
            Self::Pause(span) if millis < span => {
                let left = Duration::from_millis(span).saturating_sub(age);
                (SampleOutcome::Good, usual + left)
            }
            _ => good,
        })
    }
}

/// The service time of a healthy instance: 15 to 30 ms for a lookup, four times that for
/// one in two hundred.
pub fn usual_time(class: RequestClass, rng: &mut fastrand::Rng) -> Duration {
    let tail = if rng.u8(0..200) == 0 { 4.0 } else { 1.0 };
    let factor = match class {
        RequestClass::Lookup | RequestClass::Filing => 1.0,
        RequestClass::Extract => 8.0,
        RequestClass::InternalCheck => 0.7,
    };
    Duration::from_secs_f64((0.015 + 0.015 * rng.f64()) * tail * factor)
}

/// When a fault strikes an instance.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    pub fault: InstanceFault,
    pub begins: MonoTime,
}
