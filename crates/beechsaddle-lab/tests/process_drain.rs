//! Test of a graceful shutdown during a stream that outlasts the usual grace periods.

mod process_support;

use std::time::{Duration, Instant};

use process_support::*;

/// Number of tokens of the stream; at 5 ms per token it lasts 45 s.
const STREAM_TOKENS: u64 = 9_000;

/// Longer than the usual grace period of 30 s, after which HTTP servers close open connections.
const USUAL_GRACE: Duration = Duration::from_secs(35);

// Guards against shutdowns that truncate long streams. A router is terminated right after a stream
// of some 45 seconds began, which is longer than the 30 seconds after which HTTP servers close
// their connections. The caller receives the complete stream, and only then does the router exit
// with status 0 and its bill in the ledger.
#[tokio::test]
async fn drain_waits_for_stream_of_45_seconds() {
    let mut fleet = start_fleet().await;
    let holder = find_holder(&fleet).await;
    let host = others(&fleet, &holder)[0].clone();
    let mut stream = open_stream(&fleet, &host, STREAM_TOKENS, "drain-long").await;
    stream.read_some().await;
    let terminated_at = Instant::now();
    fleet.process(&host).unwrap().terminate().unwrap();
    assert!(stream.read_all().await, "the drain truncated the stream");
    assert!(
        terminated_at.elapsed() > USUAL_GRACE,
        "{:?}",
        terminated_at.elapsed()
    );
    let status = fleet.process(&host).unwrap().wait(WAIT_TIMEOUT).unwrap();
    assert_eq!(status.map(|status| status.code()), Some(Some(0)));
    let totals = check_bills(&fleet, 2).await;
    assert_eq!(totals.written_off, 0, "{totals:?}");
}
