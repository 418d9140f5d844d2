//! The `accounting_world` module provides accounting managers, a store and a network in which the
//! test controls every step.

#![allow(dead_code)]

mod fake_store;
pub mod model_step;
pub mod session_steps;
mod world_network;
mod world_types;

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::accounting::{
    AccountingManager, AccountingOptions, BudgetAccount, BudgetLedger,
};
use beechsaddle_core::members::MemberTable;
use beechsaddle_core::peer::AdmitRequest;
use beechsaddle_core::prelude::*;

pub use fake_store::FakeStore;
pub use world_types::{CallRecord, Delivery, RouterSlot, member};

pub struct AccountingWorld {
    pub now: ClockTime,
    pub store: FakeStore,
    pub slots: Vec<RouterSlot>,
    pub deliveries: Vec<Delivery>,
    pub calls: BTreeMap<CallId, CallRecord>,
    pub options: AccountingOptions,
    pub actions: Vec<(usize, CoreAction)>,
    pub is_platform_down: bool,
    pub cut_domains: BTreeSet<DomainName>,
    pub top_ups: u64,
    /// The workspace of subsequent calls.
    pub workspace: WorkspaceName,
    /// Events and the resulting actions, one JSON value per line.
    pub log: Vec<String>,
}

pub const WORKSPACE: &str = "tenant";

pub fn test_options() -> AccountingOptions {
    AccountingOptions {
        shard_count: 2,
        min_grant: 200,
        ..AccountingOptions::default()
    }
}

impl AccountingWorld {
    /// Starts one router per entry of `domains`; each knows the routers of its own domain.
    pub fn new(options: AccountingOptions, domains: &[&str]) -> Self {
        let mut world = AccountingWorld {
            now: ClockTime::from_millis(1_000_000),
            store: FakeStore::default(),
            slots: Vec::new(),
            deliveries: Vec::new(),
            calls: BTreeMap::new(),
            options,
            actions: Vec::new(),
            is_platform_down: false,
            cut_domains: BTreeSet::new(),
            top_ups: 0,
            workspace: WORKSPACE.into(),
            log: Vec::new(),
        };
        for (index, domain) in domains.iter().enumerate() {
            world.start(&format!("r{index}"), 1, domain);
        }
        world
    }

    /// Starts a router process and adds it to the members of its domain.
    pub fn start(&mut self, host: &str, epoch: u64, domain: &str) -> usize {
        let router = RouterIncarnation::new(host, epoch);
        let domain = DomainName::new(domain);
        let mut members = MemberTable::new(router.clone(), domain.clone());
        for slot in self.slots.iter_mut().filter(|slot| slot.domain == domain) {
            if slot.manager.is_none() {
                continue;
            }
            members.insert(slot.router.clone(), member(&slot.router, &domain));
            slot.members
                .insert(router.clone(), member(&router, &domain));
        }
        self.slots.push(RouterSlot {
            manager: Some(AccountingManager::new(self.options.clone(), router.clone())),
            router,
            members,
            domain,
            is_frozen: false,
            is_gone: false,
            has_crashed: false,
            is_draining: false,
            calls: 0,
        });
        self.slots.len() - 1
    }

    pub fn top_up(&mut self, budget: &str, id: &str, tokens: u64) {
        let budget = BudgetName::new(budget);
        let shard = BudgetLedger::shard_for(&budget, self.options.shard_count);
        let mut ledger = self.store.ledger(shard).cloned().unwrap_or_default();
        ledger
            .create_account(&budget, &WORKSPACE.into(), &"owner".into())
            .expect("the workspace is the same");
        let is_new = ledger
            .top_up(&budget, &TopUpId::new(id), tokens)
            .expect("the account was created");
        self.top_ups += if is_new { tokens } else { 0 };
        self.store.put_ledger(shard, ledger);
    }

    pub fn edit_account(&mut self, budget: &str, edit: impl FnOnce(&mut BudgetAccount)) {
        let budget = BudgetName::new(budget);
        let shard = BudgetLedger::shard_for(&budget, self.options.shard_count);
        let mut ledger = self.store.ledger(shard).cloned().unwrap_or_default();
        edit(ledger.budgets.get_mut(&budget).expect("the budget exists"));
        self.store.put_ledger(shard, ledger);
    }

    pub fn account(&self, budget: &str) -> BudgetAccount {
        let budget = BudgetName::new(budget);
        let shard = BudgetLedger::shard_for(&budget, self.options.shard_count);
        let ledger = self.store.ledger(shard).expect("the shard exists");
        ledger.budgets[&budget].clone()
    }

