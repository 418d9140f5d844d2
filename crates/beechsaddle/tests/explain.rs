//! Tests of the analysis of logs, with those of a running router and with lines in other formats.

mod gateway_support;

use beechsaddle::explain::{
    LogEntry, LogIndex, LossReport, StoreSums, TokenAccount, TokenLoss, explain_call,
};
use beechsaddle_platform_stand_in::TargetFault;
use gateway_support::{GatewayBench, draft, request};

/// A line with a collector's prefix, quoted values and a value with spaces is parsed.
#[test]
fn log_entry_read_back() {
    let line = "  12.5 host-1 ts=1770000000123 level=info router=host-1@7 event=call id=a why=\"it \\\"broke\\\" off\" total_ms=4\n";
    let entry = LogEntry::read(line).expect("an entry");
    assert_eq!(
        (entry.at_ms, entry.host(), entry.event.as_str()),
        (1_770_000_000_123, "host-1", "call")
    );
    assert_eq!(entry.field("why"), Some("it \"broke\" off"));
    assert_eq!(entry.field("total_ms"), Some("4"));
}

/// Logs contain foreign lines, truncated lines of processes that died, and binary data. Such lines
/// are counted, and the lines around them are still parsed.
#[test]
fn unreadable_lines_are_counted() {
    let mut index = LogIndex::default();
    for line in [
        "",
        "panicked at",
        "ts=soon router=a event=call",
        "ts=5 level=info router=a@1 event=call outcome=no_target",
        "ts=6 level=info rou",
    ] {
        index.add_line(line);
    }
    assert_eq!((index.entries().len(), index.unreadable()), (1, 3));
    assert!(explain_call(&index, "x").is_none());
}

/// The explanation of a call that was refused since all targets rest names the rests, however long
/// before they began, and none that had ended or that another router was asked for.
#[test]
fn explain_call_refused_for_rest_includes_rests() {
    let mut index = LogIndex::default();
    for line in [
        "ts=20000 level=info router=a@1 event=target_resting target=t1 rest_ms=80000",
        "ts=89000 level=info router=a@1 event=target_resting target=t2 rest_ms=3000",
        "ts=80000 level=info router=a@1 event=target_resting target=t2 rest_ms=3000",
        "ts=89500 level=info router=b@1 event=target_resting target=t2 rest_ms=3000",
        "ts=89500 level=info router=a@1 event=target_resting target=t3 rest_ms=3000",
        "ts=90000 level=info router=a@1 event=call_admitted id=one",
        "ts=90001 level=info router=a@1 event=call id=one resting=t1,t2 outcome=targets_resting",
    ] {
        index.add_line(line);
    }
    index.sort();
    let output = explain_call(&index, "one").expect("an explanation");
    let rests: Vec<_> = output
        .iter()
        .filter(|line| line.contains("target_resting"))
        .collect();
    assert_eq!(rests.len(), 2, "{output:?}");
    assert!(rests[0].contains("target=t1") && rests[1].contains("target=t2"));
}

/// The explanation of a call that was refused for crashes names those crashes.
#[test]
fn explain_call_refused_for_crashes_includes_them() {
    let mut index = LogIndex::default();
    for line in [
        "ts=90000 level=info router=a@1 event=call_admitted id=one fingerprint=f1",
        "ts=90000 level=info router=a@1 event=call_blocked id=one fingerprint=f1 targets=\"t1,t2,t3\"",
        "ts=20000 level=warning router=b@1 event=target_crashed target=t1 fingerprint=f1 run_ms=30",
        "ts=20001 level=warning router=b@1 event=target_crashed target=t1 fingerprint=f2 run_ms=800",
        "ts=20002 level=warning router=a@1 event=request_blocked fingerprint=f1 targets=\"t1,t2,t3\"",
        "ts=95000 level=warning router=a@1 event=request_cleared fingerprint=f1",
    ] {
        index.add_line(line);
    }
    index.sort();
    let output = explain_call(&index, "one").expect("an explanation");
    let events: Vec<_> = output
        .iter()
        .filter_map(|line| line.split("  ").last()?.trim().split(' ').next())
        .collect();
    assert_eq!(
        events,
        [
            "target_crashed",
            "request_blocked",
            "call_admitted",
            "call_blocked"
        ]
    );
}

