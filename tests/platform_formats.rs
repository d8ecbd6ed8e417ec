//! The platform's formats, decoded as if they came from an enemy.

mod support;

use std::time::Duration;

use ibisweir::error::ResultCode;
use ibisweir::jobs::model::{ExitKind, JobId, SpecFault, TaskKey};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::LogTopic;
use ibisweir::jobs::record::{JobRecord, KeyedRecord};
use ibisweir::jobs::relay;
use ibisweir::jobs::site::OperatorRecord;
use ibisweir::platform_adapter::{document, job, log, settings, worker};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Settings as the template lays them down.
const SETTINGS: &str = r#"{
  "node": "front-a-1", "zone": "a", "zones": {"a": "r"}, "ip": "10.1.0.9",
  "listen": {"front": "10.1.0.9:8624", "ready": "10.1.0.9:8622", "control": "10.1.0.9:8623"},
  "port-range": [7060, 7075], "heartbeat-ms": 1500, "orders": "call", "hint": "10.2.1.9:8621",
  "platform": {"addr": "10.2.1.7:8621", "form": "log", "call-bytes": 2097152},
  "cloud": {"addr": "10.2.0.107:8621", "duty-per-s": 64.0},
  "bounds": {"max-hold-ms": 6000, "status_s": 120, "migrate-s": 1.5, "grace-s": 6, "unknown": 1},
  "unknown": {"x": [1, 2]}
}"#;

fn keyed(key: &str, value: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_owned(), value: value.as_bytes().to_vec() }
}

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let settings = settings::parse(SETTINGS).expect("good settings");
    assert_eq!(&*settings.node, "front-a-1");
    assert_eq!(settings.peer.to_string(), "10.1.0.9:7060");
    assert_eq!(settings.bounds.lease_max_ms, 6_000);
    assert_eq!(settings.bounds.status_ms, 120_000);
    assert_eq!(settings.bounds.grace_ms, 6_000);
}

/// Guards against admission control on sites that did not ask for it, and against an entry that does not start for a
/// list of contracts of another shape, which earlier builds don't read at all.
#[test]
fn admission_control_is_on_where_the_contracts_name_pressure() {
    assert!(!settings::parse(SETTINGS).expect("good settings").admission);
    let with = |contracts: &str| {
        settings::parse(&SETTINGS.replacen('{', &format!("{{ \"contracts\": {contracts},"), 1))
    };
    for (contracts, expected) in
        [("[]", false), (r#"["other"]"#, false), (r#"["other", "pressure"]"#, true), ("7", false)]
    {
        assert_eq!(with(contracts).expect("good settings").admission, expected, "{contracts}");
    }
    let overridden =
        SETTINGS.replacen('{', r#"{ "contracts": ["pressure"], "admission": false,"#, 1);
    assert!(!settings::parse(&overridden).expect("good settings").admission);
    let report = settings::parse(&SETTINGS.replacen('{', r#"{ "admission": 7,"#, 1));
    let report = report.expect_err("neither on nor off");
    assert_eq!(*report.current_context(), ResultCode::SettingUnreadable);
}

/// Workers that fetch their commands with their heartbeats are not supported. A process that started
/// all the same would look healthy and run nothing; it says so, with a number, and does not start.
#[test]
fn settings_that_ask_for_what_is_not_built_are_refused_by_number() {
    let other = SETTINGS.replace("\"call\"", "\"heartbeat\"");
    let report = settings::parse(&other).expect_err("not supported");
    assert_eq!(*report.current_context(), ResultCode::SettingRange);
    let report = settings::parse("{}").expect_err("nothing in it");
    assert_eq!(*report.current_context(), ResultCode::SettingUnreadable);
}

#[test]
fn a_configuration_is_read() {
    let text = r#"{"version":7,"routes":[{"name":"r1","host":"h.example","path-prefix":"/a/",
        "service":"s","slo-ms":600,"priority":1,"attempts":2,"stretch":1.6,
        "hint":{"decide-ms":5,"period-ms":1,"valid-ms":3000}}],
        "services":[{"name":"s","admission-check":true,"standby":false},{"name":"t","standby":true}],
        "limits":{"max-body-bytes":1000}}"#;
    let record = document::operator_record(&keyed("config", text));
    let Some(OperatorRecord::Config(config)) = record else { panic!("{record:?}") };
    let queue = config.route("H.example", "/a/0123").expect("a queue");
    assert_eq!((queue.objective_ms, queue.priority, queue.attempts), (600, 1, 2));
    assert_eq!(queue.permits.map(|permits| permits.valid_ms), Some(3_000));
    assert!(config.pool("t").is_some_and(|pool| pool.is_standby));
    assert_eq!(config.limits.body_bytes, 1_000);
    assert!(config.route("h.example", "/b/").is_none());
}

#[test]
fn the_longest_prefix_names_the_queue() {
    let text = r#"{"version":1,"routes":[
        {"name":"short","host":"h","path-prefix":"/a/","service":"s"},
        {"name":"long","host":"h","path-prefix":"/a/b/","service":"s"}],"services":[]}"#;
    let Some(OperatorRecord::Config(config)) = document::operator_record(&keyed("config", text))
    else {
        panic!("a configuration")
    };
    assert_eq!(&*config.route("h", "/a/b/1").expect("a queue").name, "long");
    assert_eq!(&*config.route("h", "/a/c").expect("a queue").name, "short");
}

