//! Estimate of the demand of queues with few and large jobs, and of bursts of many small ones.
//!
//! Each test replays its arrivals with the estimate and with the higher of the two averages, which
//! is the estimate without a measure of chance.

mod support;

use ibisweir::jobs::model::{JobSpec, ResourceVector, StepSpec};
use ibisweir::scheduler::demand::ArrivalRate;
use ibisweir::scheduler::runtime::RuntimeModel;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{job, step};

/// Windows of the two averages, in milliseconds.
const WINDOWS_MS: [f64; 2] = [600.0, 120.0];
const SEEDS: u64 = 8;
/// Interval at which the estimates are read, in milliseconds.
const SAMPLE_MS: u64 = 20;

/// The higher of two averages of arriving work.
#[derive(Default)]
struct HigherAverage {
    averages: [f64; 2],
    updated_ms: u64,
}

impl HigherAverage {
    fn decay(&mut self, now: u64) {
        let elapsed = (now - self.updated_ms) as f64;
        self.updated_ms = now;
        for (average, window) in self.averages.iter_mut().zip(WINDOWS_MS) {
            *average *= (-elapsed / window).exp();
        }
    }

    fn record(&mut self, work: f64, now: u64) {
        self.decay(now);
        for (average, window) in self.averages.iter_mut().zip(WINDOWS_MS) {
            *average += work / window;
        }
    }

    fn load(&mut self, now: u64) -> f64 {
        self.decay(now);
        self.averages[0].max(self.averages[1])
    }
}

/// A queue's arrivals: jobs a second, tasks of a job, their thousandths of a core, their mean time
/// in milliseconds, and its spread as a factor.
#[derive(Clone, Copy)]
struct QueueLoad {
    jobs: f64,
    tasks: u32,
    cpu: u64,
    mean_ms: f64,
    spread: f64,
}

/// 18 jobs a second of 16 tasks each of 3.3 cores for 1.8 s.
const LARGE_JOBS: QueueLoad =
    QueueLoad { jobs: 18.0, tasks: 16, cpu: 3_300, mean_ms: 1_800.0, spread: 4.0 };

impl QueueLoad {
    fn small(jobs: f64) -> QueueLoad {
        QueueLoad { jobs, tasks: 2, cpu: 1_000, mean_ms: 640.0, spread: 1.5 }
    }

    /// Thousandths of a core that the queue keeps busy.
    fn load(&self) -> f64 {
        self.jobs / 1_000.0 * f64::from(self.tasks) * self.cpu as f64 * self.mean_ms
    }

    fn next_gap_ms(&self, random: &mut StdRng) -> f64 {
        -(1.0 - random.random_range(0.0..1.0_f64)).ln() * 1_000.0 / self.jobs
    }

    /// A job whose time is up to `spread` times as long or short as the median.
    fn next_job(&self, random: &mut StdRng) -> JobSpec {
        let log = self.spread.ln();
        // The mean of exp(x) for x uniform in -log to log.
        let mean = log.sinh() / log;
        let estimate_ms = self.mean_ms * random.random_range(-log..log).exp() / mean;
        let need = ResourceVector { cpu: self.cpu, memory: 1_000, accelerators: 0 };
        let estimate_ms = estimate_ms.round() as u64;
        job(vec![StepSpec { need, estimate_ms, ..step(self.tasks) }])
    }
}

/// Replays arrivals of a load from `from_ms` to `to_ms`. Returns the readings of the estimate and
/// of the higher average, as parts of the load.
fn replay(
    rates: &mut (ArrivalRate, HigherAverage),
    load: QueueLoad,
    span_ms: (u64, u64),
    random: &mut StdRng,
) -> Vec<(f64, f64)> {
    let mut readings = Vec::new();
    let mut next = span_ms.0 as f64 + load.next_gap_ms(random);
    for now in span_ms.0..span_ms.1 {
        while next <= now as f64 {
            let spec = load.next_job(random);
            let held = &spec.steps[0];
            let work = held.need.cpu as f64 * held.estimate_ms as f64 * f64::from(held.count);
            rates.0.record_arrival(&spec, &RuntimeModel::default(), now);
            rates.1.record(work, now);
            next += load.next_gap_ms(random);
        }
        if now.is_multiple_of(SAMPLE_MS) {
            let estimate = rates.0.load(now).cpu as f64;
            readings.push((estimate / load.load(), rates.1.load(now) / load.load()));
        }
    }
    readings
}

