//! Callers that cancel promptly, through another entry than the one that has the submission: right after it was
//! acknowledged, or while it is under way and its outcome is not known.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use ibisweir::jobs::model::JobId;
use ibisweir::transport::HttpTransport;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::join;
use tokio::time::sleep;

use crate::jobs::ledger::{CallerJob, SubmissionEnd};
use crate::soak::callers::{CallerGroup, PATIENCE, PAUSE_MS, TRIES, Told, organisation_of};

/// Longest time from the acknowledgement of a submission, or from its sending, to the cancellation, in milliseconds.
const PROMPT_MS: u64 = 300;
/// Shortest and longest time after which a caller gives a submission up, in milliseconds.
const GIVE_UP_MS: std::ops::Range<u64> = 30..1_500;
/// Steps of a job, one after the other, and run time of their tasks in milliseconds: work is left to be started for longer
/// than it may be once the job is cancelled.
const STEPS: usize = 5;
const WORK_MS: std::ops::Range<u64> = 400..1_200;
/// Looks at a cancelled job.
const LOOKS: usize = 2;

impl CallerGroup {
    /// One such caller, until it is stopped.
    pub async fn call_promptly(self: Arc<Self>, mut random: StdRng) {
        let transport = HttpTransport::open();
        while !self.is_over() {
            let entry = random.random_range(0..self.entries.len());
            let pause = Duration::from_millis(random.random_range(0..PROMPT_MS));
            let (id, body) = self.draw(&mut random, draw_chain);
            if random.random_bool(0.5) {
                self.submit_through(&transport, entry, id, &body).await;
                sleep(pause).await;
                self.cancel_elsewhere(&transport, entry, id, &mut random).await;
            } else {
                let patience = match random.random_bool(0.5) {
                    true => Duration::from_millis(random.random_range(GIVE_UP_MS)),
                    false => PATIENCE,
                };
                let submission = self.send_to(&transport, entry, Method::POST, id, body, patience);
                let cancellation = async {
                    sleep(pause).await;
                    self.cancel_elsewhere(&transport, entry, id, &mut random).await;
                };
                let ((told, _), ()) = join!(submission, cancellation);
                self.note_end(id, told);
            }
            for _ in 0..LOOKS {
                sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
                self.look(&transport, id, &mut random).await;
            }
        }
    }

    fn note_end(&self, id: JobId, told: Told) {
        let end = match told {
            Told::Done => SubmissionEnd::Accepted,
            Told::Refused => SubmissionEnd::Refused,
            Told::Gone | Told::Unknown => SubmissionEnd::Unknown,
        };
        if let Some(job) = self.platform.ledger().jobs.get_mut(&id) {
            job.end = Some(end);
        }
    }

    /// Submits a job through one entry, until the outcome is known.
    async fn submit_through(&self, transport: &HttpTransport, entry: usize, id: JobId, body: &str) {
        let mut was_unknown = false;
        for _ in 0..TRIES {
            let body = body.to_owned();
            let told = self.send_to(transport, entry, Method::POST, id, body, PATIENCE).await.0;
            was_unknown |= matches!(told, Told::Gone | Told::Unknown);
            let is_known = told == Told::Done;
            self.note_end(id, if was_unknown && !is_known { Told::Unknown } else { told });
            if is_known {
                return;
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Cancels a job through any entry but this one.
    async fn cancel_elsewhere(
        &self,
        transport: &HttpTransport,
        entry: usize,
        id: JobId,
        random: &mut StdRng,
    ) {
        if let Some(job) = self.platform.ledger().jobs.get_mut(&id) {
            job.is_cancelled = true;
        }
        let count = self.entries.len();
        for _ in 0..TRIES {
            let other = match count {
                1 => entry,
                _ => (entry + random.random_range(1..count)) % count,
            };
            let told =
                self.send_to(transport, other, Method::DELETE, id, String::new(), PATIENCE).await.0;
            if matches!(told, Told::Done | Told::Gone) {
                return;
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }
}

/// A job whose steps follow each other.
fn draw_chain(id: JobId, random: &mut StdRng) -> (CallerJob, Value) {
    let (work, cpu) = (random.random_range(WORK_MS), random.random_range(200..1_000));
    let payload = format!("work={work} cpu={cpu}");
    let steps: Vec<u32> = (0..STEPS).map(|_| random.random_range(1..3)).collect();
    let bodies: Vec<Value> = steps
        .iter()
        .enumerate()
        .map(|(position, tasks)| {
            let after: Vec<usize> = (0..position).collect();
            json!({ "count": tasks, "cpu": cpu, "mem-mb": 128, "est-ms": work, "after": after })
        })
        .collect();
    let body = json!({ "spec": payload, "steps": bodies });
    let job = CallerJob {
        payload,
        steps,
        end: None,
        is_cancelled: false,
        lasts: false,
        may_fail: false,
        organisation: organisation_of(id),
    };
    (job, body)
}
