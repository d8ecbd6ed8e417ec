//! A leader of the site and its workers: the loops of a conductor and its lanes, and what comes on workers.

use std::sync::Arc;

use ibisweir::decide::leadership::PreviousLeader;
use ibisweir::jobs::delegate::{DelegatedStart, StartBatch, StartOrder, carry_out};
use ibisweir::jobs::follower::{TailStep, fold_step};
use ibisweir::jobs::model::{ExitKind, TaskKey};
use ibisweir::jobs::ports::{
    CommandOutcome, CommandRefusal, RenewCall, RunCall, StartCall, WorkerReport, WorkerTarget,
};
use ibisweir::jobs::site::{incarnation_id, worker_name};
use ibisweir::scheduler::commit::CommitBatch;
use ibisweir::scheduler::renewals::RenewPlan;
use ibisweir::scheduler::runs::RunCommand;
use ibisweir::scheduler::{Scheduler, SchedulerAction, SchedulerStart};

use super::cancel_site::{CancelSite, EntryLife, HOP_MS, SiteEvent, one_pool};
use super::fakes::{AnswerMode, RecordingWorkers};
use super::fixtures::{WALL_OFFSET_MS, bounds};
use super::sim_worker::SimWorker;

/// Time between two turns of a leader.
const TURN_MS: u64 = 20;
/// Pause before an append or a read is repeated.
const REPEAT_MS: u64 = 40;
/// Time for a start or stop to be answered, and for a batch.
const COMMAND_PATIENCE_MS: u64 = 450;
const BATCH_PATIENCE_MS: u64 = 900;
/// Longest wait of a renewal on the site.
const RENEW_WAIT_MS: u64 = 120;
/// Time between two looks at the leases.
const LEASE_LOOK_MS: u64 = 50;

/// A takeover that has shut earlier leaders out of the log.
#[derive(Clone, Copy)]
struct SiteTakeover {
    term: u64,
    predecessor: Option<PreviousLeader>,
    /// End of the log that earlier leaders have written.
    end: u64,
    /// When the append that shut them out was sent, by the entry's clock, in milliseconds.
    raised_ms: u64,
}

/// A leader's starts on their way to an executor.
pub struct StartOrders {
    leader: EntryLife,
    body: Vec<u8>,
    orders: Vec<StartOrder>,
    sent_ms: u64,
}

impl CancelSite {
    /// Shuts earlier leaders out: `LeaderRun::raise_epoch`.
    pub fn lead(&mut self, incarnation: EntryLife, term: u64, predecessor: Option<PreviousLeader>) {
        if self.entries[incarnation.0].term != Some(term) || self.log.epoch > term {
            return;
        }
        if !self.entries[incarnation.0].reaches_log {
            self.at_entry(REPEAT_MS, incarnation, move |site| {
                site.lead(incarnation, term, predecessor)
            });
            return;
        }
        self.log.epoch = term;
        let takeover = SiteTakeover {
            term,
            predecessor,
            end: self.log.end,
            raised_ms: self.node(incarnation).now(),
        };
        self.read_through(incarnation, takeover);
    }

    /// Reads what earlier leaders wrote, and the workers: `LeaderRun::read_through`, `first_workers`.
    fn read_through(&mut self, incarnation: EntryLife, takeover: SiteTakeover) {
        if self.entries[incarnation.0].term != Some(takeover.term) {
            return;
        }
        let takeover_ms = self.delays.takeover_ms.clone();
        let ms = self.draw(&takeover_ms);
        let node = self.node(incarnation);
        if node.applied_offset() >= takeover.end {
            self.at_entry(ms, incarnation, move |site| site.install(incarnation, takeover));
            return;
        }
        let from = node.applied_offset();
        let step = match self.log.read(from) {
            Some(batch) => (TailStep::Records(batch.records), batch.next),
            None => (TailStep::Snapshot(self.log.newest()), self.log.end),
        };
        self.at_entry(ms, incarnation, move |site| {
            fold_step(&node, step.0, step.1);
            site.read_through(incarnation, takeover);
        });
    }

