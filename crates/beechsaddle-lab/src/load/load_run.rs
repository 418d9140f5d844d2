//! The `load_run` module provides the execution of a plan.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use super::{ArrivalPlan, CallOutcome, CallResult, CallSender, LoadTally};

/// The time between two progress lines on standard error.
const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// Capacity of the queue of results to count; counting is far faster than the calls themselves.
const RESULT_QUEUE: usize = 65_536;

/// The outcome of a run.
#[derive(Debug)]
pub struct LoadOutcome {
    /// Number of calls sent.
    pub sent: u64,
    /// Time from the first sending to the last outcome.
    pub elapsed: Duration,
    /// The outcomes of all calls.
    pub tally: LoadTally,
}

/// Sends all calls of a plan at their planned times and waits until each has ended.
///
/// # Errors
///
/// Returns an error if a histogram cannot be created.
pub async fn run_plan(plan: ArrivalPlan, sender: CallSender) -> eyre::Result<LoadOutcome> {
    let start = Instant::now();
    let (results, counted) = mpsc::channel(RESULT_QUEUE);
    let sender = Arc::new(sender);
    let progress = plan.shows_progress();
    let sending = tokio::spawn(send_all(plan, sender, start, results));
    let tally = tally_results(counted, start, progress).await?;
    let sent = sending.await?;
    Ok(LoadOutcome {
        sent,
        elapsed: start.elapsed(),
        tally,
    })
}

async fn send_all(
    plan: ArrivalPlan,
    sender: Arc<CallSender>,
    start: Instant,
    results: mpsc::Sender<CallResult>,
) -> u64 {
    let mut sent = 0;
    for call in plan {
        sleep_until((start + call.offset).into()).await;
        let sender = Arc::clone(&sender);
        let results = results.clone();
        tokio::spawn(async move {
            let result = sender.send(call, start).await;
            results.send(result).await.ok();
        });
        sent += 1;
    }
    sent
}

async fn tally_results(
    mut results: mpsc::Receiver<CallResult>,
    start: Instant,
    progress: bool,
) -> eyre::Result<LoadTally> {
    let mut tally = LoadTally::try_new()?;
    let mut ticks = interval(PROGRESS_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            result = results.recv() => match result {
                Some(result) => {
                    report_fault(&result);
                    tally.add(result);
                }
                None => return Ok(tally),
            },
            _ = ticks.tick(), if progress => print_progress(&tally, start),
        }
    }
}

// Outcomes that must never happen are printed with the history of the call. They are few unless
// the run has failed.
fn report_fault(result: &CallResult) {
    match &result.outcome {
        CallOutcome::Answered(_) | CallOutcome::Refused(_) => {}
        CallOutcome::Crossed | CallOutcome::Short | CallOutcome::Broken => eprintln!(
            "fault={:?} call={} kind={:?} trail={:?}",
            result.outcome, result.call.key, result.call.kind, result.trail
        ),
    }
}

fn print_progress(tally: &LoadTally, start: Instant) {
    eprintln!(
        "second={:.0} ended={} answered={} refused={} lost={} crossed={} p99_whole_ms={:.1}",
        start.elapsed().as_secs_f64(),
        tally.ended,
        tally.answered,
        tally.refusals(),
        tally.lost,
        tally.crossed,
        tally.whole.value_at_quantile(0.99) as f64 / 1_000.0,
    );
}
