//! API keys: who is admitted, which jobs a caller may see, and for how long a key is honoured
//! without confirmation.

mod support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ibisweir::control::ControlLoop;
use ibisweir::decide::access::{
    AccessTable, CallerAccess, KeyDigest, OrganisationSpec, PresentedKey, RevocationRule,
};
use ibisweir::error::ResultCode;
use ibisweir::jobs::caller_service::{CallerReply, CallerService, SubmittedJob};
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::confirm::{self, ConfirmAnswer, ConfirmQuery};
use ibisweir::jobs::follower::{OperatorFollower, TailReader};
use ibisweir::jobs::model::{JobState, ResourceVector};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::query::QueryClient;
use ibisweir::jobs::record::KeyedRecord;
use ibisweir::jobs::relay::RelayClient;
use ibisweir::jobs::site::{OperatorRecord, QueueSpec, SiteConfig};
use ibisweir::jobs::submitter;
use ibisweir::transport::HttpTransport;
use support::fakes::idle_node;
use support::sim::{POOL, QUEUE, config, job, job_id, queue, step};
use tokio::time::{advance, sleep};

/// Slightly more than the time for which a read confirms the configuration, according to the
/// settings of the simulation.
const CONFIRMATION_LIMIT: Duration = Duration::from_millis(5_000);
const TIME_LEFT: Duration = Duration::from_secs(3);

fn organisation(name: &str, keys: &[&str]) -> OrganisationSpec {
    OrganisationSpec {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        weight: 10.0,
        cap: ResourceVector::default(),
    }
}

/// A configuration of this version with two organisations and these API keys.
fn keyed_config(version: u64, east: &[&str], west: &[&str]) -> SiteConfig {
    let organisations = vec![organisation("east", east), organisation("west", west)];
    SiteConfig { version, access: Some(AccessTable::from(organisations)), ..config() }
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Given(KeyDigest::of(text))
}

/// Answer of the log to one read of the operators' records.
#[derive(Clone, Debug)]
enum ScriptedAnswer {
    /// These versions; and whether the answer reaches the end of the stream.
    Versions(Vec<u64>, bool),
    /// A configuration that can't be decoded.
    Undecodable,
    Nothing,
}

/// A log that answers reads as scripted, each after a delay, and accepts every append.
#[derive(Clone, Default)]
struct ScriptedLog {
    answers: Arc<Mutex<VecDeque<(Duration, ScriptedAnswer)>>>,
}

impl ScriptedLog {
    fn script(&self, delay_ms: u64, answer: ScriptedAnswer) {
        let answer = (Duration::from_millis(delay_ms), answer);
        self.answers.lock().expect("no panic").push_back(answer);
    }
}

/// A record whose one byte is the version; version 0 can't be decoded.
fn record(version: u64) -> KeyedRecord {
    KeyedRecord { key: "config".to_owned(), value: vec![u8::try_from(version).expect("small")] }
}

fn decode(record: &KeyedRecord) -> Option<OperatorRecord> {
    match record.value.first() {
        None | Some(0) => Some(OperatorRecord::UnreadableConfig),
        // Version 2 revokes the key "taken".
        Some(1) => Some(OperatorRecord::Config(keyed_config(1, &["taken", "key"], &["spare"]))),
        Some(version) => {
            Some(OperatorRecord::Config(keyed_config(u64::from(*version), &["key"], &["spare"])))
        }
    }
}

impl JobLog for ScriptedLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Done { offset: 0, end: call.records.len() as u64 }
    }

    async fn read(&self, _: LogTopic, from: u64, wait: Duration) -> ReadOutcome {
        let next = self.answers.lock().expect("no panic").pop_front();
        let Some((delay, answer)) = next else {
            sleep(wait).await;
            return ReadOutcome::Unknown;
        };
        sleep(delay).await;
        let (records, is_whole) = match answer {
            ScriptedAnswer::Versions(versions, is_whole) => {
                (versions.into_iter().map(record).collect::<Vec<_>>(), is_whole)
            }
            ScriptedAnswer::Undecodable => (vec![record(0)], true),
            ScriptedAnswer::Nothing => return ReadOutcome::Unknown,
        };
        let next = from + records.len() as u64;
        let end = if is_whole { next } else { next + 1 };
        ReadOutcome::Read(LogBatch { end, next, records: (from..).zip(records).collect() })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        let records = vec![(0, record(1))];
        Some(NewestPage { records, has_more: false, end: 1 })
    }
}

