//! Tests of router processes that are frozen and resumed, or shut down.

mod process_support;

use std::time::Duration;

use beechsaddle_lab::fleet::FleetCaller;
use process_support::*;

// The holder of the budget is frozen until after it has been fenced, and resumes in the state of a
// holder. Meanwhile the other routers serve through a successor. After the holder resumes, calls
// through it are answered too, and no token is spent twice.
#[tokio::test]
async fn holder_frozen_and_thawed() {
    let mut fleet = start_fleet().await;
    let holder = find_holder(&fleet).await;
    let hosts = others(&fleet, &holder);
    fleet.process(&holder).unwrap().freeze().unwrap();
    for (number, host) in hosts.iter().enumerate() {
        let key = format!("frozen-{number}");
        let answer = retry_until_answered(&fleet, host, 20, &key).await;
        assert!(answer.chat_content().is_some());
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.process(&holder).unwrap().thaw().unwrap();
    let answer = retry_until_answered(&fleet, &holder, 20, "thawed").await;
    assert!(answer.chat_content().is_some());
    check_bills(&fleet, 4).await;
}

// An entry router is frozen during a stream, and resumes after its peers have marked it down. Its
// caller does not time out: the stream is either complete or visibly truncated, and billed once.
#[tokio::test]
async fn entry_frozen_mid_stream() {
    let mut fleet = start_fleet().await;
    let holder = find_holder(&fleet).await;
    let hosts = others(&fleet, &holder);
    let mut stream = open_stream(&fleet, &hosts[0], 100, "claim-1").await;
    stream.read_some().await;
    fleet.process(&hosts[0]).unwrap().freeze().unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.process(&hosts[0]).unwrap().thaw().unwrap();
    let is_whole = stream.read_all().await;
    assert_eq!(
        is_whole,
        stream.has_ended(),
        "a stream with an end is not complete"
    );
    check_bills(&fleet, 2).await;
}

// A router is terminated while it relays a long stream. The stream continues to its end, new calls
// are not accepted, and the process exits by itself after handing over its bills.
#[tokio::test]
async fn drain_with_long_stream() {
    let mut fleet = start_fleet().await;
    let holder = find_holder(&fleet).await;
    for (number, host) in [others(&fleet, &holder)[0].clone(), holder.clone()]
        .iter()
        .enumerate()
    {
        let key = format!("drain-{number}");
        let mut stream = open_stream(&fleet, host, 250, &key).await;
        stream.read_some().await;
        fleet.process(host).unwrap().terminate().unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        let address = fleet.call_address(host).unwrap();
        let late = FleetCaller::new().send(&address, chat(1, "late")).await;
        let taken = late.is_ok_and(|answer| answer.status.is_success());
        assert!(!taken, "a draining router accepted a call");
        assert!(stream.read_all().await, "the drain truncated a stream");
        let status = fleet.process(host).unwrap().wait(WAIT_TIMEOUT).unwrap();
        assert_eq!(status.map(|status| status.code()), Some(Some(0)));
    }
    let totals = check_bills(&fleet, 3).await;
    assert_eq!(totals.written_off, 0, "{totals:?}");
}