#[test]
fn a_wave_and_a_worker_are_read() {
    let text = r#"{"wave":3,"machines":["m-1","m-2"],"within-s":20.5,"cap":2}"#;
    let record = document::operator_record(&keyed("wave/3", text));
    let Some(OperatorRecord::Wave(wave)) = record else { panic!("{record:?}") };
    assert_eq!((wave.number, wave.within_ms, wave.parallel_max), (3, 20_500, 2));
    let text = r#"{"service":"s","addr":"10.0.0.9:80","zone":"z","state":"draining",
        "capacity":{"cpu":16000,"mem-mb":32768},"labels":["a","r1-3"],"drain-remaining-ms":900}"#;
    let entry = document::worker_entry(&keyed("i-1", text)).expect("a worker");
    assert!(entry.is_draining);
    assert_eq!(entry.rack(), "r1-3");
    assert_eq!(entry.capacity.cpu, 16_000);
}

#[test]
fn a_job_is_read_and_checked() {
    let spec = job::decode(
        br#"{"spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"est-ms":900},
            {"count":2,"after":[0],"checkpoints":true,"long-running":true,"may-miss":1,"more":{}}]}"#,
    )
    .expect("a job");
    assert_eq!(spec.steps[0].need.cpu, 500);
    assert!(spec.steps[1].is_resumable && spec.steps[1].is_service);
    assert_eq!(spec.check(), Ok(()));

    let fault = |text: &[u8]| job::decode(text).expect("JSON").check().expect_err("a fault");
    assert_eq!(fault(br#"{"steps":[]}"#), SpecFault::StepCount);
    assert_eq!(fault(br#"{"steps":[{"count":0}]}"#), SpecFault::TaskCount);
    assert_eq!(fault(br#"{"steps":[{"count":4000000000}]}"#), SpecFault::TaskCount);
    assert_eq!(fault(br#"{"steps":[{"count":1,"after":[0]}]}"#), SpecFault::StepOrder);
    let repeated = br#"{"steps":[{"count":1}],"repeats":5}"#;
    assert_eq!(fault(repeated), SpecFault::Schedule);
    assert!(job::decode(b"no JSON").is_err());
    assert!(JobId::parse("0123456789ABCDEF").is_none() && JobId::parse("12").is_none());
}

#[test]
fn a_report_is_read() {
    let report = worker::decode_report(
        br#"{"clock-ms":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41],
            ["5c0e7a21d94b36f8.0.1.18",1,"",100,37.5]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#,
    )
    .expect("a report");
    assert_eq!(report.running[0].percent, 41);
    assert_eq!(report.running[1].gauge, Some(38));
    assert_eq!(report.exits[0].kind, ExitKind::Done);
    assert_eq!(report.exits[0].task.to_string(), "5c0e7a21d94b36f8.0.1.9");
}

#[test]
fn records_come_back_as_they_were_written() {
    let id = JobId::parse("00000000000000ff").expect("an id");
    let spec = support::sim::job(vec![support::sim::step(3)]);
    let record = JobRecord::Submitted(id, support::sim::submission(spec).into());
    let keyed = record.encode().expect("a record");
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
    let key = TaskKey { job: id, occurrence: 1, step: 2, index: 3 };
    assert_eq!(TaskKey::parse(&key.to_string()), Some(key));
}

/// Whatever bytes come from outside, each decoder says what it makes of them and none panics.
#[test]
fn arbitrary_bytes_break_no_decoder() {
    fn decode_all(bytes: Vec<u8>) -> TestResult {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let record = KeyedRecord { key: text.clone(), value: bytes.clone() };
        let _ = settings::parse(&text).is_ok();
        let _ = document::operator_record(&record);
        let _ =
            document::operator_record(&KeyedRecord { key: "config".to_owned(), ..record.clone() });
        let _ = document::worker_entry(&record);
        let _ = job::decode(&bytes).map(|spec| spec.check());
        let _ = worker::decode_report(&bytes);
        let _ = relay::decode(&bytes);
        for topic in [LogTopic::Jobs, LogTopic::Leadership] {
            let _ = log::decode(topic, u64::MAX - 1, &bytes);
        }
        for prefix in ["s", "p", "x", "w"] {
            let _ = JobRecord::decode(&format!("{prefix}00000000000000ff"), &bytes);
        }
        let _ = (JobRecord::decode(&text, &bytes), TaskKey::parse(&text), JobId::parse(&text));
        TestResult::passed()
    }
    let seed = std::env::var("IBISWEIR_TEST_SEED").ok().and_then(|text| text.parse().ok());
    let random = Gen::from_size_and_seed(512, seed.unwrap_or(1));
    QuickCheck::new().rng(random).tests(3_000).quickcheck(decode_all as fn(Vec<u8>) -> TestResult);
}

/// The log falls silent, and the leader stores nothing for this entry either. Callers that come after
/// a second are refused at once, with the time to come back, while they can still try another entry;
/// before, each waited until its own time was nearly up.
#[tokio::test(start_paused = true)]
async fn a_log_that_is_known_to_be_away_is_not_waited_for() {
    let settings = settings::parse(SETTINGS).expect("good settings");
    let node = JobNode::new(settings, Default::default(), ibisweir::logging::silent());
    node.record_log_answer();
    assert!(!node.is_log_unreachable());
    tokio::time::advance(Duration::from_millis(1_300)).await;
    assert!(node.is_log_unreachable());
    // The leader still reaches the log and stores for us.
    node.record_store();
    assert!(!node.is_log_unreachable());
}