struct Entry {
    service: CallerService<ScriptedLog>,
    follower: OperatorFollower<ScriptedLog>,
    log: ScriptedLog,
}

impl Entry {
    fn open() -> Entry {
        let (node, log) = (idle_node(), ScriptedLog::default());
        let relay = RelayClient::new(HttpTransport::open());
        let queries = QueryClient::new(HttpTransport::open());
        let submitter = submitter::spawn(node.clone(), log.clone(), relay.clone(), 1);
        let reader = Arc::new(CatchUpReader::new(node.clone(), log.clone()));
        let follower = OperatorFollower {
            node: node.clone(),
            log: log.clone(),
            tail: TailReader::new(LogTopic::Operator),
            decoder: decode,
            has_unreadable_config: false,
        };
        Entry { service: CallerService { node, reader, submitter, relay, queries }, follower, log }
    }

    fn node(&self) -> &Arc<JobNode> {
        &self.service.node
    }

    /// An entry that has read the first configuration and confirmed that it is the newest.
    async fn confirmed() -> Entry {
        let mut entry = Entry::open();
        entry.follower.step().await;
        entry.read(0, ScriptedAnswer::Versions(Vec::new(), true)).await;
        entry
    }

    async fn read(&mut self, delay_ms: u64, answer: ScriptedAnswer) {
        self.log.script(delay_ms, answer);
        self.follower.step().await;
    }

    fn admit(&self, key: PresentedKey) -> Result<CallerAccess, CallerReply> {
        self.service.admit(&keyed_queue(), key)
    }

    fn code(&self, key: PresentedKey) -> Option<ResultCode> {
        match self.admit(key) {
            Ok(_) => None,
            Err(CallerReply::Refused(code, _)) => Some(code),
            Err(reply) => panic!("{reply:?}"),
        }
    }
}

fn keyed_queue() -> QueueSpec {
    queue(QUEUE, POOL)
}

#[tokio::test(start_paused = true)]
async fn callers_are_admitted_by_their_keys() {
    let entry = Entry::confirmed().await;
    let east = CallerAccess { organisation: Some("east".into()) };
    assert_eq!(entry.admit(key("key")), Ok(east));
    assert_eq!(entry.code(key("guess")), Some(ResultCode::UnknownApiKey));
    assert_eq!(entry.code(PresentedKey::Missing), Some(ResultCode::NoApiKey));
    assert_eq!(entry.code(PresentedKey::Malformed), Some(ResultCode::NoApiKey));
}

#[tokio::test(start_paused = true)]
async fn an_open_queue_and_a_site_without_organisations_need_no_key() {
    let entry = Entry::confirmed().await;
    let open = QueueSpec { is_open: true, ..keyed_queue() };
    assert_eq!(entry.service.admit(&open, key("guess")), Ok(CallerAccess::default()));
    let site = Entry::open();
    site.node().set_config(config());
    assert_eq!(site.admit(PresentedKey::Missing), Ok(CallerAccess::default()));
}

/// Guards against a key that is still accepted after the entry has read its revocation; callers get
/// 401 from then on.
#[tokio::test(start_paused = true)]
async fn a_revoked_key_is_refused_once_the_revocation_was_read() {
    let mut entry = Entry::confirmed().await;
    assert_eq!(entry.code(key("taken")), None);
    entry.read(10, ScriptedAnswer::Versions(vec![2], true)).await;
    assert_eq!(entry.code(key("taken")), Some(ResultCode::UnknownApiKey));
    assert_eq!(entry.code(key("key")), None);
    // An older record that is read again restores nothing.
    entry.read(10, ScriptedAnswer::Versions(vec![1], true)).await;
    assert_eq!(entry.code(key("taken")), Some(ResultCode::UnknownApiKey));
}

