//! Order in which requests get a slot of a worker.

use std::sync::Arc;
use std::time::Duration;

use ibisweir::clock::ProcessClock;
use ibisweir::connection::{ConnectionLimits, ConnectionPool};
use ibisweir::decide::slot::BorrowedSlots;
use ibisweir::decide::table::TargetRoute;
use ibisweir::gate::{GateRequest, PoolGate, PoolTarget, WorkClass};
use ibisweir::metrics::EntryMetrics;
use ibisweir::name::VmName;
use tokio::time::Instant;

/// A gate with one worker of one slot.
fn gate() -> Arc<PoolGate<BorrowedSlots>> {
    let metrics = Arc::new(EntryMetrics::default());
    let second = Duration::from_secs(1);
    let limits = ConnectionLimits {
        connect: second,
        proof_age: second,
        probe: second,
        linger: second,
        answer_max: 1,
    };
    let address = ([127, 0, 0, 1], 1).into();
    let connections = Arc::new(ConnectionPool::new(address, 8, limits, metrics.clone()));
    let route = TargetRoute {
        vm: VmName::from("vm"),
        address: address.to_string(),
        slots: 1,
        connections: 64,
        epoch: 1,
        boot: 1,
    };
    let gate = PoolGate::new(BorrowedSlots, ProcessClock::start(), metrics, second);
    gate.set_targets(vec![Arc::new(PoolTarget::new(route, connections))]);
    Arc::new(gate)
}

fn request(class: WorkClass, is_back: bool) -> GateRequest {
    let deadline = Instant::now() + Duration::from_secs(60);
    GateRequest { class, idempotent: true, is_back, avoid: Vec::new(), deadline }
}

/// The worker's only slot is taken and requests wait. A request that a busy worker has rejected
/// goes before those that came later: at the end of the queue, it would be refused late.
#[tokio::test(start_paused = true)]
async fn urgent_requests_go_first_and_a_rejected_one_keeps_its_turn() {
    let gate = gate();
    let taken = gate.enter(request(WorkClass::Quick, false), 8).await.expect("a free slot");
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    let kinds = [
        ("batch", WorkClass::Batch, false),
        ("first", WorkClass::Quick, false),
        ("second", WorkClass::Quick, false),
        ("back", WorkClass::Quick, true),
        ("urgent", WorkClass::Urgent, false),
    ];
    for (name, class, is_back) in kinds {
        let (gate, sender) = (gate.clone(), sender.clone());
        tokio::spawn(async move {
            let permit = gate.enter(request(class, is_back), 8).await.expect("a place in time");
            sender.send(name).expect("the test waits");
            drop(permit);
        });
        tokio::task::yield_now().await;
    }
    drop(taken);
    let mut got = Vec::new();
    for _ in kinds {
        got.push(order.recv().await.expect("every one gets its place"));
    }
    assert_eq!(got, ["urgent", "back", "first", "second", "batch"]);
}

/// A full queue refuses new requests at once, but not one that had its place before.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_only_new_requests() {
    let gate = gate();
    let _taken = gate.enter(request(WorkClass::Quick, false), 0).await.expect("a free slot");
    let refused = gate.enter(request(WorkClass::Quick, false), 0).await;
    assert_eq!(refused.expect_err("it is full").number(), 106);
    let waits = gate.enter(request(WorkClass::Quick, true), 0);
    assert!(tokio::time::timeout(Duration::from_secs(1), waits).await.is_err(), "it waits");
    assert_eq!(gate.waiting(), 0, "one that gave up is out of the queue");
}
