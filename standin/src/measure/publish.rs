//! Experiments on intent: how fast a document is in force everywhere, and races of operators.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ibisweir::decide::intent::PublishOutcome;
use ibisweir::document::IntentDocument;
use ibisweir::error::CodeResult;
use ibisweir::name::TeamName;
use ibisweir::platform::HttpPlatform;
use ibisweir::publisher::IntentPublisher;
use tokio::time::Instant;

use super::{ExperimentResult, ExperimentTable, failed, time_ms};
use crate::fleet::FleetShape;
use crate::platform::PlatformHandle;
use crate::site::{LOOPBACK, LocalSite, PATIENCE, SiteShape};

/// Publishes whose time is taken.
const PUBLISHES: u32 = 60;
/// Publishes with the platform out of one data centre's reach.
const CUT_PUBLISHES: u32 = 12;
/// Racing publishes.
const RACES: u32 = 200;

/// A document that differs from `document` by one team's quota.
fn changed(document: &IntentDocument, number: u32) -> IntentDocument {
    let mut changed = document.clone();
    if let Some(team) = changed.teams.first_mut() {
        team.in_flight = 1_000 + number;
    }
    changed
}

/// From the start of a publish until nine processes have it in force; then with one data centre cut
/// off from the platform, but not from its peers.
pub async fn rollout() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "Publish until in force in nine entries of three data centres",
        &["way", "publishes", "p50 ms", "p99 ms", "max ms"],
    );
    let shape = SiteShape { entries: 3, ..SiteShape::new(FleetShape::regie()) };
    let site = LocalSite::open(shape).await?;
    let near =
        times(&mut table, &site, "platform reached by all", PUBLISHES, site.revision).await?;
    let cut = site.centres().pop();
    for entry in site.entries.iter().filter(|entry| Some(entry.centre()) == cut) {
        entry.platform().cut(true);
    }
    let far = times(&mut table, &site, "one data centre cut off", CUT_PUBLISHES, near.1).await?;
    table.verdict(format!("p99 {} ms, 1000 at most", time_ms(near.0)), near.0.as_millis() <= 1_000);
    table.verdict(
        format!("cut off: max {} ms, 3000 at most", time_ms(far.0)),
        far.0.as_millis() <= 3_000,
    );
    for entry in &site.entries {
        entry.platform().cut(false);
    }
    site.stop().await;
    Ok(table)
}

async fn times<P: ibisweir::decide::slot::SlotPolicy>(
    table: &mut ExperimentTable,
    site: &LocalSite<P>,
    name: &str,
    publishes: u32,
    mut revision: u64,
) -> CodeResult<(Duration, u64)> {
    let mut histogram = Histogram::<u64>::new_with_max(60_000_000, 3).map_err(failed)?;
    for number in 0..publishes {
        let document = changed(&site.document, number + 1);
        let started = Instant::now();
        let published = site.publish(&document, Some(revision)).await?;
        let in_force = || {
            let mut entries = site.entries.iter();
            entries.all(|entry| entry.keeper().table().revision == Some(published))
        };
        site.wait("the document in force", in_force).await?;
        let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(took);
        revision = published;
    }
    let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
    let max = Duration::from_micros(histogram.max());
    table.row([
        name.to_owned(),
        publishes.to_string(),
        time_ms(at(0.5)),
        time_ms(at(0.99)),
        time_ms(max),
    ]);
    Ok((at(0.99), revision))
}

/// Two operators race; a third of the appends lose their answers after they took effect.
pub async fn races() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "Racing publishes of two operators, one in three appends loses its answer",
        &["publishes", "accepted", "lost", "answers lost", "bases with two winners", "reverts"],
    );
    let platform = PlatformHandle::bind(LOOPBACK).await.map_err(failed)?;
    let log = HttpPlatform::new(platform.address, Duration::from_secs(2));
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut port = 1;
    let vms = FleetShape::regie().vms();
    let mut ports = BTreeMap::new();
    for (vm, _, _) in vms {
        port += 1;
        ports.insert(vm, port);
    }
    let document = FleetShape::regie().document(|vm| {
        let mut address = any;
        address.set_port(ports.get(vm).copied().unwrap_or(1));
        address
    });
    let mut first = IntentPublisher::open(log, PATIENCE).await?;
    first.publish(&document, None, "first", PATIENCE).await?;
    platform.set_faults(|faults| faults.lose_one_in = 3);
    let mut tasks = Vec::new();
    for operator in ["anne", "bruno"] {
        let document = document.clone();
        tasks.push(tokio::spawn(race(log, document, operator)));
    }
    let mut winners: BTreeMap<u64, u32> = BTreeMap::new();
    let (mut accepted, mut lost) = (0u32, 0u32);
    for task in tasks {
        for (base, verdict) in task.await.map_err(failed)?? {
            match verdict {
                PublishOutcome::Accepted { .. } => {
                    accepted += 1;
                    *winners.entry(base).or_default() += 1;
                }
                PublishOutcome::Lost { .. } | PublishOutcome::Faulty => lost += 1,
            }
        }
    }
    platform.set_faults(|faults| faults.lose_one_in = 0);
    let last = IntentPublisher::open(log, PATIENCE).await?;
    let revisions: Vec<u64> = last
        .state()
        .outcomes
        .iter()
        .filter_map(|line| match line.outcome {
            PublishOutcome::Accepted { revision } => Some(revision),
            PublishOutcome::Lost { .. } | PublishOutcome::Faulty => None,
        })
        .collect();
    let reverts = revisions.windows(2).filter(|pair| pair[0] >= pair[1]).count();
    let twice = winners.values().filter(|winners| **winners > 1).count();
    table.row([
        (accepted + lost).to_string(),
        accepted.to_string(),
        lost.to_string(),
        platform.lost_answers().to_string(),
        twice.to_string(),
        reverts.to_string(),
    ]);
    // The first publish is the one beyond those counted here.
    let counted_once = revisions.len() == accepted as usize + 1;
    table.verdict("every base has one winner".to_owned(), twice == 0 && accepted > 0);
    table.verdict("no revision reverts".to_owned(), reverts == 0);
    table.verdict("no publish is counted twice".to_owned(), counted_once);
    Ok(table)
}

async fn race(
    log: HttpPlatform,
    document: IntentDocument,
    operator: &'static str,
) -> CodeResult<Vec<(u64, PublishOutcome)>> {
    let mut verdicts = Vec::new();
    let mut publisher = IntentPublisher::open(log, PATIENCE).await?;
    for number in 0..RACES / 2 {
        let Some(base) = publisher.state().revision() else { break };
        let mut edited = changed(&document, number);
        if let Some(team) = edited.teams.last_mut() {
            team.name = TeamName::from(operator);
        }
        let verdict = publisher.publish(&edited, Some(base), operator, PATIENCE).await?;
        verdicts.push((base, verdict));
    }
    Ok(verdicts)
}
