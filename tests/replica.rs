//! Which entries keep a copy of the job log, and how the others get their answers.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ibisweir::control::ControlLoop;
use ibisweir::decide::executor::ExecutorOffer;
use ibisweir::decide::leadership::{
    HolderId, LeadershipAct, LeadershipRecord, LeadershipView, RENEWAL_TIMEOUT_MS,
};
use ibisweir::decide::replica::{REPLICAS_MAX, ReplicaList, ReplicaPlanner, offer_interval_ms};
use ibisweir::jobs::follower::{JobFollower, TailReader};
use ibisweir::jobs::model::JobState;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::query::{JobAnswer, JobQuery, QueryClient};
use ibisweir::jobs::record::{JobRecord, KeyedRecord};
use ibisweir::jobs::relay;
use ibisweir::jobs::site::SiteSettings;
use ibisweir::transport::HttpTransport;
use support::fakes::{RecordingWorkers, idle_node, node_with, peer_service};
use support::sim::{job, job_id, site_settings, step, submission};
use tokio::net::TcpListener;
use tokio::time::sleep;

const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Of so many entries one is fit to lead.
const FIT_PART: usize = 10;

fn address(number: usize) -> SocketAddr {
    let octet = |value: usize| u8::try_from(value % 256).expect("below 256");
    SocketAddr::from(([10, 0, octet(number / 256), octet(number)], 7_060))
}

fn offer(number: usize, has_replica: bool) -> ExecutorOffer {
    ExecutorOffer {
        address: address(number),
        incarnation: 1,
        centre: CENTRES[number % CENTRES.len()].into(),
        processor: 250,
        clock_ms: 0,
        claim_delay_ms: if (number / CENTRES.len()).is_multiple_of(FIT_PART) { 0 } else { 1_000 },
        has_replica,
    }
}

fn listed(list: &ReplicaList) -> Vec<SocketAddr> {
    list.centres.values().flatten().copied().collect()
}

/// Runs a planner from `from_ms` on: each of these entries makes its offers, and tells that it has a copy once it is
/// listed.
fn run(planner: &mut ReplicaPlanner, entries: &[usize], from_ms: u64, for_ms: u64) -> ReplicaList {
    let gap_ms = offer_interval_ms(u32::try_from(entries.len()).expect("a few"));
    let mut list = planner.list().clone();
    for now in (from_ms..from_ms + for_ms).step_by(100) {
        for number in entries {
            let is_listed = list.contains(address(*number));
            let gap_ms = if is_listed { 1_200 } else { gap_ms };
            if (now + 100 * *number as u64) % gap_ms < 100 {
                planner.record_offer(&offer(*number, is_listed), now);
            }
        }
        list = planner.plan(now).clone();
    }
    list
}

fn planned(entries: usize) -> ReplicaList {
    let numbers: Vec<usize> = (0..entries).collect();
    run(&mut ReplicaPlanner::default(), &numbers, 0, 40_000)
}

/// Guards against readings of the job log that grow with the entries.
#[test]
fn copies_do_not_grow_with_the_fleet() {
    for entries in [41, 145, 585, 1_170] {
        let list = planned(entries);
        let copies = listed(&list);
        assert!(copies.len() <= REPLICAS_MAX, "{} of {entries}", copies.len());
        assert_eq!(list.centres.len(), CENTRES.len());
        assert!(list.centres.values().all(|centre| centre.len() >= 2), "{list:?}");
        assert_eq!(usize::try_from(list.entries), Ok(entries));
        let is_fit = |copy: &&SocketAddr| {
            (0..entries).any(|one| address(one) == **copy && offer(one, true).claim_delay_ms == 0)
        };
        let fit = copies.iter().filter(is_fit).count();
        assert_eq!(fit, copies.len().min(entries.div_ceil(FIT_PART)), "of {entries}");
    }
}

/// Guards against a small site in which some entries must ask others.
#[test]
fn every_entry_of_a_small_site_keeps_a_copy() {
    for entries in [1, 9, REPLICAS_MAX] {
        assert_eq!(listed(&planned(entries)).len(), entries);
    }
}

/// Guards against a data centre whose copies are lost one by one, and against copies that are made anew each time that
/// an entry restarts.
#[test]
fn a_lost_copy_is_replaced_and_does_not_come_back() {
    let mut planner = ReplicaPlanner::default();
    let all: Vec<usize> = (0..585).collect();
    let before = run(&mut planner, &all, 0, 40_000);
    let lost = listed(&before)[0];
    let others: Vec<usize> = all.iter().copied().filter(|one| address(*one) != lost).collect();
    let without = run(&mut planner, &others, 40_000, 10_000);
    assert!(!without.contains(lost));
    assert_eq!(listed(&without).len(), listed(&before).len());
    assert_eq!(run(&mut planner, &all, 50_000, 20_000).centres, without.centres);
}

