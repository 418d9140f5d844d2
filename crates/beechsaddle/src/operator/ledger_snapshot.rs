//! The `ledger_snapshot` module provides reading and updating the ledger at the platform.

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

/// The key of the shard counts.
const LAYOUT_KEY: &str = "fleet/layout";

/// The key prefix of all shards.
const LEDGER_PREFIX: &str = "ledger/";

/// The number of attempts to update a shard that routers write to at the same time.
const SHARD_ATTEMPTS: u32 = 50;

/// All shards of the ledger, as of one read.
#[derive(Clone, Debug, Default)]
pub struct LedgerSnapshot {
    shards: BTreeMap<u32, BudgetLedger>,
    shard_count: u32,
}

impl LedgerSnapshot {
    pub async fn read<S: ObjectStore>(
        caller: &StoreCaller<'_, S>,
        layout: FleetLayout,
    ) -> Result<Self> {
        // Only listed shards are read. Most shards of a new fleet do not exist, and reading each of
        // them would take too long for a command and more of the platform's read rate than the
        // routers leave.
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
        Ok(LedgerSnapshot {
            shards,
            shard_count: layout.ledger_shards,
        })
    }

    /// Returns all budgets in declared form.
    pub fn declarations(&self) -> BTreeMap<BudgetName, BudgetDeclaration> {
        self.accounts()
            .map(|(name, account)| (name.clone(), declaration_of(name, account)))
            .collect()
    }

    /// Returns the budgets that were removed and not declared again.
    pub fn removed(&self) -> BTreeSet<BudgetName> {
        self.accounts()
            .filter(|(_, account)| account.is_removed)
            .map(|(name, _)| name.clone())
            .collect()
    }

    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetName, &BudgetAccount)> {
        self.shards
            .values()
            .flat_map(|ledger| ledger.budgets.iter())
    }

    /// Returns the reasons why budgets cannot be brought to their desired state.
    pub fn check(&self, desired: &DesiredBudgets) -> Vec<LedgerRefusal> {
        let mut refusals = Vec::new();
        for (name, declared) in desired {
            let shard = BudgetLedger::shard_for(name, self.shard_count);
            let mut ledger = self.shards.get(&shard).cloned().unwrap_or_default();
            if let Err(refusal) = edit_ledger(&mut ledger, name, declared.as_ref()) {
                refusals.push(refusal);
            }
        }
        refusals
    }
}

/// Budgets with their desired state, `None` for removed.
pub type DesiredBudgets = BTreeMap<BudgetName, Option<BudgetDeclaration>>;

/// Reads the shard counts, and creates them as `layout` in a fleet that has none.
///
/// Two different counts would place one budget in two shards, each with the full top-ups, and it
/// could be spent twice. The object is therefore created once and never overwritten.
pub(super) async fn ensure_layout<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    layout: FleetLayout,
) -> Result<FleetLayout> {
    let key = ObjectKey::new(LAYOUT_KEY);
    for _ in 0..SHARD_ATTEMPTS {
        match caller.read(&key).await?.map(|stored| stored.object) {
            Some(PlatformObject::Layout(layout)) => return Ok(layout),
            Some(_) => return Err(OperatorError::Corrupt(key)),
            None => {}
        }
        let object = PlatformObject::Layout(layout);
        caller.write(&key, object, WriteGuard::Absent).await?;
    }
    Err(OperatorError::Contention)
}

/// Reads all shards, none if the fleet is new.
pub(super) async fn read_ledger<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
) -> Result<LedgerSnapshot> {
    match read_layout(caller).await? {
        Some(layout) => LedgerSnapshot::read(caller, layout).await,
        None => Ok(LedgerSnapshot::default()),
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

/// Brings budgets to their desired state and returns a refusal for each that cannot be changed.
pub(super) async fn write_budgets<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    layout: FleetLayout,
    write_id: &str,
    desired: &DesiredBudgets,
) -> Result<Vec<LedgerRefusal>> {
    let mut by_shard: BTreeMap<u32, DesiredBudgets> = BTreeMap::new();
    for (name, declared) in desired {
        by_shard
            .entry(BudgetLedger::shard_for(name, layout.ledger_shards))
            .or_default()
            .insert(name.clone(), declared.clone());
    }
    let mut refusals = Vec::new();
    for (shard, desired) in by_shard {
        refusals.extend(update_shard(caller, shard, write_id, &desired).await?);
    }
    Ok(refusals)
}

/// Updates one shard. After every conflict or unknown outcome the shard is read again and only what
/// is still missing is written, so a lost response needs no separate handling.
async fn update_shard<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    shard: u32,
    write_id: &str,
    desired: &DesiredBudgets,
) -> Result<Vec<LedgerRefusal>> {
    for _ in 0..SHARD_ATTEMPTS {
        let (guard, mut ledger) = read_shard(caller, shard).await?;
        let mut refusals = Vec::new();
        let mut changed = false;
        for (name, declared) in desired {
            match edit_ledger(&mut ledger, name, declared.as_ref()) {
                Ok(edited) => changed |= edited,
                Err(refusal) => refusals.push(refusal),
            }
        }
        if !changed {
            return Ok(refusals);
        }
        // A shard that allocates more than was paid must not be written on.
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
    Err(OperatorError::Contention)
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
