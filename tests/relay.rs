//! An entry hands its callers' records to the leader over a real connection.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::{self, RelayClient, RelayOutcome};
use ibisweir::scheduler::Scheduler;
use ibisweir::transport::HttpTransport;
use support::fakes::{RecordingWorkers, idle_node, lead, peer_service};
use support::sim::{job, job_id, step, submission};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// A leader whose commits the test makes, and an entry that hands it a batch.
async fn hand_over() -> (Arc<JobNode>, JoinHandle<RelayOutcome>) {
    let leader = idle_node();
    lead(&leader);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(
        listener,
        peer_service(leader.clone(), RecordingWorkers::default()),
    ));
    let entry = idle_node();
    entry.set_leader(Some(address));
    let record = JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step(1)]))));
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
