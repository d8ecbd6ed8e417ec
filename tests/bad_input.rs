//! Bad input gets a numbered code and loses nothing.

mod support;

use std::collections::HashMap;

use http::Method;
use ibisweir::decide::key::RequestKey;
use ibisweir::document::{IntentDocument, parse};
use ibisweir::error::ResultCode;
use ibisweir::peer::{PeerCall, PeerReply, decode};
use ibisweir::platform::{HttpPlatform, LogClient, ReadAnswer};
use ibisweir::settings::EntrySettings;
use ibisweir::view::FleetView;
use ibisweir_standin::fleet::FleetShape;
use ibisweir_standin::site::{LOOPBACK, LocalSite, SiteShape};
use quickcheck::{Gen, QuickCheck};
use support::{call, get, post, seeded};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn small_site() -> SiteShape<ibisweir::decide::slot::BorrowedSlots> {
    SiteShape::new(FleetShape::one_pool(2))
}

#[test]
fn every_faulty_setting_is_reported_with_its_flag() {
    let words = "--name Upper --data-centre dc --platform nowhere --body-max 0 --slot-policy odd \
                 --peer 0.0.0.0:1 --seeds 1.2.3.4:5,x --peer-ca @/no/such/file";
    let arguments: Vec<String> = words.split_whitespace().map(str::to_owned).collect();
    let faults = EntrySettings::read(&arguments, &HashMap::new()).expect_err("they are faulty");
    let codes: HashMap<&str, u16> =
        faults.iter().map(|fault| (fault.flag.as_str(), fault.code.number())).collect();
    let expected = [
        ("name", 501),
        ("platform", 501),
        ("body-max", 502),
        ("slot-policy", 501),
        ("peer", 502),
        ("seeds", 501),
        ("peer-ca", 501),
        ("peer-cert", 503),
        ("peer-key", 503),
    ];
    assert_eq!(codes, expected.into_iter().collect::<HashMap<_, _>>());
    let unknown = EntrySettings::read(&["--colour".to_owned()], &HashMap::new());
    let faults = unknown.expect_err("it is unknown");
    assert_eq!((faults[0].code, faults[0].flag.as_str()), (ResultCode::SettingUnknown, "colour"));
}