/// Guards against a revoked key that is honoured for too long by an entry that can't read the
/// operators' records any more. It serves its callers until a key that it knows could have been
/// revoked for longer than the limit. After that, every key gets 503 with a time to retry, and
/// unknown keys are not reported as unknown, since the entry can't tell whether any key is valid.
#[tokio::test(start_paused = true)]
async fn an_entry_that_can_not_read_the_log_honours_no_key_for_longer_than_the_limit() {
    let mut entry = Entry::confirmed().await;
    let lost = entry.node().now();
    while entry.node().now() < lost + 4_000 {
        entry.read(100, ScriptedAnswer::Nothing).await;
    }
    assert_eq!(entry.code(key("taken")), None);
    advance(CONFIRMATION_LIMIT).await;
    assert_eq!(entry.code(key("taken")), Some(ResultCode::KeyUnconfirmed));
    assert_eq!(entry.code(key("guess")), Some(ResultCode::KeyUnconfirmed));
    let answer = entry.admit(key("taken"));
    assert!(matches!(answer, Err(CallerReply::Refused(_, Some(_)))), "{answer:?}");
    entry.read(10, ScriptedAnswer::Versions(Vec::new(), true)).await;
    assert_eq!(entry.code(key("taken")), None);
}

/// Guards against counting the age of a read from its answer. The answer takes 4.5 s, and the key
/// may be revoked meanwhile; 1 s later the read is 5.5 s old, however new its answer is.
#[tokio::test(start_paused = true)]
async fn a_read_counts_from_its_start() {
    let mut entry = Entry::open();
    entry.follower.step().await;
    entry.read(4_500, ScriptedAnswer::Versions(Vec::new(), true)).await;
    assert_eq!(entry.code(key("taken")), None);
    advance(Duration::from_secs(1)).await;
    assert_eq!(entry.code(key("taken")), Some(ResultCode::KeyUnconfirmed));
}

/// Guards against a restarted entry that honours a revoked key. The first page of a snapshot can be
/// older than the revocation, so keys are honoured only after a read that continues from the
/// snapshot.
#[tokio::test(start_paused = true)]
async fn a_restarted_entry_honours_no_key_before_it_has_read_past_the_snapshot() {
    let mut entry = Entry::open();
    entry.follower.step().await;
    assert!(entry.node().config().is_some());
    assert_eq!(entry.code(key("key")), Some(ResultCode::KeyUnconfirmed));
    entry.read(0, ScriptedAnswer::Versions(Vec::new(), true)).await;
    assert_eq!(entry.code(key("key")), None);
}

/// Guards against a confirmation by a read that does not reach the end of a long stream.
#[tokio::test(start_paused = true)]
async fn a_read_that_stops_short_of_the_end_confirms_nothing() {
    let mut entry = Entry::confirmed().await;
    advance(CONFIRMATION_LIMIT).await;
    entry.read(10, ScriptedAnswer::Versions(Vec::new(), false)).await;
    assert_eq!(entry.code(key("key")), Some(ResultCode::KeyUnconfirmed));
}

/// Guards against honouring revoked keys when the newest configuration can't be decoded. Its
/// revocations are unknown, so the keys of the previous version count no longer than without any
/// read, and again once a valid version follows.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_can_not_be_read_confirms_no_key() {
    let mut entry = Entry::confirmed().await;
    entry.read(10, ScriptedAnswer::Undecodable).await;
    let begun = entry.node().now();
    while entry.node().now() < begun + 6_000 {
        entry.read(50, ScriptedAnswer::Versions(Vec::new(), true)).await;
    }
    assert_eq!(entry.code(key("key")), Some(ResultCode::KeyUnconfirmed));
    entry.read(10, ScriptedAnswer::Versions(vec![3], true)).await;
    assert_eq!(entry.code(key("key")), None);
}

/// Guards against a thousand reads a second from each reader of a log that has just come back:
/// reads without a valid confirmation don't wait for new records, but there must be a pause between
/// them.
#[tokio::test(start_paused = true)]
async fn an_entry_without_a_confirmation_pauses_between_reads() {
    let mut entry = Entry::confirmed().await;
    entry.read(0, ScriptedAnswer::Undecodable).await;
    for _ in 0..20 {
        entry.log.script(0, ScriptedAnswer::Versions(Vec::new(), true));
        assert!(entry.follower.step().await >= Duration::from_millis(100));
    }
}

#[test]
fn keys_are_honoured_up_to_the_limit_and_always_if_it_is_not_strict() {
    let rule = RevocationRule { is_strict: true, bound_ms: 5_000 };
    assert!(rule.may_honour(Some(1_000), 5_000));
    assert!(!rule.may_honour(Some(1_000), 6_000));
    assert!(!rule.may_honour(None, 0));
    let rule = RevocationRule { is_strict: false, ..rule };
    assert!(rule.may_honour(None, 1_000_000));
}