/// The explanation of a call that was refused for a part of its prompt names the crashes of other
/// requests with that part.
#[test]
fn explain_call_refused_for_its_part_includes_crashes_of_others() {
    let mut index = LogIndex::default();
    for line in [
        "ts=90000 level=info router=a@1 event=call_admitted id=one fingerprint=f1 parts=p1,p2",
        "ts=90000 level=info router=a@1 event=call_blocked id=one fingerprint=p2 kind=part",
        "ts=20000 level=warning router=b@1 event=target_crashed target=t1 fingerprint=p2 kind=part",
        "ts=20001 level=warning router=b@1 event=target_crashed target=t1 fingerprint=p1 kind=part",
        "ts=20002 level=warning router=a@1 event=part_blocked fingerprint=p2 targets=\"t1,t2\"",
    ] {
        index.add_line(line);
    }
    index.sort();
    let output = explain_call(&index, "one").expect("an explanation");
    let events: Vec<_> = output
        .iter()
        .filter_map(|line| line.split("  ").last()?.trim().split(' ').next())
        .collect();
    assert_eq!(
        events,
        [
            "target_crashed",
            "part_blocked",
            "call_admitted",
            "call_blocked"
        ]
    );
}

/// The unsorted logs of two routers contain a call placed on a target that its router ejected
/// shortly before. The explanation has the ejection and the call's own lines, ordered by time, and
/// no lines of the other router or of other calls.
#[test]
fn explain_call_includes_related_events() {
    let mut index = LogIndex::default();
    for line in [
        "ts=9000 level=info router=a@1 event=call id=one workspace=w target=t1 total_ms=30 outcome=answered",
        "ts=8975 level=info router=a@1 event=call_placed id=one target=t1 cost=4",
        "ts=8970 level=info router=a@1 event=call_admitted id=one",
        "ts=8000 level=warning router=a@1 event=target_ejected target=t1 end=silent",
        "ts=8000 level=warning router=b@1 event=target_ejected target=t1 end=silent",
        "ts=2000 level=warning router=a@1 event=target_ejected target=t1 end=silent",
        "ts=8500 level=info router=a@1 event=tokens_lent workspace=w tokens=5",
        "ts=8500 level=info router=a@1 event=tokens_lent workspace=v tokens=5",
        "ts=8990 level=info router=a@1 event=call id=two target=t1",
    ] {
        index.add_line(line);
    }
    index.sort();
    let lines = explain_call(&index, "one").expect("an explanation");
    let starts: Vec<_> = lines
        .iter()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    assert_eq!(starts.len(), 5, "{starts:?}");
    assert!(starts[0].starts_with("-970 ms a target_ejected target=t1"));
    assert!(starts[1].contains("tokens_lent workspace=w"));
    assert!(starts[2].starts_with("* 0 ms a call_admitted"));
    assert!(starts[4].starts_with("* 30 ms a call id=one"));
}

/// Callers are refused for lack of tokens. An allocator that drew 900 lent 300 and was killed with
/// one call open. The borrower spent 250 and keeps running. 600 of the 900 tokens are lost with one
/// process, and the account must show it.
#[test]
fn token_account_distinguishes_lost_from_spent() {
    let mut index = LogIndex::default();
    for line in [
        "ts=1000 level=info router=a@1 event=ledger_written workspace=w transfer=take tokens=1000 taken=1000",
        "ts=1100 level=info router=a@1 event=ledger_written workspace=w transfer=give_back tokens=100 taken=900",
        "ts=1200 level=info router=a@1 event=tokens_lent workspace=w outcome=lent tokens=300",
        "ts=1210 level=info router=b@1 event=tokens_borrowed workspace=w outcome=lent tokens=300",
        "ts=1220 level=info router=b@1 event=tokens_reserved id=1 workspace=w tokens=280 outcome=reserved",
        "ts=1300 level=info router=b@1 event=call id=1 workspace=w tokens=280 spent=250 outcome=answered",
        "ts=1400 level=info router=a@1 event=tokens_reserved id=2 workspace=w tokens=200 outcome=reserved",
        "ts=1450 level=info router=a@1 event=tokens_reserved id=3 workspace=w tokens=800 outcome=budget_exhausted",
        "ts=3000 level=info router=a@2 event=started",
        "ts=3100 level=info router=a@2 event=ledger_written workspace=w transfer=take tokens=0 recovered=150",
    ] {
        index.add_line(line);
    }
    let account = TokenAccount::of(&index);
    let loss = TokenLoss {
        at_ms: 3_000,
        routers: 1,
        free: 400,
        reserved: 200,
    };
    assert_eq!(
        (account.taken, account.given_back, account.spent),
        (1_000, 100, 250)
    );
    assert_eq!((account.losses, account.recovered), (vec![loss], 150));
}