/// Guards against a successor that takes entries which it has not heard of yet for gone, and has others read the whole
/// log in their place.
#[test]
fn a_successor_goes_on_with_the_copies_that_are_there() {
    let all: Vec<usize> = (0..300).collect();
    let before = planned(all.len());
    let mut planner = ReplicaPlanner::resume(before.clone(), 90_000);
    for from_ms in (90_000..100_000).step_by(500) {
        assert_eq!(run(&mut planner, &all, from_ms, 500).centres, before.centres, "{from_ms}");
    }
}

fn view_of(replicas: ReplicaList) -> LeadershipView {
    let record = LeadershipRecord {
        act: LeadershipAct::Claim,
        holder: "a".into(),
        incarnation: 1,
        address: address(0),
        replicas,
        append_ms: 0,
    };
    let mut view = LeadershipView::default();
    view.apply(4, &record, 1_000);
    view.record_read(5, 1_000);
    view
}

/// Guards against hundreds of entries that restart at once and all read the whole log, and against none that does.
#[test]
fn entries_that_are_not_listed_make_copies_a_few_a_second_while_nobody_leads() {
    let entries = 585_u64;
    let mut replicas = ReplicaList { entries: 585, ..ReplicaList::default() };
    replicas.add(&"a".into(), address(0));
    let view = view_of(replicas);
    let holder = |incarnation| HolderId { name: "b".into(), incarnation, delay_ms: 0 };
    let copies = |now| {
        (0..entries)
            .filter(|incarnation| view.is_replica(&holder(incarnation * 7_919), address(1), now))
            .count()
    };
    assert!(view.is_replica(&holder(1), address(0), 1_000));
    assert_eq!(copies(1_000 + RENEWAL_TIMEOUT_MS + 1_000), 0);
    let second = copies(1_000 + RENEWAL_TIMEOUT_MS + 3_000);
    assert!((REPLICAS_MAX / 2..=REPLICAS_MAX * 2).contains(&second), "{second}");
    assert_eq!(copies(1_000 + RENEWAL_TIMEOUT_MS + 40_000), 585);
}

/// Guards against entries without a copy beside a leader of an earlier version, which lists none, and on a new log.
#[test]
fn every_entry_keeps_a_copy_where_nobody_lists_any() {
    let holder = HolderId { name: "b".into(), incarnation: 1, delay_ms: 0 };
    assert!(view_of(ReplicaList::default()).is_replica(&holder, address(1), 1_000));
    assert!(LeadershipView::default().is_replica(&holder, address(1), 1_000));
}

/// Guards against a leadership record of an earlier version that can't be read.
#[test]
fn a_record_without_a_list_is_read() {
    let whole = LeadershipRecord {
        act: LeadershipAct::Renew,
        holder: "a".into(),
        incarnation: 3,
        address: address(0),
        replicas: ReplicaList::default(),
        append_ms: 0,
    };
    let earlier =
        postcard::to_stdvec(&(whole.act, &whole.holder, whole.incarnation, whole.address));
    let earlier = earlier.expect("encoded");
    assert_eq!(LeadershipRecord::decode(&earlier), Some(whole));
    assert_eq!(LeadershipRecord::decode(&earlier[..3]), None);
}

/// A job log to which something is appended ten times a second, and which counts what it sends.
#[derive(Clone, Default)]
struct CountingLog {
    begun: Option<tokio::time::Instant>,
    sent: Arc<AtomicU64>,
    reads: Arc<AtomicU64>,
}

const APPEND_GAP_MS: u64 = 100;

impl CountingLog {
    fn end(&self) -> u64 {
        let begun = self.begun.expect("begun");
        u64::try_from(begun.elapsed().as_millis()).expect("a short test") / APPEND_GAP_MS
    }
}

fn submitted(id: u64) -> KeyedRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(1)]))))
        .encode()
        .expect("a submission is encoded")
}

impl JobLog for CountingLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, wait: Duration) -> ReadOutcome {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let deadline = tokio::time::Instant::now() + wait;
        while self.end() <= from && tokio::time::Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        let end = self.end();
        let records: Vec<_> = (from..end).map(|offset| (offset, submitted(offset))).collect();
        let bytes: usize = records.iter().map(|(_, record)| record.value.len()).sum();
        self.sent.fetch_add(u64::try_from(bytes).expect("a few"), Ordering::Relaxed);
        ReadOutcome::Read(LogBatch { end, next: end, records })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        Some(NewestPage { records: Vec::new(), has_more: false, end: 0 })
    }
}

/// What the job log sends, and how often it is read, in ten seconds with so many entries.
async fn log_load(entries: usize) -> (u64, u64) {
    let log = CountingLog { begun: Some(tokio::time::Instant::now()), ..CountingLog::default() };
    let list = planned(entries);
    let mut loops = Vec::new();
    for number in 0..entries {
        let node = node_with(SiteSettings { peer: address(number), ..site_settings() });
        node.set_replicas(&list, list.contains(address(number)));
        let (tail, replica_epoch) = (TailReader::new(LogTopic::Jobs), node.replica_epoch());
        let mut follower = JobFollower { node, log: log.clone(), tail, replica_epoch };
        loops.push(tokio::spawn(async move {
            loop {
                let pause = follower.step().await;
                sleep(pause.max(Duration::from_millis(1))).await;
            }
        }));
    }
    sleep(Duration::from_secs(10)).await;
    loops.iter().for_each(tokio::task::JoinHandle::abort);
    (log.sent.load(Ordering::Relaxed), log.reads.load(Ordering::Relaxed))
}

