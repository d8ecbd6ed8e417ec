//! The whole path with the real programs, each a process of its own.

mod support;

use std::time::Duration;

use ibisweir::document::IntentDocument;
use support::process::{ProcessGroup, run_tool};
use support::{get, post};

/// A small site: two data centres, one pool, three workers in each.
fn document(workers: &[(String, String)]) -> String {
    let fleet = ibisweir_standin::fleet::FleetShape {
        centres: vec![("dc-a".to_owned(), "r".to_owned()), ("dc-b".to_owned(), "r".to_owned())],
        pools: vec![("tours".to_owned(), 6, 0)],
        ..ibisweir_standin::fleet::FleetShape::halvorsen()
    };
    let address = |vm: &ibisweir::name::VmName| {
        let found = workers.iter().find(|(name, _)| name == vm.as_str());
        found.expect("every VM has a worker").1.parse().expect("a worker prints IP:port")
    };
    serde_json::to_string(&fleet.document(address)).expect("a document is JSON")
}

#[tokio::test]
async fn a_request_is_served_from_end_to_end_by_separate_processes() {
    let mut group = ProcessGroup::open("whole-path");
    let platform = group.standin(&["platform"]);
    let mut workers = Vec::new();
    for vm in ["dc-a-w0", "dc-a-w1", "dc-a-w2", "dc-b-w0", "dc-b-w1", "dc-b-w2"] {
        workers.push((vm.to_owned(), group.standin(&["worker", vm, "--platform", &platform])));
    }
    let file = group.file("site.json", &document(&workers));
    let run = run_tool(&["check", &file]);
    assert_eq!(run.status, Some(0), "{run:?}");
    let run = run_tool(&["publish", &file, "--platform", &platform]);
    assert!(run.status == Some(0) && run.out.contains("accepted as revision 0"), "{run:?}");

    let mut entries = Vec::new();
    for (name, centre) in [("a1", "dc-a"), ("a2", "dc-a"), ("b1", "dc-b")] {
        entries.push(group.entry(name, centre, &platform));
    }
    for entry in &entries {
        support::wait_ready(entry.admin, 3).await;
        let answer = get(entry.callers, "/tours/list").await;
        assert_eq!((answer.status, answer.code), (200, None), "{answer:?}");
        let answer = post(entry.callers, "/tours/hold", &[]).await;
        assert_eq!((answer.status, answer.code), (200, None), "{answer:?}");
    }
    let answer = get(entries[0].callers, "/nowhere/list").await;
    assert_eq!((answer.status, answer.code), (404, Some(101)), "{answer:?}");

    // A second document edited from no base loses, and says to which one.
    let run = run_tool(&["publish", &file, "--platform", &platform]);
    assert_eq!(run.status, Some(3), "{run:?}");
    assert!(run.err.contains("revision 0 is in force"), "{run:?}");
    let admins: Vec<String> = entries.iter().map(|entry| entry.admin.to_string()).collect();
    let run = run_tool(&["status", "--json", "--admin", &admins.join(",")]);
    assert_eq!(run.status, Some(0), "{run:?}");
    let reports: serde_json::Value = serde_json::from_str(&run.out).expect("status prints JSON");
    assert!((0..3).all(|index| reports[index]["revision"] == 0), "{run:?}");
    let run = run_tool(&["show", "--platform", &platform]);
    let shown: IntentDocument = serde_json::from_str(&run.out).expect("show prints JSON");
    assert_eq!(shown.services.len(), 1);

    for entry in entries {
        assert_eq!(group.terminate(entry, Duration::from_secs(30)), Some(0));
    }
}
