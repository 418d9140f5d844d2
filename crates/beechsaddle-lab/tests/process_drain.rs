//! A test of a graceful shutdown under a stream that lasts longer than any usual grace period.

mod process_support;

use std::time::{Duration, Instant};

use process_support::*;

/// How many tokens the stream has; at 5 ms a token it lasts 45 s.
const STREAM_TOKENS: u64 = 9_000;

/// A usual grace period, after which HTTP servers cut what is open.
const USUAL_GRACE: Duration = Duration::from_secs(35);

// An operator shuts a router down right after a caller's long answer began. The caller reads on for
// some 45 seconds, past the 30 seconds after which HTTP servers cut their connections, and gets the
// end of its answer. Only then does the router exit, with status 0, and its bill is in the ledger.
#[tokio::test]
async fn drain_waits_for_stream_of_45_seconds() {
    let mut fleet = start_fleet().await;
    let holder = find_holder(&fleet).await;
    let host = others(&fleet, &holder)[0].clone();
    let mut stream = open_stream(&fleet, &host, STREAM_TOKENS, "drain-long").await;
    stream.read_some().await;
    let asked = Instant::now();
    fleet.process(&host).unwrap().terminate().unwrap();
    assert!(stream.read_all().await, "the drain cut the stream");
    assert!(asked.elapsed() > USUAL_GRACE, "{:?}", asked.elapsed());
    let status = fleet.process(&host).unwrap().wait(PATIENCE).unwrap();
    assert_eq!(status.map(|status| status.code()), Some(Some(0)));
    let totals = check_bills(&fleet, 2).await;
    assert_eq!(totals.written_off, 0, "{totals:?}");
}
