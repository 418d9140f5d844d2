//! Tests of the ledger totals of the load tool.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::accounting::{BudgetAccount, BudgetLedger, OpenGrant};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_lab::load::{LedgerTotals, PlatformReader};
use beechsaddle_lab::stand_in::{PlatformOptions, PlatformServer};

fn account(topped_up: u64, settled: u64, written_off: u64, granted: u64) -> BudgetAccount {
    let grant = OpenGrant {
        amount: granted,
        ..OpenGrant::default()
    };
    BudgetAccount {
        workspace: "w".into(),
        owner: "o".into(),
        top_ups: BTreeMap::from([("t".into(), topped_up)]),
        withdrawals: BTreeMap::new(),
        settled,
        bills: 1,
        written_off,
        grants: BTreeMap::from([("a@1".into(), grant)]),
        closed: BTreeMap::new(),
        keys: BTreeMap::new(),
        is_removed: false,
        retired: BTreeSet::new(),
    }
}

fn ledger(budgets: impl IntoIterator<Item = (&'static str, BudgetAccount)>) -> PlatformObject {
    let budgets = budgets
        .into_iter()
        .map(|(name, account)| (name.into(), account))
        .collect();
    let ledger = BudgetLedger {
        budgets,
        ..BudgetLedger::default()
    };
    PlatformObject::Ledger(ledger)
}

#[tokio::test]
async fn totals_of_two_shards() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).unwrap();
    let first = ledger([("a", account(1_000, 100, 10, 200))]);
    let second = ledger([("b", account(500, 50, 0, 0))]);
    platform.put("ledger/0", &first).unwrap();
    platform.put("ledger/1", &second).unwrap();
    let reader = PlatformReader::new(platform.address().to_string());
    let totals = LedgerTotals::read(&reader).await.unwrap();
    let expected = LedgerTotals {
        budgets: 2,
        topped_up: 1_500,
        settled: 150,
        bills: 2,
        written_off: 10,
        open: 200,
        overspend: 0,
    };
    assert_eq!(totals, expected);
}

// Guards against overspend hidden by a sum: one budget has tokens left, the other is overspent by
// ten.
#[tokio::test]
async fn totals_overspend_not_hidden_by_other_budget() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).unwrap();
    let budgets = [
        ("a", account(100, 60, 20, 30)),
        ("b", account(500, 0, 0, 0)),
    ];
    platform.put("ledger/0", &ledger(budgets)).unwrap();
    let reader = PlatformReader::new(platform.address().to_string());
    let totals = LedgerTotals::read(&reader).await.unwrap();
    assert_eq!(totals.overspend, 10);
}