#[test]
fn losses_by_cause_and_second() {
    let mut index = LogIndex::default();
    for line in [
        "ts=1000 level=info router=a@1 event=call id=1 workspace=w outcome=answered",
        "ts=1500 level=info router=a@1 event=call id=2 workspace=w target=t1 late=pause outcome=answered",
        "ts=2500 level=info router=b@1 event=call id=3 workspace=w outcome=budget_exhausted",
        "ts=2600 level=info router=b@1 event=call_repeated id=4 after=unsent sent=0",
        "ts=2700 level=info router=b@1 event=call id=4 workspace=v target=t2 outcome=outcome_unknown",
    ] {
        index.add_line(line);
    }
    let report = LossReport::of(&index);
    let first = report.seconds()[&1];
    let second = report.seconds()[&2];
    assert_eq!((first.calls, first.lost, first.late), (2, 0, 1));
    assert_eq!((second.calls, second.lost, second.late), (2, 2, 0));
    let text = report.to_string();
    for expected in ["calls 4", "late by pause", "budget_exhausted", "unsent"] {
        assert!(text.contains(expected), "no {expected} in {text}");
    }
}

/// Guards against a refusal in a cut of the store whose explanation lacks what was short.
#[test]
fn explain_call_refused_for_tokens_names_cause() {
    let mut index = LogIndex::default();
    for line in [
        "ts=89000 level=info router=a@1 event=tokens_borrowed workspace=w peer=b least=9000 outcome=ledger_away",
        "ts=89900 level=info router=a@1 event=tokens_borrowed workspace=v peer=c least=10 outcome=lent",
        "ts=89901 level=info router=c@1 event=tokens_borrowed workspace=w peer=d least=10 outcome=lent",
        "ts=90000 level=info router=a@1 event=tokens_reserved id=one workspace=w tokens=9500 outcome=budget_unreachable shortage=ledger_away known=true free=120 role=borrower left=70000 ledger_age_ms=4200",
        "ts=90001 level=info router=a@1 event=call id=one workspace=w reserve_ms=0 shortage=ledger_away known=true retry_ms=4300 outcome=budget_unreachable",
        "ts=90002 level=info router=a@1 event=call id=two workspace=w outcome=link_full",
    ] {
        index.add_line(line);
    }
    index.sort();
    let output = explain_call(&index, "one").expect("an explanation");
    let expected = [
        "refused: budget_unreachable for ledger_away, known when it came, in 0 ms; to return in 4300 ms",
        "tokens: needs 9500, 120 free here as borrower, 70000 left in a ledger of 4200 ms ago",
        "lender: b answered ledger_away to a request for 9000 or more, 1001 ms before",
    ];
    assert!(output.ends_with(&expected.map(str::to_owned)), "{output:?}");
    let output = explain_call(&index, "two").expect("an explanation");
    assert!(!output.iter().any(|line| line.starts_with("refused")));
    let report = LossReport::of(&index).to_string();
    let row = "90           budget_unreachable/ledger_away           1  w 1";
    assert!(report.contains(row), "{report}");
}

/// The command explains a failed call by its id and the router's log: all steps from arrival to
/// end, the sums and a plot. A missing log gives a clear error.
#[tokio::test]
async fn command_explains_a_failed_call() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Failing);
    }
    let reply = bench
        .router
        .call(&request("POST /order/1", "order-1"))
        .await;
    assert!(reply.status >= 500);
    bench.router.wait_log(&["event=call ", "id=order-1"]).await;
    let log = bench.router.log_path();
    let run = |arguments: &[&str]| {
        let command = std::process::Command::new(env!("CARGO_BIN_EXE_beechsaddle"))
            .arg("explain")
            .args(arguments)
            .output()
            .expect("the binary runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            command.status.code(),
            text(&command.stdout),
            text(&command.stderr),
        )
    };
    let (code, output, _) = run(&["order-1", &log]);
    assert_eq!(code, Some(0));
    let positions =
        ["call_admitted", "call_placed", "attempt_ended", "outcome="].map(|word| output.find(word));
    assert!(positions.is_sorted() && positions[0].is_some(), "{output}");
    let plot = format!("{log}.svg");
    let (code, output, _) = run(&["--losses", "--plot", &plot, &log]);
    assert!(
        code == Some(0) && output.contains("target_failed"),
        "{output}"
    );
    assert!(
        std::fs::read_to_string(&plot)
            .expect("a plot")
            .contains("<svg")
    );
    let (code, _, error) = run(&["order-1", "nowhere.log"]);
    assert!(
        code == Some(1) && error.contains("nowhere.log cannot be read"),
        "{error}"
    );
}