/// Guards against a confirmation through another entry that counts for too long. The other entry's
/// read began 300 ms before it answered, and the query was on its way for 200 ms. The read counts
/// from its start, as one of this entry's own would.
#[tokio::test(start_paused = true)]
async fn a_read_of_another_entry_counts_from_its_start() {
    let entry = Entry::confirmed().await;
    advance(CONFIRMATION_LIMIT).await;
    assert_eq!(entry.code(key("key")), Some(ResultCode::KeyUnconfirmed));
    let asked_ms = entry.node().now();
    advance(Duration::from_millis(200)).await;
    let answer = ConfirmAnswer { age_ms: Some(300), ..ConfirmAnswer::default() };
    confirm::apply_answer(entry.node(), answer, asked_ms);
    assert_eq!(entry.node().config_confirmed_ms(), Some(asked_ms - 300));
    assert_eq!(entry.code(key("key")), None);
    advance(CONFIRMATION_LIMIT - Duration::from_millis(500)).await;
    assert_eq!(entry.code(key("key")), Some(ResultCode::KeyUnconfirmed));
}

/// Guards against a revoked key that is accepted although the other entry had a newer
/// configuration: it comes with the answer and applies at once.
#[tokio::test(start_paused = true)]
async fn a_newer_configuration_comes_with_the_answer() {
    let (entry, mut other) = (Entry::confirmed().await, Entry::confirmed().await);
    other.read(10, ScriptedAnswer::Versions(vec![2], true)).await;
    let question = postcard::to_stdvec(&ConfirmQuery { version: 1 }).expect("encoded");
    let asked_ms = entry.node().now();
    let body = confirm::answer(other.node(), &question).expect("an answer");
    let text = String::from_utf8_lossy(&body);
    assert!(!text.contains("taken") && !text.contains("spare"), "keys must not be sent");
    confirm::apply_answer(entry.node(), postcard::from_bytes(&body).expect("decoded"), asked_ms);
    assert_eq!(entry.node().config().map(|config| config.version), Some(2));
    assert_eq!(entry.code(key("taken")), Some(ResultCode::UnknownApiKey));
    assert!(confirm::answer(other.node(), b"\xff\xff\xff").is_none());
}

/// Guards against access to the jobs of another organisation. Its callers can't see, cancel or
/// resubmit them; the owner's callers can, also after keys have changed.
#[tokio::test(start_paused = true)]
async fn callers_cannot_access_jobs_of_another_organisation() {
    let entry = Entry::confirmed().await;
    let (service, queue) = (&entry.service, keyed_queue());
    let east = entry.admit(key("taken")).expect("admitted");
    let west = entry.admit(key("spare")).expect("admitted");
    let submitted = |id| SubmittedJob { job: id, spec: job(vec![step(1)]), lease: None };
    entry.node().record_log_answer();
    let (id, unknown) = (job_id(1), CallerReply::Refused(ResultCode::UnknownJob, None));
    assert_eq!(service.submit(&queue, &east, submitted(id), TIME_LEFT).await, CallerReply::Stored);
    assert_eq!(service.job_state(&west, id).await, unknown);
    assert_eq!(service.job_state(&CallerAccess::default(), id).await, unknown);
    assert_eq!(service.cancel(&queue, &west, id, TIME_LEFT).await, unknown);
    let id_taken = CallerReply::Refused(ResultCode::JobIdTaken, None);
    assert_eq!(service.submit(&queue, &west, submitted(id), TIME_LEFT).await, id_taken);
    entry.node().set_config(keyed_config(2, &["key"], &["spare"]));
    let east = entry.admit(key("key")).expect("admitted");
    assert_eq!(service.job_state(&east, id).await, CallerReply::State(JobState::Queued));
    assert_eq!(service.cancel(&queue, &east, id, TIME_LEFT).await, CallerReply::Stored);
    // A job of a queue without API keys belongs to no organisation.
    let open = CallerAccess::default();
    assert_eq!(
        service.submit(&queue, &open, submitted(job_id(2)), TIME_LEFT).await,
        CallerReply::Stored
    );
    assert_eq!(service.job_state(&west, job_id(2)).await, CallerReply::State(JobState::Queued));
}

#[test]
fn debug_output_hides_api_keys() {
    assert_eq!(format!("{:?}", KeyDigest::of("secret")), "KeyDigest");
    let book = AccessTable::from(vec![organisation("east", &["secret"])]);
    assert!(!format!("{book:?}").contains("secret"));
    assert!(book.owner(&KeyDigest::of("secret")).is_some());
}
