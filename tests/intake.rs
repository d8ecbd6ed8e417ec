//! Which connections and bodies give way, over drawn orders of events and sizes of machines.

mod support;

use std::collections::BTreeMap;

use ibisweir::decide::intake::{
    IntakeFull, IntakeTable, KeptBytes, ORDINARY_BYTES, PROGRESS_BYTES, PlaceId, ProcessLimits,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::seeded;

/// Memory of the largest body, in bytes.
const BODY: usize = 262_144;
const MB: usize = 1 << 20;

/// A table with this many bytes, and bodies that fill it in the order in which they came.
fn full_table(bytes_max: usize) -> (IntakeTable, Vec<PlaceId>) {
    let mut table = IntakeTable::new(10, bytes_max);
    let mut bodies = Vec::new();
    for now in 0.. {
        let id = table.open_body(now);
        let displaced = table.resize(id, BODY).expect("others give way");
        bodies.push(id);
        if !displaced.is_empty() {
            return (table, bodies);
        }
    }
    unreachable!("the table fills up")
}

/// Guards against a newcomer that is refused for bodies that make no progress.
#[test]
fn the_body_without_progress_for_longest_gives_way() {
    let (mut table, bodies) = full_table(4 * MB);
    table.receive(bodies[1], PROGRESS_BYTES, 1_000);
    let newcomer = table.open_body(1_001);
    assert_eq!(table.resize(newcomer, BODY), Ok(vec![bodies[2]]));
}

/// Guards against trickles that keep a place as long as progress would.
#[test]
fn a_few_bytes_are_no_progress() {
    let (mut table, bodies) = full_table(4 * MB);
    (0..100).for_each(|now| table.receive(bodies[1], 10, 1_000 + now));
    let newcomer = table.open_body(2_000);
    assert_eq!(table.resize(newcomer, BODY), Ok(vec![bodies[1]]));
}

/// Guards against a body that waits for room while it holds what others wait for.
#[test]
fn a_stalled_body_that_asks_for_more_gives_way_itself() {
    let (mut table, bodies) = full_table(4 * MB);
    let held = table.bytes();
    assert_eq!(table.resize(bodies[1], 2 * BODY), Err(IntakeFull));
    assert_eq!(table.bytes(), held, "it keeps what it had until its owner lets go");
}

/// Guards against large jobs on their way to the log that leave no room for ordinary ones.
#[test]
fn ordinary_bodies_have_room_beside_settled_large_ones() {
    let mut table = IntakeTable::new(10, 4 * MB);
    let mut settled = 0;
    loop {
        let id = table.open_body(0);
        let is_settled = table.resize(id, BODY).is_ok() && table.settle(id).is_ok();
        if !is_settled {
            table.remove(id);
            break;
        }
        settled += 1;
    }
    assert_eq!(settled, 4 * MB / 2 / BODY);
    for _ in 0..64 {
        let id = table.open_body(1);
        assert_eq!(table.resize(id, ORDINARY_BYTES), Ok(Vec::new()));
        assert_eq!(table.settle(id), Ok(()));
    }
}

/// Guards against connections that are closed while their request is served, and idle ones that stay
/// in the way of new ones.
#[test]
fn the_quietest_connection_gives_way_and_one_that_is_served_does_not() {
    let mut table = IntakeTable::new(2, 4 * MB);
    let (served, _) = table.open_connection(0).expect("a place");
    let (idle, _) = table.open_connection(1).expect("a place");
    assert_eq!(table.settle(served), Ok(()));
    let (newcomer, displaced) = table.open_connection(2).expect("a place");
    assert_eq!(displaced, Some(idle));
    assert_eq!(table.settle(newcomer), Ok(()));
    assert_eq!(table.open_connection(3), Err(IntakeFull));
    table.unsettle(served, 4);
    assert_eq!(table.open_connection(5).expect("a place").1, Some(served));
}

/// Guards against counts that drift from the places, and bounds that an order of events passes.
#[test]
fn bounds_hold_over_drawn_orders_on_drawn_machines() {
    seeded(81, |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..40 {
            let memory = random.random_range(32..=2_048) * MB;
            let limits = ProcessLimits { memory, descriptors: random.random_range(256..=20_000) };
            let bytes_max = limits.bytes(random.random_range(0..=memory), 0, BODY);
            let mut table = IntakeTable::new(limits.connections(), bytes_max);
            let mut held: BTreeMap<PlaceId, usize> = BTreeMap::new();
            for now in 0..2_000 {
                let place = |random: &mut StdRng| {
                    held.keys().nth(random.random_range(0..held.len().max(1))).copied()
                };
                match (random.random_range(0..10), place(&mut random)) {
                    (0..3, _) | (_, None) => drop(held.insert(table.open_body(now), 0)),
                    (3, Some(id)) => {
                        table.remove(id);
                        held.remove(&id);
                    }
                    (4, Some(id)) => drop(table.settle(id)),
                    (5, Some(id)) => table.receive(id, PROGRESS_BYTES, now),
                    (_, Some(id)) => {
                        let bytes = random.random_range(0..=4 * BODY);
                        if let Ok(displaced) = table.resize(id, bytes) {
                            held.insert(id, bytes);
                            held.retain(|id, _| !displaced.contains(id));
                        }
                    }
                }
                assert_eq!(table.bytes(), held.values().sum::<usize>());
                assert!(table.bytes() <= bytes_max, "{} of {bytes_max}", table.bytes());
            }
        }
    });
}

/// Guards against an account that a process with little memory of its own left does not fit.
#[test]
fn the_account_follows_from_what_the_process_needs() {
    let limits = ProcessLimits { memory: 260 * MB, descriptors: 4_100 };
    assert_eq!(limits.connections(), 520);
    assert_eq!(limits.bytes(30 * MB, 0, BODY), 260 * MB / 6);
    assert_eq!(limits.bytes(230 * MB, 0, BODY), 4 * MB, "a body of the largest size always fits");
    let held = limits.bytes(220 * MB, 40 * MB, BODY);
    assert_eq!(held, 260 * MB / 6, "what callers hold is not its own");
    assert_eq!(limits.bytes(30 * MB, 0, 8 * MB), 64 * MB, "so does one of a larger limit");
    assert_eq!(limits.bytes(30 * MB, 0, 64 * MB), 65 * MB, "within the memory");
}

/// Guards against an entry with much memory that accepts more than the replicas of its jobs can hold.
#[test]
fn accepted_jobs_are_bounded_whatever_the_memory() {
    let kept = |memory| ProcessLimits { memory: memory * MB, descriptors: 4_100 }.kept_jobs();
    assert_eq!(kept(160), KeptBytes { all: 40 * MB, large: 20 * MB });
    assert_eq!(kept(1_024), KeptBytes { all: 64 * MB, large: 32 * MB });
}