/// Calls to the store are a large part of a fleet's cost. The routers' sums are added by purpose
/// and by time, and a sum that cannot be parsed is counted without hiding others.
#[test]
fn store_sums_by_purpose_and_time() {
    let mut index = LogIndex::default();
    for line in [
        "ts=11000 level=info router=a@1 event=store_calls calls=\"watch_config/done:2 write_ledger/conflict:3\"",
        "ts=16000 level=info router=a@1 event=store_calls calls=\"write_ledger/conflict:1 odd write_ledger/done:x\"",
        "ts=12000 level=info router=b@1 event=store_calls calls=watch_config/done:5",
    ] {
        index.add_line(line);
    }
    let sums = StoreSums::of(&index);
    let purposes: Vec<_> = sums.purposes.into_iter().collect();
    let expected = [("watch_config/done", 7), ("write_ledger/conflict", 4)];
    assert_eq!(
        purposes,
        expected.map(|(purpose, count)| (purpose.to_owned(), count))
    );
    assert_eq!(
        sums.seconds.into_iter().collect::<Vec<_>>(),
        [(10, 10), (15, 1)]
    );
    assert_eq!(sums.unreadable, 2);
}

/// A borrower returns tokens to its allocator, which dies with them. They count as lost at the
/// allocator only.
#[test]
fn token_account_follows_returns() {
    let mut index = LogIndex::default();
    for line in [
        "ts=1000 level=info router=a@1 event=tokens_borrowed workspace=w tokens=700",
        "ts=2000 level=info router=a@1 event=tokens_returned workspace=w outcome=returned tokens=500",
        "ts=2000 level=info router=k@1 event=tokens_taken_back workspace=w is_taken=true tokens=500",
        "ts=3000 level=info router=a@1 event=tokens_returned workspace=w outcome=refused tokens=100",
        "ts=9000 level=info router=a@9 event=started",
        "ts=9500 level=info router=k@9 event=started",
    ] {
        index.add_line(line);
    }
    let account = TokenAccount::of(&index);
    let free: Vec<_> = account.losses.iter().map(|loss| loss.free).collect();
    assert_eq!(free, [700]);
}

/// The explanation of a call that was refused since all targets leave tells when each announced it, however
/// long ago, and nothing about other targets.
#[test]
fn explain_call_refused_as_targets_leave_includes_their_notices() {
    let mut index = LogIndex::default();
    for line in [
        "ts=90000 level=info router=a@1 event=call_admitted id=one",
        "ts=90000 level=info router=a@1 event=call id=one leaving=t1,t2 outcome=targets_leaving",
        "ts=20000 level=info router=a@1 event=target_leaving target=t1 source=answer",
        "ts=20001 level=info router=a@1 event=target_leaving target=t2 source=tunnel",
        "ts=20002 level=info router=a@1 event=target_leaving target=t3 source=answer",
        "ts=20003 level=info router=b@1 event=target_leaving target=t1 source=answer",
        "ts=95000 level=info router=a@1 event=target_leaving target=t1 source=answer",
    ] {
        index.add_line(line);
    }
    index.sort();
    let output = explain_call(&index, "one").expect("an explanation");
    let events: Vec<_> = output
        .iter()
        .filter_map(|line| line.split("  ").last()?.trim().split(" source").next())
        .collect();
    assert_eq!(
        events,
        [
            "target_leaving target=t1",
            "target_leaving target=t2",
            "call_admitted id=one",
            "call id=one leaving=t1,t2 outcome=targets_leaving"
        ]
    );
}