/// Readings on steady load, after the averages have settled.
fn steady_readings(load: QueueLoad) -> Vec<(f64, f64)> {
    let mut readings = Vec::new();
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut rates = Default::default();
        replay(&mut rates, load, (0, 4_000), &mut random);
        readings.extend(replay(&mut rates, load, (4_000, 64_000), &mut random));
    }
    readings
}

fn mean(figures: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = figures.fold((0.0, 0.0), |(sum, count), one| (sum + one, count + 1.0));
    sum / count
}

/// Guards against VMs that stand idle because few and large jobs make the estimate too high by
/// chance: its mean overestimate must be at most 0.75 of that of the higher average.
#[test]
fn few_large_jobs_are_overestimated_less() {
    let readings = steady_readings(LARGE_JOBS);
    let over = |one: f64| (one - 1.0).max(0.0);
    let (now, before) = (
        mean(readings.iter().map(|(now, _)| over(*now))),
        mean(readings.iter().map(|(_, before)| over(*before))),
    );
    let (bias, bias_before) = (
        mean(readings.iter().map(|(now, _)| now - 1.0)),
        mean(readings.iter().map(|(_, before)| before - 1.0)),
    );
    println!("mean overestimate {now:.3}, before {before:.3}; bias {bias:.3}, {bias_before:.3}");
    assert!(now <= before * 0.75, "{now:.3} of {before:.3}");
    assert!(bias <= bias_before * 0.7, "{bias:.3} of {bias_before:.3}");
}

/// Guards against jobs that wait because the estimate is too low: on steady load, large jobs and
/// small ones, it is below the load at most 2% of the time more often than the higher average, and
/// its mean shortfall is not larger.
#[test]
fn steady_load_is_not_underestimated_more_often() {
    for load in [LARGE_JOBS, QueueLoad::small(30.0), QueueLoad::small(140.0)] {
        let readings = steady_readings(load);
        let is_under = |one: f64| f64::from(u8::from(one < 1.0));
        let under = |one: f64| (1.0 - one).max(0.0);
        let (often, often_before) = (
            mean(readings.iter().map(|(now, _)| is_under(*now))),
            mean(readings.iter().map(|(_, before)| is_under(*before))),
        );
        let (short, short_before) = (
            mean(readings.iter().map(|(now, _)| under(*now))),
            mean(readings.iter().map(|(_, before)| under(*before))),
        );
        println!(
            "{} jobs a second: below {often:.3} of the time, before {often_before:.3}; \
             shortfall {short:.3}, {short_before:.3}",
            load.jobs
        );
        assert!(often <= often_before + 0.02, "{often:.3}, before {often_before:.3}");
        assert!(short <= short_before * 1.02, "{short:.3}, before {short_before:.3}");
    }
}

/// Guards against VMs that come late: after a step from few jobs to 30 to 140 a second, the
/// estimate reaches 80% of the new load at most a tenth of a second after the higher average does.
#[test]
fn a_step_of_many_small_jobs_is_recognised_as_early() {
    for jobs in [30.0, 80.0, 140.0] {
        let mut sums = (0, 0);
        for seed in 0..SEEDS * 4 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut rates = Default::default();
            replay(&mut rates, QueueLoad::small(5.0), (0, 4_000), &mut random);
            let load = QueueLoad::small(jobs);
            let readings = replay(&mut rates, load, (4_000, 7_000), &mut random);
            let reached = |figures: Vec<f64>| {
                let index = figures.iter().position(|one| *one >= 0.8).unwrap_or(figures.len());
                u64::try_from(index).unwrap() * SAMPLE_MS
            };
            let now = reached(readings.iter().map(|(now, _)| *now).collect());
            let before = reached(readings.iter().map(|(_, before)| *before).collect());
            assert!(now <= before + 100, "{jobs} jobs, seed {seed}: {now}, before {before} ms");
            sums = (sums.0 + now, sums.1 + before);
        }
        let count = SEEDS * 4;
        println!("{jobs} jobs a second: {} ms, before {} ms", sums.0 / count, sums.1 / count);
    }
}