    /// Opens the scheduler: `LeaderRun::install`.
    fn install(&mut self, incarnation: EntryLife, takeover: SiteTakeover) {
        let SiteTakeover { term, predecessor, raised_ms, .. } = takeover;
        if self.entries[incarnation.0].term != Some(term) {
            return;
        }
        let node = self.node(incarnation);
        let start = SchedulerStart {
            term,
            bounds: bounds(),
            config: Arc::new(one_pool()),
            predecessor,
            confirmed_ms: self.entries[incarnation.0].confirmed_ms.max(raised_ms),
            jobs_read_ms: raised_ms.max(node.jobs_read_ms()),
            workers_read_ms: raised_ms,
            now: node.now(),
            wall_ms: WALL_OFFSET_MS + self.now,
        };
        let now = start.now;
        let mut scheduler = Scheduler::open(start, &node.job_table());
        let listed = self.workers.iter().map(|worker| worker.entry.clone()).collect();
        scheduler.workers_listed(listed, now);
        node.set_scheduler(Some(scheduler));
        self.entries[incarnation.0].is_committing = false;
        self.entries[incarnation.0].renewing.clear();
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.tell(id, format!("entry {} leads, term {term}", incarnation.0));
        }
        self.turn(incarnation, term);
    }

    fn leads(&self, incarnation: EntryLife, term: u64) -> bool {
        let own = self.node(incarnation).with_scheduler(|scheduler| scheduler.term());
        own == Some(term) && self.entries[incarnation.0].term == Some(term)
    }

    /// Ends a leadership: `LeadershipLoop::step_down`.
    pub fn step_down(&mut self, incarnation: EntryLife) {
        self.entries[incarnation.0].term = None;
        self.node(incarnation).set_scheduler(None);
        self.answer_taken(incarnation);
    }

    /// A turn of a leader: `LeaderRun::drive`.
    fn turn(&mut self, incarnation: EntryLife, term: u64) {
        if !self.leads(incarnation, term) {
            return;
        }
        let node = self.node(incarnation);
        let (now, wall_ms) = (node.now(), WALL_OFFSET_MS + self.now);
        let turn = node.with_scheduler(|scheduler| {
            scheduler.workers_read(now);
            scheduler.tick(now, wall_ms);
            (scheduler.take_actions(), scheduler.is_deposed())
        });
        let Some((actions, is_deposed)) = turn else { return };
        if is_deposed {
            self.step_down(incarnation);
            return;
        }
        for action in actions {
            match action {
                SchedulerAction::SendCommand(target, task, run) => {
                    let lane_ms = self.delays.lane_ms.clone();
                    let ms = self.draw(&lane_ms);
                    self.at_entry(ms, incarnation, move |site| {
                        site.send_run(incarnation, term, &target, task, run)
                    });
                }
                SchedulerAction::StopUntracked(target, call) => {
                    self.send_stop(incarnation, term, &target, call)
                }
                _ => {}
            }
        }
        self.commit(incarnation, term);
        for position in 0..self.workers.len() {
            let id = self.workers[position].entry.id.clone();
            self.renew(incarnation, term, &id);
        }
        self.at_entry(TURN_MS, incarnation, move |site| site.turn(incarnation, term));
    }

    /// Commits what the scheduler has decided: `LeaderRun::commit`.
    fn commit(&mut self, incarnation: EntryLife, term: u64) {
        if self.entries[incarnation.0].is_committing {
            return;
        }
        let node = self.node(incarnation);
        let Some(batch) = node.with_scheduler(Scheduler::take_commit).flatten() else { return };
        self.entries[incarnation.0].is_committing = true;
        let sent_ms = node.now();
        self.send_commit(incarnation, term, batch, sent_ms);
    }

    fn send_commit(&mut self, incarnation: EntryLife, term: u64, batch: CommitBatch, sent_ms: u64) {
        let commit_ms = self.delays.commit_ms.clone();
        let ms = self.draw(&commit_ms);
        self.later(ms, move |site| {
            if !site.entries[incarnation.0].reaches_log {
                site.at_entry(REPEAT_MS, incarnation, move |site| {
                    if site.leads(incarnation, term) {
                        site.send_commit(incarnation, term, batch, sent_ms);
                    }
                });
            } else if site.log.epoch > term {
                site.at_entry(HOP_MS, incarnation, move |site| {
                    if site.leads(incarnation, term) {
                        site.node(incarnation).with_scheduler(Scheduler::depose);
                    }
                });
            } else {
                let offset = site.log.append(batch.records.clone());
                let end = site.log.end;
                site.at_entry(HOP_MS, incarnation, move |site| {
                    site.committed(incarnation, term, &batch, sent_ms, (offset, end));
                });
            }
        });
    }

    /// An append is on the log: `LeaderRun::commit_batch`.
    fn committed(
        &mut self,
        incarnation: EntryLife,
        term: u64,
        batch: &CommitBatch,
        sent_ms: u64,
        (offset, end): (u64, u64),
    ) {
        if !self.leads(incarnation, term) {
            return;
        }
        let node = self.node(incarnation);
        if !batch.records.is_empty() && node.fold_appended(&batch.decoded, offset, end) {
            node.record_jobs_read(sent_ms);
        }
        let now = node.now();
        node.with_scheduler(|scheduler| scheduler.committed(batch, now));
        node.complete_relays(&batch.relayed);
        self.entries[incarnation.0].is_committing = false;
        self.answer_taken(incarnation);
    }

    /// Sends what a run needs when its turn has come: `WorkerLanes::send_run`.
    fn send_run(
        &mut self,
        incarnation: EntryLife,
        term: u64,
        target: &WorkerTarget,
        task: TaskKey,
        run: u32,
    ) {
        if !self.leads(incarnation, term) {
            return;
        }
        let node = self.node(incarnation);
        let now = node.now();
        let command = node.with_scheduler(|scheduler| scheduler.command(&task, run, now));
        match command.flatten() {
            Some(RunCommand::Stop(call)) => self.send_stop(incarnation, term, target, call),
            Some(RunCommand::Start(call)) => {
                if self.happens(self.delegated) && node.executors().has_capacity(now) {
                    self.hand_on(incarnation, target, call);
                } else {
                    self.send_start(incarnation, incarnation, target, call);
                }
            }
            None => {}
        }
    }

    /// Sends a start from a leader or its executor; the leader hears of it if it is answered in time.
    fn send_start(
        &mut self,
        leader: EntryLife,
        sender: EntryLife,
        target: &WorkerTarget,
        call: StartCall,
    ) {
        let start_ms = self.delays.start_ms.clone();
        let ms = self.draw(&start_ms);
        let (task, run, id) = (call.task, call.run, target.id.clone());
        self.tell(task.job, format!("entry {} sends the start of {task}/{run}", sender.0));
        let is_lost = self.happens(self.lost_starts);
        if !is_lost {
            let id = id.clone();
            self.later(ms, move |site| {
                let outcome = site.start_arrives(&id, &call);
                if ms < COMMAND_PATIENCE_MS {
                    site.tell_started(leader, id, task, run, outcome);
                }
            });
        }
        if is_lost || ms >= COMMAND_PATIENCE_MS {
            self.later(COMMAND_PATIENCE_MS, move |site| {
                site.tell_started(leader, id, task, run, CommandOutcome::Unknown);
            });
        }
    }

    fn tell_started(
        &mut self,
        leader: EntryLife,
        id: Arc<str>,
        task: TaskKey,
        run: u32,
        outcome: CommandOutcome<u64>,
    ) {
        self.at_entry(HOP_MS, leader, move |site| {
            let node = site.node(leader);
            let now = node.now();
            node.with_scheduler(|scheduler| {
                scheduler.handle_start_outcome(&id, &task, run, &outcome, now)
            });
        });
    }

    /// Hands a start to an executor: `StartDelegate::hand_on`.
    fn hand_on(&mut self, incarnation: EntryLife, target: &WorkerTarget, call: StartCall) {
        let node = self.node(incarnation);
        let now = node.now();
        let picked = {
            let mut executors = node.executors();
            let address = executors.pick("", now);
            address.and_then(|address| Some((address, executors.begin_batch(address, 1, now)?)))
        };
        let Some((address, stamp)) = picked else { return };
        let executor = self.incarnation(usize::from(address.port()) - 1);
        let starts = vec![DelegatedStart {
            worker: target.id.clone(),
            address: target.address,
            task: call.task,
            run: call.run,
            lease_until_ms: call.lease_until_ms,
            fence: call.fence,
            checkpoint: call.checkpoint.clone(),
            permit: call.permit.clone(),
        }];
        let body = postcard::to_stdvec(&StartBatch { stamp, starts }).expect("it is encoded");
        let (task, run) = (call.task, call.run);
        self.tell(task.job, format!("the start of {task}/{run} goes to entry {}", executor.0));
        let centre = node.settings.centre.clone();
        let orders = vec![StartOrder { target: target.clone(), centre, call }];
        let batch_ms = self.delays.batch_ms.clone();
        let ms = self.draw(&batch_ms);
        let sent_ms = self.now;
        self.push(
            ms,
            SiteEvent::Orders(executor, StartOrders { leader: incarnation, body, orders, sent_ms }),
        );
        let is_answered = ms < BATCH_PATIENCE_MS;
        let id = target.id.clone();
        self.at_entry(ms.min(BATCH_PATIENCE_MS), incarnation, move |site| {
            let node = site.node(incarnation);
            node.executors().end_batch(address, 1, is_answered, node.now());
            if !is_answered {
                site.tell_started(incarnation, id, task, run, CommandOutcome::Unknown);
            }
        });
    }

    /// A batch reaches its executor, which may begin it.
    pub async fn carry_out(&mut self, executor: EntryLife, orders: StartOrders) {
        let node = self.node(executor);
        let workers = RecordingWorkers::new(AnswerMode::Done);
        let outcomes = carry_out(&node, &workers, &orders.body).await;
        let begun = workers.starts().clone();
        let leader = orders.leader;
        let is_heard = self.now < orders.sent_ms + BATCH_PATIENCE_MS;
        for order in orders.orders {
            let sent = begun.iter().find(|call| call.task == order.call.task);
            match sent {
                Some(call) => self.send_start(leader, executor, &order.target, call.clone()),
                None if is_heard && outcomes.is_some() => {
                    self.at_entry(HOP_MS, leader, move |site| {
                        let node = site.node(leader);
                        let (task, run, now) = (order.call.task, order.call.run, node.now());
                        node.with_scheduler(|scheduler| scheduler.start_not_sent(&task, run, now));
                    });
                }
                None => {}
            }
        }
    }

    fn send_stop(
        &mut self,
        incarnation: EntryLife,
        term: u64,
        target: &WorkerTarget,
        call: RunCall,
    ) {
        let id = target.id.clone();
        self.tell(call.task.job, format!("stop of {}/{} sent", call.task, call.run));
        if self.happens(self.lost_stops) {
            return;
        }
        self.later(HOP_MS, move |site| {
            let outcome = site.stop_arrives(&id, &call);
            site.at_entry(HOP_MS, incarnation, move |site| {
                if !site.leads(incarnation, term) {
                    return;
                }
                let node = site.node(incarnation);
                let now = node.now();
                node.with_scheduler(|scheduler| {
                    scheduler.handle_stop_outcome(&id, &call.task, call.run, &outcome, now);
                });
            });
        });
    }

    fn position(&self, id: &str) -> Option<usize> {
        let is_same = |entry: &str| worker_name(entry) == worker_name(id);
        self.workers.iter().position(|worker| is_same(&worker.entry.id))
    }

    fn start_arrives(&mut self, id: &Arc<str>, call: &StartCall) -> CommandOutcome<u64> {
        let Some(position) = self.position(id) else { return CommandOutcome::Unknown };
        let now = self.now;
        let worker = &mut self.workers[position];
        let clock_ms = worker.clock_ms(now);
        let refusal = if worker.entry.id != *id {
            Some(CommandRefusal::WrongIncarnation)
        } else if call.fence < worker.body.fence {
            Some(CommandRefusal::Fenced)
        } else if call.lease_until_ms <= clock_ms {
            Some(CommandRefusal::LeaseExpired)
        } else if worker.body.refused.contains(&(call.task, call.run)) {
            Some(CommandRefusal::OldRun)
        } else {
            None
        };
        let name = format!("{}/{} on {id}", call.task, call.run);
        if let Some(refusal) = refusal {
            self.tell(call.task.job, format!("{name} refused: {refusal:?}"));
            return CommandOutcome::Refused(refusal, Some(clock_ms));
        }
        if worker.body.begin(call, clock_ms) {
            self.tell(call.task.job, format!("{name} begins"));
            self.starts += 1;
            self.check_start(call);
            self.end_later(id.clone(), call.task, call.run);
        }
        CommandOutcome::Done(clock_ms)
    }

    /// Nothing of a job begins later than the bound after its cancellation was acknowledged.
    fn check_start(&mut self, call: &StartCall) {
        let story = &self.jobs[&call.task.job];
        let Some(acknowledged) = story.acknowledged_ms else { return };
        let late_ms = self.now - acknowledged;
        if late_ms > bounds().cancel_ms {
            let fault = format!("{}/{} begins {late_ms} ms after it", call.task, call.run);
            self.faults.push((call.task.job, fault));
        }
    }

    fn end_later(&mut self, id: Arc<str>, task: TaskKey, run: u32) {
        let run_ms = self.delays.run_ms.clone();
        let ms = self.draw(&run_ms);
        self.later(ms, move |site| {
            let Some(position) = site.position(&id) else { return };
            let worker = &mut site.workers[position];
            if worker.entry.id == id && worker.body.running.contains_key(&(task, run)) {
                worker.body.exit(task, run, ExitKind::Done);
                site.tell(task.job, format!("{task}/{run} done"));
            }
        });
    }

    fn stop_arrives(&mut self, id: &Arc<str>, call: &RunCall) -> CommandOutcome<u64> {
        let Some(position) = self.position(id) else { return CommandOutcome::Unknown };
        let now = self.now;
        let worker = &mut self.workers[position];
        let clock_ms = worker.clock_ms(now);
        if worker.body.is_silent {
            return CommandOutcome::Unknown;
        }
        if worker.entry.id != *id {
            return CommandOutcome::Refused(CommandRefusal::WrongIncarnation, Some(clock_ms));
        }
        if call.fence < worker.body.fence {
            return CommandOutcome::Refused(CommandRefusal::Fenced, Some(clock_ms));
        }
        worker.body.stop(call.task, call.run, clock_ms);
        self.tell(call.task.job, format!("{}/{} stopped on {id}", call.task, call.run));
        CommandOutcome::Done(clock_ms)
    }

    /// Renews a worker's leases: `WorkerLanes::renew`.
    fn renew(&mut self, incarnation: EntryLife, term: u64, id: &Arc<str>) {
        if self.entries[incarnation.0].renewing.contains(id) {
            return;
        }
        let node = self.node(incarnation);
        let now = node.now();
        let plan = node.with_scheduler(|scheduler| scheduler.renew_plan(id, now));
        let Some(RenewPlan::Call(target, call, patience)) = plan else { return };
        self.entries[incarnation.0].renewing.insert(id.clone());
        let wait_ms = u64::try_from(call.wait.as_millis()).unwrap_or(0);
        let is_silent = self.position(id).is_none_or(|at| self.workers[at].body.is_silent);
        let patience_ms = u64::try_from(patience.as_millis()).unwrap_or(0);
        if is_silent {
            let ms = wait_ms + patience_ms;
            self.tell_renewed(
                ms,
                (incarnation, term),
                target.id,
                call,
                now,
                CommandOutcome::Unknown,
            );
            return;
        }
        self.later(HOP_MS, move |site| {
            let ms = match site.take_lease(&target.id, &call) {
                true => 0,
                false => wait_ms.min(RENEW_WAIT_MS),
            };
            site.later(ms, move |site| {
                let outcome = site.report(&target.id, &call);
                let renew_ms = site.delays.renew_ms.clone();
                let ms = site.draw(&renew_ms);
                let is_late = ms > patience_ms;
                let (in_time, late) = match (outcome, is_late) {
                    (CommandOutcome::Done(report), true) => (CommandOutcome::Unknown, Some(report)),
                    (outcome, _) => (outcome, None),
                };
                let leader = (incarnation, term);
                let id = target.id.clone();
                site.tell_renewed(ms.min(patience_ms), leader, target.id, call, now, in_time);
                let Some(report) = late else { return };
                site.at_entry(ms, incarnation, move |site| {
                    let node = site.node(incarnation);
                    if site.leads(incarnation, term) {
                        node.with_scheduler(|scheduler| {
                            scheduler.handle_late_renewal(&id, &call, report, now, node.now());
                        });
                    }
                });
            });
        });
    }

    fn tell_renewed(
        &mut self,
        ms: u64,
        (incarnation, term): (EntryLife, u64),
        id: Arc<str>,
        call: RenewCall,
        sent_ms: u64,
        outcome: CommandOutcome<WorkerReport>,
    ) {
        self.at_entry(ms, incarnation, move |site| {
            if !site.leads(incarnation, term) {
                return;
            }
            let node = site.node(incarnation);
            let now = node.now();
            node.with_scheduler(|scheduler| {
                scheduler.handle_renewal_outcome(&id, &call, outcome, sent_ms, now)
            });
            site.entries[incarnation.0].renewing.remove(&id);
        });
    }

    /// Whether the answer is due at once.
    fn take_lease(&mut self, id: &Arc<str>, call: &RenewCall) -> bool {
        let Some(position) = self.position(id) else { return true };
        let worker = &mut self.workers[position];
        if worker.entry.id != *id || call.fence < worker.body.fence {
            return true;
        }
        worker.body.fence = call.fence;
        let until_ms = call.lease_until_ms.unwrap_or(0);
        worker.body.lease_until_ms = worker.body.lease_until_ms.max(until_ms);
        worker.body.exits.retain(|exit| exit.number > call.acked_exits);
        !worker.body.exits.is_empty()
    }

    fn report(&self, id: &Arc<str>, call: &RenewCall) -> CommandOutcome<WorkerReport> {
        let Some(position) = self.position(id) else { return CommandOutcome::Unknown };
        let worker = &self.workers[position];
        let clock_ms = worker.clock_ms(self.now);
        if worker.entry.id != *id {
            return CommandOutcome::Refused(CommandRefusal::WrongIncarnation, Some(clock_ms));
        }
        if call.fence < worker.body.fence {
            return CommandOutcome::Refused(CommandRefusal::Fenced, Some(clock_ms));
        }
        let started_ms = id.rsplit_once('@').and_then(|(_, born)| born.parse().ok());
        let report = worker.body.report(clock_ms, &std::collections::BTreeMap::new());
        CommandOutcome::Done(WorkerReport { started_ms, clock_ms, ..report })
    }

    /// Workers end what has no lease any more.
    pub fn expire_leases(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            let clock_ms = worker.clock_ms(now);
            worker.body.expire(clock_ms);
        }
        self.later(LEASE_LOOK_MS, CancelSite::expire_leases);
    }

    /// A worker begins anew under its name and knows nothing; leaders hear of it a moment later.
    pub fn restart_worker(&mut self, position: usize) {
        let started_ms = self.now;
        let worker = &mut self.workers[position];
        worker.entry.id = incarnation_id(worker_name(&worker.entry.id), Some(started_ms));
        worker.body = SimWorker::default();
        let entry = worker.entry.clone();
        for incarnation in
            (0..self.entries.len()).map(|at| self.incarnation(at)).collect::<Vec<_>>()
        {
            let entry = entry.clone();
            self.at_entry(200, incarnation, move |site| {
                let node = site.node(incarnation);
                let now = node.now();
                node.with_scheduler(|scheduler| scheduler.worker_seen(entry, now));
            });
        }
    }
}
