//! An entry hands its callers' records to the leader over a real connection.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ibisweir::decide::intake::ProcessLimits;
use ibisweir::jobs::model::StepSpec;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::{self, RelayClient, RelayOutcome};
use ibisweir::jobs::site::SiteSettings;
use ibisweir::scheduler::Scheduler;
use ibisweir::scheduler::line::{RejectionReason, RelayRejection};
use ibisweir::transport::HttpTransport;
use support::fakes::{RecordingWorkers, idle_node, lead, node_with, peer_service};
use support::sim::{job, job_id, site_settings, step, submission};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// A leader whose commits the test makes, and an entry that hands it a batch.
async fn hand_over() -> (Arc<JobNode>, JoinHandle<RelayOutcome>) {
    hand_over_to(idle_node(), 0).await
}

/// The same with this leader, and an image of this many bytes.
async fn hand_over_to(
    leader: Arc<JobNode>,
    bytes: usize,
) -> (Arc<JobNode>, JoinHandle<RelayOutcome>) {
    lead(&leader);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(
        listener,
        peer_service(leader.clone(), RecordingWorkers::default()),
    ));
    let entry = idle_node();
    entry.set_leader(Some(address));
    let step = StepSpec { image: "i".repeat(bytes), ..step(1) };
    let record = JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step]))));
    let handed = tokio::spawn(async move {
        RelayClient::new(HttpTransport::open()).store(&entry, vec![record]).await
    });
    (leader, handed)
}

/// Batches that the leader's next commit carries, once there is one.
async fn next_commit(leader: &JobNode) -> Vec<u64> {
    loop {
        let batch = leader.with_scheduler(Scheduler::take_commit).flatten();
        match batch {
            Some(batch) => return batch.relayed,
            None => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// The leader has told that it has a batch, and stops leading before the log has it. The entry must not
/// take the answer that ends early for the word that the batch is stored: its callers would be told
/// that jobs are accepted which nobody knows.
#[tokio::test]
async fn a_batch_whose_leader_stops_leading_is_not_taken_for_stored() {
    let (leader, handed) = hand_over().await;
    drop(next_commit(&leader).await);
    leader.set_scheduler(None);
    assert_eq!(handed.await.expect("no panic"), RelayOutcome::Unknown);
}

/// Guards against large batches of many entries that arrive at a leader at a time without a bound, and
/// against an entry that sends one past a leader that has no room for it.
#[tokio::test]
async fn a_large_batch_is_refused_while_others_arrive() {
    let leader = idle_node();
    let room = leader.settings.limits.waiting_jobs();
    let arriving = leader.admit_batch(2 * room).expect("the only one is admitted");
    let (leader_again, handed) = hand_over_to(leader.clone(), 200_000).await;
    assert_eq!(handed.await.expect("no panic"), RelayOutcome::Full);
    drop(arriving);
    let (_, handed) = hand_over_to(leader_again, 200_000).await;
    drop(next_commit(&leader).await);
    assert_eq!(handed.await.expect("no panic"), RelayOutcome::Unknown, "the test stores nothing");
}

/// Guards against a caller that is told that its job would be late when there is no memory for it.
#[tokio::test]
async fn a_rejection_for_memory_says_so_over_the_wire() {
    let limits = ProcessLimits { memory: 1 << 20, descriptors: 4_096 };
    let leader = node_with(SiteSettings { limits, ..site_settings() });
    let (leader, handed) = hand_over_to(leader, 200_000).await;
    leader.complete_relays(&next_commit(&leader).await);
    let reason = RejectionReason::Memory;
    let rejections = vec![RelayRejection { position: 0, retry_s: 5, reason }];
    assert_eq!(handed.await.expect("no panic"), RelayOutcome::StoredExcept(rejections));
}