    /// Runs a step of one manager and dispatches its actions. Returns `None` if the router is
    /// stopped or frozen.
    pub fn with_manager<T>(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut AccountingManager, ClockTime, &MemberTable, &mut CoreOutbox) -> T,
    ) -> Option<T> {
        let slot = &mut self.slots[index];
        if slot.is_frozen {
            return None;
        }
        let manager = slot.manager.as_mut()?;
        let mut outbox = CoreOutbox::new();
        let value = step(manager, self.now, &slot.members, &mut outbox);
        self.dispatch(index, outbox);
        Some(value)
    }

    fn dispatch(&mut self, index: usize, outbox: CoreOutbox) {
        let router = self.slots[index].router.to_string();
        for action in outbox.actions {
            self.record_event("does", &router, &action);
            match action.clone() {
                CoreAction::Platform { ticket, call } => self.deliveries.push(Delivery::Call {
                    router: index,
                    ticket,
                    call,
                }),
                CoreAction::Peer { to, message, .. } => {
                    if let Some(to) = self.slots.iter().position(|slot| slot.router == to) {
                        self.deliveries.push(Delivery::Peer {
                            from: index,
                            to,
                            message,
                        });
                    }
                }
                _ => {}
            }
            self.actions.push((index, action));
        }
        for signal in outbox.signals {
            self.record_event("tells", &router, &signal);
            match signal {
                CoreSignal::AdmitDone { call, outcome } => {
                    let record = self.calls.get_mut(&call).expect("the call was made");
                    assert!(record.admitted.is_none(), "{call} was admitted twice");
                    record.admitted = Some(outcome);
                }
                CoreSignal::SettleDone { call } => {
                    let record = self.calls.get_mut(&call).expect("the call was made");
                    assert!(!record.is_released, "{call} was released twice");
                    record.is_released = true;
                }
                _ => {}
            }
        }
    }

    fn record_event(&mut self, verb: &str, router: &str, value: &impl serde::Serialize) {
        let value = serde_json::to_value(value).expect("logged values can be serialized");
        let line = serde_json::json!({
            "at": self.now, "router": router, verb: value,
        });
        self.log.push(line.to_string());
    }

    /// Compares the log with the golden file, or writes that file if `BEECHSADDLE_BLESS` is set.
    pub fn check_golden(&self, name: &str) {
        let path = format!("{}/tests/golden/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
        let text = self.log.join("\n") + "\n";
        if std::env::var_os("BEECHSADDLE_BLESS").is_some() {
            std::fs::write(&path, text).expect("the golden file can be written");
            return;
        }
        let golden = std::fs::read_to_string(&path).expect("the golden file exists");
        for (number, (is, was)) in text.lines().zip(golden.lines()).enumerate() {
            assert_eq!(is, was, "{name}.jsonl line {}", number + 1);
        }
        assert_eq!(text.lines().count(), golden.lines().count(), "{name}.jsonl");
    }

    /// Sends a caller's request with its own key, or without one.
    pub fn call(&mut self, entry: usize, budget: &str, key: Option<&str>, bound: u64) -> CallId {
        let slot = &mut self.slots[entry];
        slot.calls += 1;
        let call = CallId {
            router: slot.router.clone(),
            number: slot.calls,
        };
        let origin = if key.is_some() {
            KeyOrigin::Caller
        } else {
            KeyOrigin::Router
        };
        let key = RequestKey {
            workspace: self.workspace.clone(),
            text: key.map_or_else(|| KeyText::new(call.to_string()), KeyText::new),
            origin,
        };
        let request = AdmitRequest {
            call: call.clone(),
            key: key.clone(),
            budget: budget.into(),
            bound,
        };
        let record = CallRecord {
            entry,
            key,
            budget: budget.into(),
            bound,
            admitted: None,
            served: 0,
            settled: None,
            is_released: false,
        };
        self.calls.insert(call.clone(), record);
        let router = self.slots[entry].router.to_string();
        self.record_event("call", &router, &request);
        self.with_manager(entry, |manager, now, members, outbox| {
            manager.admit(now, request, members, outbox);
        });
        call
    }

    /// Adds tokens generated for an admitted call, up to its bound.
    pub fn serve(&mut self, call: &CallId, tokens: u64) {
        let record = self.calls.get_mut(call).expect("the call was made");
        if matches!(record.admitted, Some(Ok(()))) && record.settled.is_none() {
            record.served = (record.served + tokens).min(record.bound);
            let (entry, sum) = (record.entry, record.served);
            self.with_manager(entry, |manager, now, _, _| manager.progress(now, call, sum));
        }
    }

    /// Ends the call at its entry router with all generated tokens.
    pub fn settle(&mut self, call: &CallId) {
        let record = self.calls.get(call).expect("the call was made");
        let (entry, served) = (record.entry, record.served);
        if !matches!(record.admitted, Some(Ok(()))) || record.settled.is_some() {
            return;
        }
        let router = self.slots[entry].router.to_string();
        self.record_event("settle", &router, &(call.to_string(), served));
        let done = self.with_manager(entry, |manager, now, members, outbox| {
            manager.settle(now, call, served, true, true, members, outbox);
        });
        if done.is_some() {
            let record = self.calls.get_mut(call).expect("the call was made");
            record.settled = Some(served);
        }
    }

    pub fn advance(&mut self, span_ms: u64) {
        self.now = self.now.plus_ms(span_ms);
        for index in 0..self.slots.len() {
            self.with_manager(index, |manager, now, members, outbox| {
                manager.tick(now, members, outbox);
            });
        }
    }

    pub fn served(&self) -> u64 {
        self.calls.values().map(|record| record.served).sum()
    }

    /// Returns the largest bill per key in all journals.
    pub fn billed_keys(&self) -> BTreeMap<RequestKey, u64> {
        let mut keys: BTreeMap<RequestKey, u64> = BTreeMap::new();
        for segment in self.store.segments.values() {
            for bill in &segment.bills {
                let billed = keys.entry(bill.key.clone()).or_default();
                *billed = bill.tokens.max(*billed);
            }
        }
        keys
    }

    pub fn reasons(&self) -> Vec<Option<RefusalReason>> {
        self.calls
            .values()
            .map(|record| match &record.admitted {
                Some(Err(refusal)) => Some(refusal.reason),
                Some(Ok(())) | None => None,
            })
            .collect()
    }
}