#[test]
fn a_flag_goes_before_its_variable() {
    let variables: HashMap<String, String> = [
        ("IBISWEIR_NAME", "of-variable"),
        ("IBISWEIR_DATA_CENTRE", "dc"),
        ("IBISWEIR_PLATFORM", "127.0.0.1:1"),
        ("IBISWEIR_PEER", "127.0.0.1:2"),
        ("IBISWEIR_PEER_CA", "a"),
        ("IBISWEIR_PEER_CERT", "b"),
        ("IBISWEIR_PEER_KEY", "c"),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .into();
    let arguments = ["--name".to_owned(), "of-flag".to_owned()];
    let settings = EntrySettings::read(&arguments, &variables).expect("they are complete");
    assert_eq!((settings.text("name"), settings.text("data-centre")), ("of-flag", "dc"));
}

#[test]
fn every_fault_of_a_document_is_reported_with_its_place() {
    let any = FleetShape::regie().document(|_| ([127, 0, 0, 1], 1).into());
    let mut text = serde_json::to_value(any).expect("a document is JSON");
    text["vms"][0]["name"] = "Bad Name".into();
    text["vms"][1]["slots"] = 0.into();
    text["vms"][2]["address"] = "host:80".into();
    text["pools"][0]["product"] = "nothing".into();
    text["pools"][1]["workers"]["triolet"] = 400.into();
    text["products"][2]["capacity"] = 900.into();
    text["services"][1]["name"] = text["services"][0]["name"].clone();
    let faults = parse(text.to_string().as_bytes()).expect_err("it has faults");
    let found = |code: u16, place: &str| {
        faults.iter().any(|fault| fault.code.number() == code && fault.place == place)
    };
    assert!(found(402, "vms[0].name"), "{faults:?}");
    assert!(found(405, "vms[1].slots"), "{faults:?}");
    assert!(found(406, "vms[2].address"), "{faults:?}");
    assert!(found(404, "pools[0].product"), "{faults:?}");
    assert!(found(407, "pools[*].workers.triolet"), "{faults:?}");
    assert!(found(403, "services[1].name"), "{faults:?}");
    let missing = faults.iter().find(|f| f.place == "products[2].capacity").expect("a fault");
    assert!(missing.code.number() == 408 && missing.detail.contains("890 more"), "{missing:?}");
    text["surprise"] = 1.into();
    let faults = parse(text.to_string().as_bytes()).expect_err("an unknown field");
    assert!(faults[0].code.number() == 401 && faults[0].detail.contains("surprise"), "{faults:?}");
}

#[tokio::test]
async fn bad_requests_are_refused_and_never_run() {
    let mut shape = small_site();
    shape.settings = vec![("body-max", "1000".to_owned()), ("body-timeout", "200".to_owned())];
    let site = LocalSite::open(shape).await.expect("a site");
    let entry = site.entries[0].callers;
    let cases: [(&[(&str, &str)], u16); 8] = [
        (&[("x-class", "soon")], 102),
        (&[("x-time-limit-ms", "-4")], 102),
        (&[("x-time-limit-ms", "1"), ("x-time-limit-ms", "2")], 102),
        (&[("x-team", "No Team")], 102),
        (&[("idempotency-key", "1")], 114),
        (&[("idempotency-key", "0190a1b2-0000-4000-8000-000000000000")], 114),
        (&[("idempotency-key", "nowhere:0190a1b2-0000-7000-8000-000000000000")], 114),
        (&[("idempotency-key", "0190a1b2-0000-7000-8000-000000000000")], 114),
    ];
    for (headers, code) in cases {
        let answer = post(entry, "/jobs/x", headers).await;
        assert_eq!(answer.code, Some(code), "{headers:?}: {answer:?}");
    }
    let answer = call(entry, Method::POST, "/jobs/x", &[], &[0; 1_001]).await;
    assert_eq!((answer.status, answer.code), (413, Some(103)));
    assert_eq!(get(entry, "/Work/x").await.code, Some(101));
    assert_eq!(
        raw(entry, b"POST /jobs/x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf").await,
        408
    );
    let head = format!("GET /jobs/x HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "y".repeat(40_000));
    assert_eq!(raw(entry, head.as_bytes()).await, 431);
    assert_eq!(raw(entry, b"NONSENSE\r\n\r\n").await, 400);
    let ran: u64 = site.workers.values().map(|worker| worker.ledger().done).sum();
    assert_eq!(ran, 0, "a refused request was run");
    assert_eq!(get(entry, "/jobs/x").await.status, 200);
}

#[tokio::test]
async fn a_service_without_a_worker_is_refused_for_good() {
    let site = LocalSite::open(small_site()).await.expect("a site");
    let mut document = site.document.clone();
    let mut pool = document.pools[0].clone();
    let mut service = document.services[0].clone();
    (pool.name, service.name, service.pool) = ("none".into(), "idle".into(), "none".into());
    pool.workers.clear();
    document.pools.push(pool);
    document.services.push(service);
    site.publish(&document, Some(site.revision)).await.expect("it is accepted");
    let entry = site.entries[0].callers;
    support::wait("the document", async || get(entry, "/idle/x").await.code != Some(101)).await;
    let answer = get(entry, "/idle/x").await;
    assert_eq!(answer.code, Some(120), "{answer:?}");
    assert!(!answer.headers.contains_key("retry-after"), "there is no use in coming back");
}

/// Sends bytes as they are; the status that comes back.
async fn raw(entry: std::net::SocketAddr, bytes: &[u8]) -> u16 {
    let mut stream = tokio::net::TcpStream::connect(entry).await.expect("a connection");
    stream.write_all(bytes).await.expect("the entry reads");
    let mut answer = [0; 12];
    let read = stream.read_exact(&mut answer).await;
    assert!(
        read.is_ok(),
        "{read:?} for {:?}",
        String::from_utf8_lossy(&bytes[..bytes.len().min(40)])
    );
    String::from_utf8_lossy(&answer[9..12]).parse().expect("a status")
}

/// A worker whose answer is cut, or says more than it sends: the caller gets a code, never a part of
/// the body as if it were whole.
#[tokio::test]
async fn a_cut_answer_is_never_passed_on_as_whole() {
    let listener = tokio::net::TcpListener::bind(LOOPBACK).await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    let fake = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut seen = Vec::new();
                let mut buffer = [0; 4_096];
                while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                    seen.extend_from_slice(&buffer[..read]);
                    if !seen.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let text = String::from_utf8_lossy(&seen).into_owned();
                    seen.clear();
                    if text.starts_with("GET /worker ") {
                        let body = "{\"boot\":7,\"leaving\":false,\"running\":0}";
                        let length = body.len();
                        let whole =
                            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
                        let _ = stream.write_all(whole.as_bytes()).await;
                        continue;
                    }
                    let head = match text.contains("/cut") {
                        true => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
                        false => "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhere does it end",
                    };
                    let _ = stream.write_all(head.as_bytes()).await;
                    return;
                }
            });
        }
    });
    let mut shape = small_site();
    shape.settings = vec![("attempts", "1".to_owned()), ("probe", "100".to_owned())];
    let site = LocalSite::open(shape).await.expect("a site");
    let mut document: IntentDocument = site.document.clone();
    for vm in &mut document.vms {
        vm.address = address.to_string();
    }
    document.vms.truncate(1);
    document.pools[0].workers.values_mut().for_each(|workers| *workers = 1);
    document.products[0].capacity = 0;
    site.publish(&document, Some(site.revision)).await.expect("it is accepted");
    let entry = site.entries[0].callers;
    support::wait("the fake worker to serve", async || {
        get(entry, "/jobs/cut").await.code == Some(301)
    })
    .await;
    assert_eq!(get(entry, "/jobs/cut").await.code, Some(301));
    assert_eq!(get(entry, "/jobs/endless").await.code, Some(301));
    fake.abort();
}

