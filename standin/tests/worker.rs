//! The stand-in worker keeps the bounds that the experiments rest on.

use std::time::Duration;

use http::Method;
use ibisweir::name::VmName;
use ibisweir::platform::exchange;
use ibisweir_standin::site::LOOPBACK;
use ibisweir_standin::worker::{WorkerHandle, WorkerShape};

#[tokio::test]
async fn a_worker_without_a_free_slot_refuses_and_runs_nothing() {
    let shape = WorkerShape { slots: 0, connections: 4, reboot: Duration::from_millis(1) };
    let worker = WorkerHandle::bind(VmName::from("w"), LOOPBACK, shape).await.expect("a worker");
    let answer = exchange(worker.address, Method::GET, "/x", Vec::new()).await.expect("an answer");
    assert_eq!(answer.0.as_u16(), 503);
    assert_eq!((worker.ledger().busy, worker.ledger().done), (1, 0));
}