/// Guards against a log that has to send what the jobs do to each entry there is.
#[tokio::test(start_paused = true)]
async fn what_the_job_log_sends_does_not_grow_with_the_entries() {
    let (sent, reads) = log_load(60).await;
    let (sent_twice, reads_twice) = log_load(120).await;
    assert!(sent > 0);
    assert!(sent_twice * 10 <= sent * 13, "{sent} and {sent_twice} bytes");
    assert!(reads_twice * 10 <= reads * 13, "{reads} and {reads_twice} readings");
}

/// A log whose only answer is held back until it is let go.
#[derive(Clone, Default)]
struct HeldLog(Arc<tokio::sync::Notify>);

impl JobLog for HeldLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Refused
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        self.0.notified().await;
        Some(NewestPage { records: vec![(0, submitted(1))], has_more: false, end: 1 })
    }
}

/// Guards against an entry that leads by a part of the jobs: what it read for a copy that it has given up.
#[tokio::test(start_paused = true)]
async fn what_was_read_for_an_earlier_copy_is_not_folded() {
    let (log, node) = (HeldLog::default(), idle_node());
    let (tail, replica_epoch) = (TailReader::new(LogTopic::Jobs), node.replica_epoch());
    let mut follower = JobFollower { node: node.clone(), log: log.clone(), tail, replica_epoch };
    let reading = tokio::spawn(async move { follower.step().await });
    sleep(Duration::from_millis(10)).await;
    node.set_replicas(&ReplicaList::default(), false);
    node.set_replicas(&ReplicaList::default(), true);
    log.0.notify_one();
    reading.await.expect("no panic");
    assert!(!node.has_replica() && node.applied_offset() == 0);
    assert!(node.job_table().get(job_id(1)).is_none());
}

/// An entry with a copy that has job 1, served on a port.
async fn copy_with_job(is_log_well: bool) -> (Arc<JobNode>, SocketAddr) {
    let node = idle_node();
    let record = JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step(1)]))));
    node.fold_snapshot(&[(0, record)], 1);
    node.set_loaded();
    node.record_log_answer();
    while !is_log_well && !node.is_log_silent() {
        sleep(Duration::from_millis(20)).await;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(listener, peer_service(node.clone(), RecordingWorkers::default())));
    (node, address)
}

/// An entry without a copy that knows these.
fn asking(replicas: &[SocketAddr]) -> Arc<JobNode> {
    let mut list = ReplicaList { centres: BTreeMap::new(), entries: 100 };
    for replica in replicas {
        list.add(&"regina-a".into(), *replica);
    }
    let node = idle_node();
    node.set_replicas(&list, false);
    node
}

/// An address at which nothing listens.
async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("bound")
}

/// Guards against callers that are refused as one of the copies is gone.
#[tokio::test]
async fn a_question_goes_on_to_the_next_copy() {
    let (copy, address) = copy_with_job(true).await;
    let node = asking(&[closed_port().await, address]);
    let client = QueryClient::new(HttpTransport::open());
    for _ in 0..4 {
        // A busy machine can make the log's last answer old between two lines.
        copy.record_log_answer();
        let answer = client.ask(&node, &JobQuery::Job(job_id(1))).await;
        let known = match answer {
            Some(JobAnswer::Job(Some(known)) | JobAnswer::Stale(known)) => known,
            other => panic!("{other:?}"),
        };
        assert_eq!(known.state, JobState::Queued);
    }
}

/// Guards against "no such job" out of a copy that can't be brought up to date, and against a data centre without its
/// log whose callers are told nothing.
#[tokio::test]
async fn a_copy_whose_log_is_away_tells_what_it_has_and_denies_nothing() {
    let (_copy, address) = copy_with_job(false).await;
    let node = asking(&[address]);
    let client = QueryClient::new(HttpTransport::open());
    let known = client.ask(&node, &JobQuery::Job(job_id(1))).await;
    assert!(matches!(known, Some(JobAnswer::Stale(_))), "{known:?}");
    let client = QueryClient::new(HttpTransport::open());
    assert_eq!(client.ask(&node, &JobQuery::Job(job_id(2))).await, None);
    assert_eq!(client.ask(&node, &JobQuery::Waiting("holds".into())).await, None);
}

/// Guards against an entry without a whole copy that answers for others.
#[tokio::test]
async fn an_entry_without_a_copy_answers_no_questions() {
    let (copy, address) = copy_with_job(true).await;
    copy.set_replicas(&ReplicaList::default(), false);
    let node = asking(&[address]);
    let client = QueryClient::new(HttpTransport::open());
    assert_eq!(client.ask(&node, &JobQuery::Job(job_id(1))).await, None);
}
