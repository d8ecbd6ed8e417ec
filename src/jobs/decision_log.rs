//! Writes the leader's decisions to the log and counts them in the metrics.

use slog::{info, warn};

use crate::jobs::metrics::{count, count_many};
use crate::jobs::node::JobNode;
use crate::scheduler::SchedulerEvent;
use crate::scheduler::losses::CRASH_WINDOW_MS;

/// Logs and counts one decision.
pub fn write(node: &JobNode, note: &SchedulerEvent) {
    let logger = &node.logger;
    match note {
        SchedulerEvent::Placed { task, run, worker, age_ms } => {
            info!(logger, "placed"; "job" => %task.job, "task" => %task, "run" => run,
                "worker" => &**worker, "age_ms" => age_ms);
        }
        SchedulerEvent::Ended { task, run, worker, how } => {
            count(&node.metrics.exits, how);
            info!(logger, "ended"; "job" => %task.job, "task" => %task, "run" => run,
                "worker" => &**worker, "how" => how);
        }
        SchedulerEvent::Lost { task, run, worker, how, at_work_ms } => {
            count(&node.metrics.exits, how);
            count(&node.metrics.lost_runs, lost_run_label(*at_work_ms));
            info!(logger, "ended"; "job" => %task.job, "task" => %task, "run" => run,
                "worker" => &**worker, "how" => how, "at_work_ms" => at_work_ms);
        }
        SchedulerEvent::GivenUp { task, lost, reason } => {
            count(&node.metrics.given_up, reason);
            info!(logger, "given up"; "job" => %task.job, "task" => %task,
                "workers_lost" => lost, "reason" => reason);
        }
        SchedulerEvent::ServiceAway {
            task,
            run,
            worker,
            reason,
            away_ms,
            waits_ms,
            open_tries,
            losses,
            all,
        } => {
            count(&node.metrics.service_waits, reason);
            info!(logger, "service task is not running"; "job" => %task.job, "task" => %task,
                "run" => run, "worker" => worker.as_deref(), "reason" => reason,
                "away_ms" => away_ms, "waits_ms" => waits_ms, "open_tries" => open_tries,
                "workers_lost" => losses.total, "lost_at_start" => losses.at_start,
                "all_away" => all);
        }
        SchedulerEvent::JobsIdle {
            pool,
            jobs,
            overdue,
            placed,
            longest,
            tier,
            reason,
            idle_ms,
            booked,
            at_work,
        } => {
            count(&node.metrics.idle_jobs, reason);
            info!(logger, "jobs are not running"; "pool" => &**pool, "jobs" => jobs,
                "overdue" => overdue, "placed" => placed, "job" => %longest, "tier" => tier,
                "reason" => reason, "idle_ms" => idle_ms, "booked_permille" => booked,
                "at_work_permille" => at_work);
        }
        SchedulerEvent::OnTrial { task, lost } => {
            node.metrics.trials.inc();
            info!(logger, "task starts only while its pool is stable"; "job" => %task.job,
                "task" => %task, "workers_lost" => lost);
        }
        SchedulerEvent::StartRefused { task, run, worker, reason, open_tries } => {
            if *open_tries > 0 {
                node.metrics.refused_open.inc();
            }
            info!(logger, "start refused"; "job" => %task.job, "task" => %task, "run" => run,
                "worker" => &**worker, "reason" => reason, "open_tries" => open_tries);
        }
        SchedulerEvent::StartsWithdrawn { count, most } => {
            node.metrics.starts_withdrawn.inc_by(u64::try_from(*count).unwrap_or(0));
            info!(logger, "starts withdrawn"; "starts" => count, "limit" => most);
        }
        SchedulerEvent::SecondRun { task, run, worker, booked } => {
            node.metrics.second_runs.inc();
            warn!(logger, "worker lists a second run of a task"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => &**worker, "booked_run" => booked);
        }
        SchedulerEvent::JobState { job, state, age_ms } => {
            info!(logger, "job state"; "job" => %job, "state" => ?state, "age_ms" => age_ms);
        }
        SchedulerEvent::Cancelled { job, source, found, view_ms } => {
            count(&node.metrics.cancellations, found);
            info!(logger, "cancellation applied"; "job" => %job, "source" => ?source,
                "found" => found, "view_ms" => view_ms);
        }
        SchedulerEvent::StartedAfterEnd { task, run, worker, since_ms } => {
            node.metrics.begun_over.inc();
            warn!(logger, "worker lists a run of a finished job"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => &**worker, "since_ms" => since_ms);
        }
        SchedulerEvent::ViewStale { view_ms } => {
            warn!(logger, "placement paused until the job log is read"; "view_ms" => view_ms);
        }
        SchedulerEvent::Worker { worker, change, runs } => {
            info!(logger, "worker"; "worker" => &**worker, "change" => change, "runs" => runs);
        }
        SchedulerEvent::LearnedRestored { queues, organisations, age_ms } => {
            count_many(&node.metrics.learned_records, "restored", *queues);
            info!(logger, "learned state restored"; "queues" => queues,
                "organisations" => organisations, "age_ms" => age_ms);
        }
        SchedulerEvent::LearnedRejected { reason, records } => {
            count_many(&node.metrics.learned_records, reason, *records);
            warn!(logger, "learned state rejected"; "reason" => reason, "records" => records);
        }
        SchedulerEvent::LearnedWritten { records, bytes } => {
            count_many(&node.metrics.learned_records, "written", *records);
            node.metrics.learned_bytes.inc_by(u64::try_from(*bytes).unwrap_or(0));
        }
        SchedulerEvent::FairOrder {
            pool,
            organisations,
            capacity,
            last,
            weight,
            running,
            step,
            rounds,
        } => {
            node.metrics.fair_rounds.inc_by(u64::try_from(*rounds).unwrap_or(0));
            info!(logger, "order by shares"; "pool" => &**pool, "organisations" => organisations,
                "capacity" => capacity, "last" => &**last, "weight" => weight,
                "running" => running, "step" => step, "rounds" => rounds);
        }
        SchedulerEvent::Pool { pool, needed, usable, idle, booked } => {
            info!(logger, "pool"; "pool" => &**pool, "needed" => needed, "usable" => usable,
                "idle" => idle, "booked_permille" => booked);
        }
        SchedulerEvent::Hold(hold) => {
            let change = if hold.is_begin { "begins" } else { "ends" };
            info!(logger, "hold of idle VMs"; "pool" => &*hold.pool, "change" => change,
                "vms" => hold.vms, "reason" => hold.reason);
        }
        SchedulerEvent::Vm { vm, change } => {
            info!(logger, "vm"; "vm" => &**vm, "change" => change);
        }
        SchedulerEvent::Stopped { task, run, reason } => {
            count(&node.metrics.stops, reason);
            info!(logger, "stopping"; "job" => %task.job, "task" => %task, "run" => run,
                "reason" => reason);
        }
    }
}

/// Metric label of a run that was lost with its worker.
fn lost_run_label(at_work_ms: Option<u64>) -> &'static str {
    match at_work_ms {
        None => "start not answered",
        Some(at_work_ms) if at_work_ms < CRASH_WINDOW_MS => "just begun",
        Some(_) => "at work",
    }
}