/// A platform that answers nonsense: offsets that jump, streams that nobody asked for, cut JSON.
#[tokio::test]
async fn nonsense_from_the_platform_is_told_apart_and_folded_nowhere() {
    let answers = [
        r#"{"intent":{"first":0,"next":9,"records":[{"offset":3,"body":{}}]}}"#,
        r#"{"other":{"first":0,"next":0,"records":[]}}"#,
        r#"{"intent":{"first":0,"#,
        "",
    ];
    let listener = tokio::net::TcpListener::bind(LOOPBACK).await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    let fake = tokio::spawn(async move {
        for body in answers {
            let (mut stream, _) = listener.accept().await.expect("a client");
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    let log = HttpPlatform::new(address, support::WAIT_TIMEOUT);
    let from = [("intent".to_owned(), 0)].into();
    for body in answers {
        let read = log.read(&from, std::time::Duration::ZERO).await;
        let report = read.expect_err(body);
        assert_eq!(*report.current_context(), ResultCode::PlatformNonsense, "{body}");
    }
    fake.abort();
}

#[test]
fn arbitrary_bytes_never_break_a_decoder() {
    fn decodes(bytes: Vec<u8>) -> bool {
        let _ = decode::<PeerCall>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        let _ = serde_json::from_slice::<ReadAnswer>(&bytes);
        let _ = serde_json::from_slice::<FleetView>(&bytes);
        let _ = parse(&bytes);
        let _ = RequestKey::parse(&String::from_utf8_lossy(&bytes));
        true
    }
    seeded(0xBAD, |seed| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(300, seed))
            .tests(20_000)
            .quickcheck(decodes as fn(Vec<u8>) -> bool);
    });
}
