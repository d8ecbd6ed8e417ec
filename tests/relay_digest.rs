//! The digest of the backlog in the leader's answers to relayed batches, over real connections.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisweir::control::ControlLoop;
use ibisweir::decide::admission::{DIGEST_VERSION, LineDigest, PoolLine};
use ibisweir::jobs::delegate::OfferLoop;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::{self, RelayClient, RelayOutcome};
use ibisweir::jobs::site::SiteSettings;
use ibisweir::transport::HttpTransport;
use support::fakes::{RecordingWorkers, lead, node_with, peer_service};
use support::sim::{POOL, config, job, job_id, site_settings, step, submission, vm, worker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

fn entry(admission: bool) -> Arc<JobNode> {
    node_with(SiteSettings { admission, ..site_settings() })
}

fn record(id: u64) -> JobRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(80)]))))
}

async fn hand_over(entry: &JobNode, leader: SocketAddr, id: u64) -> RelayOutcome {
    entry.set_leader(Some(leader));
    RelayClient::new(HttpTransport::open()).store(entry, vec![record(id)]).await
}

/// A leader with one worker and this setting, whose pools are planned and whose commits succeed.
async fn working_leader(admission: bool) -> (Arc<JobNode>, SocketAddr) {
    let leader = entry(admission);
    lead(&leader);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(
        listener,
        peer_service(leader.clone(), RecordingWorkers::default()),
    ));
    let node = leader.clone();
    tokio::spawn(async move {
        loop {
            let (now, wall_ms) = (node.now(), node.clock.wall_ms());
            let batch = node.with_scheduler(|scheduler| {
                scheduler.confirm(now);
                scheduler.update_vms(vec![vm(&worker("w0", "r0"), POOL)], now, now);
                scheduler.tick(now, wall_ms);
                drop(scheduler.take_actions());
                scheduler.take_commit()
            });
            if let Some(batch) = batch.flatten() {
                node.with_scheduler(|scheduler| scheduler.committed(&batch, now));
                node.complete_relays(&batch.relayed);
            }
            sleep(Duration::from_millis(5)).await;
        }
    });
    (leader, address)
}

/// A leader that answers each batch with this status and body.
async fn answering_leader(status: &'static str, body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let _ = stream.read(&mut [0; 65_536]).await;
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        }
    });
    address
}

fn encoded(term: u64, number: u64) -> Vec<u8> {
    let pool = PoolLine { pool: POOL.into(), begun: 7, ..PoolLine::default() };
    LineDigest { version: DIGEST_VERSION, term, number, starts: None, pools: vec![pool] }.encode().1
}

/// Guards against an answer without the digest, and against an entry that does not read it. The
/// answer comes once the log has the batch, as before.
#[tokio::test]
async fn the_answer_to_a_batch_carries_the_digest() {
    let (_leader, address) = working_leader(true).await;
    let entry = entry(true);
    // The first batches can be answered before pools are planned.
    for id in 1.. {
        assert_eq!(hand_over(&entry, address, id).await, RelayOutcome::Stored);
        if let Some((digest, _)) = entry.line() {
            assert_eq!(digest.term, 1);
            break;
        }
    }
}

/// Guards against an entry that knows no backlog once it rejects all submissions and relays nothing.
#[tokio::test]
async fn the_answer_to_an_offer_carries_the_digest() {
    let (_leader, address) = working_leader(true).await;
    let entry = entry(true);
    entry.set_config(config());
    entry.set_leader(Some(address));
    let transport = HttpTransport::open();
    let mut offers = OfferLoop { node: entry.clone(), transport, offered_ms: None };
    // The first offers can be answered before pools are planned.
    while entry.line().is_none() {
        offers.offered_ms = None;
        offers.step().await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a body that an entry of an earlier build does not expect from a leader whose
/// setting is off, and against an entry that uses a digest although its own setting is off.
#[tokio::test]
async fn the_setting_turns_both_sides_off() {
    let (_leader, address) = working_leader(false).await;
    let reading = entry(true);
    assert_eq!(hand_over(&reading, address, 1).await, RelayOutcome::Stored);
    assert!(reading.line().is_none());
    let ignoring = entry(false);
    let address = answering_leader("200 OK", encoded(1, 1)).await;
    assert_eq!(hand_over(&ignoring, address, 1).await, RelayOutcome::Stored);
    assert!(ignoring.line().is_none());
}

/// Guards against a batch that counts as not stored because a leader of an earlier build answers
/// without a body, or one of another version with a body that can't be read; and against the loss of
/// the digest that the entry has.
#[tokio::test]
async fn answers_without_a_readable_digest_are_taken_as_before() {
    let mut other_version = encoded(9, 9);
    other_version[0] = DIGEST_VERSION + 1;
    let cut = encoded(9, 9)[..5].to_vec();
    for body in [Vec::new(), other_version, cut, vec![DIGEST_VERSION; 9_000]] {
        let entry = entry(true);
        let address = answering_leader("200 OK", body).await;
        assert_eq!(hand_over(&entry, address, 1).await, RelayOutcome::Stored);
        assert!(entry.line().is_none());
        assert!(entry.receive_line(&encoded(0, 0)), "the least digest is newer than none");
    }
}

/// Guards against a digest of an earlier leader that arrives late and replaces the newer one, and
/// against one of an answer that says that the batch was not stored.
#[tokio::test]
async fn digests_of_earlier_leaders_and_of_refusals_are_ignored() {
    let entry = entry(true);
    let address = answering_leader("200 OK", encoded(5, 10)).await;
    assert_eq!(hand_over(&entry, address, 1).await, RelayOutcome::Stored);
    for (status, term, number) in
        [("200 OK", 4, 99), ("200 OK", 5, 9), ("421 Misdirected Request", 6, 1)]
    {
        let address = answering_leader(status, encoded(term, number)).await;
        hand_over(&entry, address, 2).await;
        let own = entry.line().map(|(digest, _)| (digest.term, digest.number));
        assert!(own.is_none_or(|own| own == (5, 10)), "{own:?}");
        assert!(!entry.receive_line(&encoded(5, 10)), "the entry has it");
    }
    assert!(entry.receive_line(&encoded(6, 1)), "the one of the refusal was not taken");
}

/// Guards against a leader that rejects by a digest that it received before it led, of a backlog
/// that is not its own.
#[tokio::test]
async fn an_entry_that_leads_uses_its_own_digest_only() {
    let entry = entry(true);
    entry.receive_line(&encoded(9, 9));
    lead(&entry);
    assert!(entry.line().is_none());
}

/// Guards against rejections by the digest of a leader that was lost: nothing renews it, and it
/// expires.
#[tokio::test]
async fn the_digest_of_a_lost_leader_expires() {
    let entry = entry(true);
    entry.receive_line(&encoded(1, 1));
    sleep(Duration::from_millis(1_000)).await;
    assert!(entry.line().is_none());
}
