//! Test of router processes of which one domain is partitioned from the platform.

mod process_support;

use std::time::Duration;

use beechsaddle_core::catalogue::ServiceKind;
use beechsaddle_lab::demo::demo_fleet::{ENGINE_SERVICE, catalogue_with_top_ups};
use beechsaddle_lab::fleet::{FleetCaller, FleetPlan, LabFleet, RouterPlan, TargetPlan};
use beechsaddle_lab::stand_in::platform::{FaultRule, PlatformFault, PlatformFaults};
use process_support::*;

async fn start_domains(top_up: u64) -> LabFleet {
    let (split, rijeka) = ("split-hala", "rijeka-hala");
    let plan = FleetPlan {
        program: env!("CARGO_BIN_EXE_beechsaddle-lab").into(),
        region: "jadran".to_owned(),
        routers: vec![
            RouterPlan::new("split-1", split),
            RouterPlan::new("split-2", split),
            RouterPlan::new("rijeka-1", rijeka),
            RouterPlan::new("rijeka-2", rijeka),
        ],
        targets: vec![
            TargetPlan::new("pomocnik-1", split, ENGINE_SERVICE, ServiceKind::Engine),
            TargetPlan::new("pomocnik-2", rijeka, ENGINE_SERVICE, ServiceKind::Engine),
        ],
        catalogue: catalogue_with_top_ups(&[("first", top_up)]),
        settings: QUICK_SETTINGS.to_owned(),
    };
    LabFleet::try_start(plan).await.unwrap()
}

/// Sends chats until one is refused. Returns the number of answered ones and the refusal reason.
async fn spend(fleet: &LabFleet, host: &str, name: &str, calls: u64) -> (u64, Option<String>) {
    let address = fleet.call_address(host).unwrap();
    let caller = FleetCaller::new();
    for number in 0..calls {
        let request = chat(50, &format!("{name}-{number}"));
        let answer = caller.send(&address, request).await.unwrap();
        if !answer.status.is_success() {
            assert_eq!(answer.json()["error"]["ran"], "no", "{}", answer.body);
            return (number, answer.refusal());
        }
    }
    (calls, None)
}

// Two domains spend one budget until one is partitioned from the platform. It continues with its
// grant, and refuses calls as not run when that is exhausted. The budget is topped up meanwhile and
// the other domain spends on. After the partition all calls are billed and nothing is overspent.
#[tokio::test]
async fn domain_cut_off_while_topped_up() {
    let mut fleet = start_domains(3_000).await;
    assert_eq!(spend(&fleet, "split-1", "split-a", 2).await, (2, None));
    assert_eq!(spend(&fleet, "rijeka-1", "rijeka-a", 2).await, (2, None));

    let cut = FaultRule {
        hosts: vec!["rijeka-1".to_owned(), "rijeka-2".to_owned()],
        ..FaultRule::all(PlatformFault::Close)
    };
    let cut = PlatformFaults {
        rules: vec![cut],
        ..PlatformFaults::default()
    };
    let platform = fleet.platform().to_string();
    let caller = FleetCaller::new();
    caller.post(&platform, "/faults", &cut).await.unwrap();
    let topped_up = catalogue_with_top_ups(&[("first", 3_000), ("second", 2_000)]);
    fleet.apply_catalogue(&topped_up).await.unwrap();
    let (cut_off, refusal) = spend(&fleet, "rijeka-1", "rijeka-b", 100).await;
    assert!(
        refusal.is_some(),
        "the partitioned domain spent without limit"
    );
    let (served, _) = spend(&fleet, "split-1", "split-b", 10).await;
    assert!(served >= 5, "the other domain answered only {served} calls");

    let no_faults = PlatformFaults::default();
    caller.post(&platform, "/faults", &no_faults).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let totals = check_bills(&fleet, 4 + cut_off + served).await;
    assert_eq!(totals.topped_up, 5_000);
    assert!(totals.settled + totals.written_off + totals.open <= 5_000);
}
