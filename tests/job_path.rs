//! A job from its submission to its end, through the real programs and the platform's protocol.

mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};
use ibisweir::jobs::model::JobId;
use ibisweir::transport::{HttpAnswer, HttpCall, HttpTransport};
use ibisweir_standin::jobs::ledger::CallerJob;
use ibisweir_standin::jobs::site::{CALLER_HOST, JobPlatform, POOLS};
use ibisweir_standin::soak::entry::EntryProcess;
use serde_json::{Value, json};
use support::PATIENCE;
use support::process::{ToolRun, run_tool};
use tokio::time::sleep;

const ID: &str = "00c0ffee00c0ffee";

async fn call(entry: &EntryProcess, method: Method, id: &str, body: &str) -> HttpAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
    let path = format!("/{}/{id}", POOLS[0]);
    let call = HttpCall { method, path, headers, body: Bytes::from(body.to_owned()) };
    let answer = HttpTransport::open().exchange(entry.callers, call, PATIENCE).await;
    answer.expect("the entry answers")
}

async fn until_ready(entry: &EntryProcess) {
    let begun = Instant::now();
    while !entry.is_ready_now() {
        assert!(begun.elapsed() < PATIENCE, "the entry is never ready");
        sleep(Duration::from_millis(50)).await;
        entry.look_after().await;
    }
}

async fn tool(arguments: &[&str]) -> ToolRun {
    let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    let run = tokio::task::spawn_blocking(move || {
        let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run_tool(&words)
    });
    run.await.expect("the tool runs")
}

/// Hands a job of two steps in, waits until it is shown as completed, and asks the tool about it.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_to_its_end_and_operators_can_see_it() {
    let directory = std::env::temp_dir().join(format!("ibisweir-job-path-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for the entry's files");
    let platform = JobPlatform::open(6).await.expect("the platform opens");
    let daemon = Path::new(env!("CARGO_BIN_EXE_ibisweird"));
    let entry = EntryProcess::start(0, daemon, &directory, &platform).await.expect("it starts");
    until_ready(&entry).await;

    let payload = "work=50 cpu=1000";
    let job = CallerJob {
        payload: payload.to_owned(),
        steps: vec![3, 2],
        end: None,
        is_cancelled: false,
        lasts: false,
    };
    platform.ledger().jobs.insert(JobId::parse(ID).expect("an id"), job);
    let body = json!({ "spec": payload, "steps": [
        { "count": 3, "cpu": 1000, "mem-mb": 128, "est-ms": 50 },
        { "count": 2, "cpu": 1000, "mem-mb": 128, "est-ms": 50, "after": [0] },
    ] });
    let begun = Instant::now();
    while call(&entry, Method::POST, ID, &body.to_string()).await.status != 200 {
        assert!(begun.elapsed() < PATIENCE, "the job is never accepted");
        sleep(Duration::from_millis(50)).await;
    }
    let state = |answer: &HttpAnswer| -> Value {
        serde_json::from_slice::<Value>(&answer.body).expect("a JSON answer")["state"].clone()
    };
    while state(&call(&entry, Method::GET, ID, "").await) != "completed" {
        assert!(begun.elapsed() < PATIENCE, "the job is never completed");
        sleep(Duration::from_millis(20)).await;
    }
    platform.ledger().shown_completed(JobId::parse(ID).expect("an id"));
    assert!(platform.ledger().faults.is_empty(), "{:?}", platform.ledger().faults);
    assert_eq!(platform.ledger().starts, 5);

    let peer = entry.peer.to_string();
    let run = tool(&["job", ID, "--json", "--entry", &peer]).await;
    assert_eq!(run.status, Some(0), "{run:?}");
    let shown: Value = serde_json::from_str(&run.out).expect("the tool prints JSON");
    assert_eq!((&shown["state"], &shown["tasks"]), (&json!("Completed"), &json!(5)));
    let run = tool(&["jobs", "--entry", &peer]).await;
    assert_eq!(run.status, Some(0), "{run:?}");
    assert!(run.out.contains("itself, term ") && run.out.contains(POOLS[1]), "{run:?}");
    let run = tool(&["job", "00000000000000aa", "--entry", &peer]).await;
    assert_eq!(run.status, Some(6), "{run:?}");
    assert!(run.err.contains("122"), "{run:?}");

    assert!(entry.stop().await, "it ends with 0");
    // A directory that can't be removed is only left over.
    let _ = std::fs::remove_dir_all(&directory);
}

/// Requests that make no sense get their numbered answer, and the entry goes on.
#[tokio::test(flavor = "multi_thread")]
async fn bad_submissions_get_a_numbered_answer() {
    let directory = std::env::temp_dir().join(format!("ibisweir-bad-job-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory for the entry's files");
    let platform = JobPlatform::open(3).await.expect("the platform opens");
    let daemon = Path::new(env!("CARGO_BIN_EXE_ibisweird"));
    let entry = EntryProcess::start(1, daemon, &directory, &platform).await.expect("it starts");
    until_ready(&entry).await;
    let code = |answer: &HttpAnswer| -> Value {
        serde_json::from_slice::<Value>(&answer.body).expect("a JSON answer")["code"].clone()
    };
    let cycle = json!({ "spec": "", "steps": [{ "count": 1, "cpu": 1, "after": [0] }] });
    let bodies = ["", "no json", "[]", r#"{"steps":[]}"#, r#"{"steps":[{"count":0}]}"#];
    for body in bodies.iter().map(|body| (*body).to_owned()).chain([cycle.to_string()]) {
        let answer = call(&entry, Method::POST, ID, &body).await;
        assert_eq!((answer.status.as_u16(), code(&answer)), (400, json!(123)), "{body}");
    }
    let answer = call(&entry, Method::POST, "no-id", "{}").await;
    assert_eq!(answer.status, 400);
    let answer = call(&entry, Method::GET, ID, "").await;
    assert_eq!((answer.status.as_u16(), code(&answer)), (410, json!(122)));
    assert!(entry.stop().await, "it ends with 0");
    // A directory that can't be removed is only left over.
    let _ = std::fs::remove_dir_all(&directory);
}
