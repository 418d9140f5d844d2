//! The `sample_objects` module provides sample platform objects of any size, with names of the
//! length that is usual in a large fleet.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::accounting::{
    BillRecord, BilledKey, BudgetAccount, BudgetLedger, JournalSegment, OpenGrant,
};
use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueEntry, EntryClass, EntryHeader, EntryLimits, WorkspaceEntry,
};
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::dedup::{DedupRecord, DedupShard};
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState};
use beechsaddle_core::names::{CallId, KeyOrigin, RequestKey, RouterIncarnation};
use beechsaddle_core::objects::PlatformObject;

/// The epoch of a router, of the size of a Unix time in milliseconds.
const EPOCH: u64 = 1_800_000_000_000;

/// The number of domains that use one budget, each with its own grant.
const GRANTS_PER_BUDGET: u64 = 2;

/// Returns a ledger shard of `count` budgets.
pub fn ledger_of(count: u64) -> PlatformObject {
    let budgets = (0..count)
        .map(|number| (budget_name(number).as_str().into(), account(number)))
        .collect();
    PlatformObject::Ledger(BudgetLedger {
        write_id: write_id(),
        budgets,
    })
}

/// Returns a ledger shard of one budget with `count` billed idempotency keys of callers.
pub fn keys_of(count: u64) -> PlatformObject {
    let mut account = account(0);
    account.keys = (0..count).map(billed_key).collect();
    let name = budget_name(0);
    PlatformObject::Ledger(BudgetLedger {
        write_id: write_id(),
        budgets: BTreeMap::from([(name.as_str().into(), account)]),
    })
}

/// Returns a journal segment of `count` bills and as many high-water marks.
pub fn segment_of(count: u64) -> PlatformObject {
    PlatformObject::Segment(JournalSegment {
        write_id: write_id(),
        marks: (0..count)
            .map(|number| (budget_name(number).as_str().into(), 123_456_789))
            .collect(),
        bills: (0..count).map(bill).collect(),
        ..JournalSegment::default()
    })
}

/// Returns a dedup shard of `count` records.
pub fn dedup_of(count: u64) -> PlatformObject {
    PlatformObject::Dedup(DedupShard {
        write_id: write_id(),
        records: (0..count).map(record).collect(),
    })
}

/// Returns a part of the catalogue with `count` workspaces.
pub fn base_of(count: u64) -> PlatformObject {
    PlatformObject::Base(CatalogueBase {
        revision: 1_000_000,
        entries: (0..count)
            .map(|number| (number, workspace(number)))
            .collect(),
    })
}

/// Returns a list of `count` hosts.
pub fn hosts_of(count: u64) -> PlatformObject {
    PlatformObject::Hosts(HostList {
        hosts: (0..count).map(host).collect(),
    })
}

/// Returns a workspace with two keys, a default budget and the models of one service.
pub fn workspace(number: u64) -> CatalogueEntry {
    CatalogueEntry::Workspace(WorkspaceEntry {
        header: EntryHeader {
            owner: "team-of-the-day-shift".into(),
            class: EntryClass::Standard,
            limits: EntryLimits {
                concurrency: Some(200),
                requests_per_second: Some(50),
                tokens_per_minute: Some(100_000),
            },
        },
        name: workspace_name(number).as_str().into(),
        keys: vec![digest(number, 1), digest(number, 2)],
        budget: Some(budget_name(number).as_str().into()),
        services: vec!["assistant-pool".into(), "notify".into()],
        models: vec!["assistant-large".into(), "assistant-small".into()],
    })
}

fn account(number: u64) -> BudgetAccount {
    let grants: BTreeMap<_, _> = (0..GRANTS_PER_BUDGET)
        .map(|router| {
            let journal = router_of(number + router * 31).to_string();
            (journal.as_str().into(), grant())
        })
        .collect();
    BudgetAccount {
        workspace: workspace_name(number).as_str().into(),
        owner: "team-of-the-day-shift".into(),
        top_ups: BTreeMap::from([(format!("2026-q4-{number}").as_str().into(), 50_000_000)]),
        settled: 12_345_678,
        bills: 54_321,
        written_off: 1_234,
        grants,
        withdrawals: BTreeMap::new(),
        closed: BTreeMap::new(),
        keys: BTreeMap::new(),
        is_removed: false,
        retired: BTreeSet::new(),
    }
}

fn grant() -> OpenGrant {
    OpenGrant {
        amount: 1_000_000,
        folded: 800_000,
        cursor: 12_345,
    }
}

fn billed_key(number: u64) -> (String, BilledKey) {
    let digest = stable_hash(number.to_le_bytes());
    let key = BilledKey {
        tokens: 233,
        folded_at: ClockTime::from_millis(EPOCH + number),
    };
    (format!("{digest:016x}{digest:016x}"), key)
}

fn bill(number: u64) -> BillRecord {
    BillRecord {
        call: call_of(number),
        key: key_of(number),
        budget: budget_name(number).as_str().into(),
        tokens: 233,
        replaces: None,
        contested: false,
        provisional: false,
        against: None,
    }
}

fn record(number: u64) -> DedupRecord {
    DedupRecord {
        key: key_of(number),
        call: call_of(number),
        age_ms: 123_456,
        released: false,
    }
}

fn host(number: u64) -> HostRecord {
    HostRecord {
        host: format!("target-{number:04}").as_str().into(),
        domain: "region-a-north-1".into(),
        epoch: EPOCH,
        address: "10.200.100.50:8080".to_owned(),
        role: HostRole::Target {
            service: "assistant-pool".into(),
            checks_fence: true,
        },
        state: HostState::Live,
    }
}

/// Returns an idempotency key as callers choose it.
pub fn key_of(number: u64) -> RequestKey {
    RequestKey {
        workspace: workspace_name(number).as_str().into(),
        text: format!("3f2a9c51-7d4e-4b7a-9f00-{number:012}")
            .as_str()
            .into(),
        origin: KeyOrigin::Caller,
    }
}

/// Returns the id of a call.
pub fn call_of(number: u64) -> CallId {
    CallId {
        router: router_of(number),
        number,
    }
}

/// Returns one of 450 routers.
pub fn router_of(number: u64) -> RouterIncarnation {
    RouterIncarnation::new(format!("entry-{:03}", number % 450).as_str(), EPOCH)
}

pub fn budget_name(number: u64) -> String {
    format!("budget-{number:06}")
}

/// Returns the name of one of 25,000 workspaces.
pub fn workspace_name(number: u64) -> String {
    format!("workspace-{:05}", number % 25_000)
}

fn digest(number: u64, key: u8) -> KeyDigest {
    let mut bytes = [key; 32];
    bytes[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    KeyDigest(bytes)
}

fn write_id() -> String {
    format!("entry-001@{EPOCH}#123456")
}
