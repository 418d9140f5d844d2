//! The `ledger_book` module provides the ledger at the platform.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::accounting::{BudgetAccount, BudgetLedger};
use beechsaddle_core::catalogue::BudgetDeclaration;
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::WriteGuard;
use beechsaddle_core::prelude::*;

use super::{
    LedgerRefusal, ObjectStore, OperatorError, Result, StoreCaller, WriteOutcome, declaration_of,
    edit_ledger,
};

/// Where the shard counts are kept.
const LAYOUT_KEY: &str = "fleet/layout";

/// What the keys of all shards begin with.
const LEDGER_PREFIX: &str = "ledger/";

/// How often a shard is tried that routers write to at the same time.
const SHARD_TRIES: u32 = 50;

/// All shards of the ledger as read.
#[derive(Clone, Debug, Default)]
pub struct LedgerBook {
    shards: BTreeMap<u32, BudgetLedger>,
    shard_count: u32,
}

impl LedgerBook {
    /// Reads all shards.
    pub async fn read<S: ObjectStore>(
        caller: &StoreCaller<'_, S>,
        layout: FleetLayout,
    ) -> Result<Self> {
        // Most shards of a young fleet do not exist, and a read of each would take longer than an
        // operator's patience and more of the platform's reads than the routers leave.
        let listed = caller.list(LEDGER_PREFIX).await?;
        let listed: BTreeSet<ObjectKey> = listed.into_iter().collect();
        let mut shards = BTreeMap::new();
        for shard in 0..layout.ledger_shards {
            if !listed.contains(&BudgetLedger::object_key(shard)) {
                continue;
            }
            let (_, ledger) = read_shard(caller, shard).await?;
            shards.insert(shard, ledger);
        }
        Ok(LedgerBook {
            shards,
            shard_count: layout.ledger_shards,
        })
    }

    /// All budgets as declarations.
    pub fn declarations(&self) -> BTreeMap<BudgetName, BudgetDeclaration> {
        self.accounts()
            .map(|(name, account)| (name.clone(), declaration_of(name, account)))
            .collect()
    }

    /// Budgets that were removed and not declared again.
    pub fn removed(&self) -> BTreeSet<BudgetName> {
        self.accounts()
            .filter(|(_, account)| account.is_removed)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetName, &BudgetAccount)> {
        self.shards
            .values()
            .flat_map(|ledger| ledger.budgets.iter())
    }

    /// What speaks against bringing budgets to what is declared.
    pub fn check(&self, wanted: &WantedBudgets) -> Vec<LedgerRefusal> {
        let mut refusals = Vec::new();
        for (name, declared) in wanted {
            let shard = BudgetLedger::shard_for(name, self.shard_count);
            let mut ledger = self.shards.get(&shard).cloned().unwrap_or_default();
            if let Err(refusal) = edit_ledger(&mut ledger, name, declared.as_ref()) {
                refusals.push(refusal);
            }
        }
        refusals
    }
}

/// Budgets with what they shall be, `None` for nothing.
pub type WantedBudgets = BTreeMap<BudgetName, Option<BudgetDeclaration>>;

/// Reads the shard counts; a fleet that has none gets `layout`.
///
/// Two counts at once would put one budget into two shards, each with the full top-ups, and it
/// could be spent twice. The object is created once and never written again.
pub(super) async fn ensure_layout<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    layout: FleetLayout,
) -> Result<FleetLayout> {
    let key = ObjectKey::new(LAYOUT_KEY);
    for _ in 0..SHARD_TRIES {
        match caller.read(&key).await?.map(|stored| stored.object) {
            Some(PlatformObject::Layout(layout)) => return Ok(layout),
            Some(_) => return Err(OperatorError::Corrupt(key)),
            None => {}
        }
        let object = PlatformObject::Layout(layout);
        caller.write(&key, object, WriteGuard::Absent).await?;
    }
    Err(OperatorError::Busy)
}

/// Reads all shards; none when the fleet is new.
pub(super) async fn read_book<S: ObjectStore>(caller: &StoreCaller<'_, S>) -> Result<LedgerBook> {
    match read_layout(caller).await? {
        Some(layout) => LedgerBook::read(caller, layout).await,
        None => Ok(LedgerBook::default()),
    }
}

/// Reads the shard counts, if the fleet has any.
async fn read_layout<S: ObjectStore>(caller: &StoreCaller<'_, S>) -> Result<Option<FleetLayout>> {
    let key = ObjectKey::new(LAYOUT_KEY);
    match caller.read(&key).await?.map(|stored| stored.object) {
        Some(PlatformObject::Layout(layout)) => Ok(Some(layout)),
        Some(_) => Err(OperatorError::Corrupt(key)),
        None => Ok(None),
    }
}

/// Brings budgets to what is wanted and gives those that cannot be.
pub(super) async fn book_budgets<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    layout: FleetLayout,
    write_id: &str,
    wanted: &WantedBudgets,
) -> Result<Vec<LedgerRefusal>> {
    let mut by_shard: BTreeMap<u32, WantedBudgets> = BTreeMap::new();
    for (name, declared) in wanted {
        by_shard
            .entry(BudgetLedger::shard_for(name, layout.ledger_shards))
            .or_default()
            .insert(name.clone(), declared.clone());
    }
    let mut refusals = Vec::new();
    for (shard, wanted) in by_shard {
        refusals.extend(book_shard(caller, shard, write_id, &wanted).await?);
    }
    Ok(refusals)
}

/// Whatever became of a write, the shard is read again and what is still missing is written: an
/// answer that was lost needs no care of its own.
async fn book_shard<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    shard: u32,
    write_id: &str,
    wanted: &WantedBudgets,
) -> Result<Vec<LedgerRefusal>> {
    for _ in 0..SHARD_TRIES {
        let (guard, mut ledger) = read_shard(caller, shard).await?;
        let mut refusals = Vec::new();
        let mut changed = false;
        for (name, declared) in wanted {
            match edit_ledger(&mut ledger, name, declared.as_ref()) {
                Ok(edited) => changed |= edited,
                Err(refusal) => refusals.push(refusal),
            }
        }
        if !changed {
            return Ok(refusals);
        }
        // A shard in which more is promised than was paid must not be built upon.
        if ledger.check_invariant().is_err() {
            return Err(OperatorError::Corrupt(BudgetLedger::object_key(shard)));
        }
        ledger.write_id = write_id.to_string();
        let object = PlatformObject::Ledger(ledger);
        match caller
            .write(&BudgetLedger::object_key(shard), object, guard)
            .await?
        {
            WriteOutcome::Written => return Ok(refusals),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
        }
    }
    Err(OperatorError::Busy)
}

async fn read_shard<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    shard: u32,
) -> Result<(WriteGuard, BudgetLedger)> {
    let key = BudgetLedger::object_key(shard);
    match caller.read(&key).await? {
        None => Ok((WriteGuard::Absent, BudgetLedger::default())),
        Some(stored) => match stored.object {
            PlatformObject::Ledger(ledger) => Ok((WriteGuard::Version(stored.version), ledger)),
            _ => Err(OperatorError::Corrupt(key)),
        },
    }
}
