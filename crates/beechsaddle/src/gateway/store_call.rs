//! The `store_call` module provides the words for calls to the store, for logs and metrics.

use beechsaddle_platform::ObjectKind;

/// What a router asks the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreCall {
    /// All objects of a kind.
    List(ObjectKind),
    /// Changes of a kind.
    Watch(ObjectKind),
    /// One ledger.
    ReadLedger,
    /// One ledger as it was some seconds ago.
    ReadStaleLedger,
    /// A change of a ledger.
    WriteLedger,
    /// The entry or the secret of routers.
    Register,
    /// The same as it was some seconds ago.
    ReadStaleEntry,
    /// Crashes as they lie there.
    ReadCrashes,
    /// A change of them.
    WriteCrashes,
    /// Whether the store answers.
    Probe,
}

impl StoreCall {
    /// A word for logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            StoreCall::List(ObjectKind::Config) => "list_config",
            StoreCall::List(ObjectKind::Targets) => "list_targets",
            StoreCall::List(ObjectKind::Routers) => "list_routers",
            StoreCall::List(ObjectKind::Budgets) => "list_ledgers",
            StoreCall::List(ObjectKind::Crashes) => "list_crashes",
            StoreCall::Watch(ObjectKind::Config) => "watch_config",
            StoreCall::Watch(ObjectKind::Targets) => "watch_targets",
            StoreCall::Watch(ObjectKind::Routers) => "watch_routers",
            StoreCall::Watch(ObjectKind::Budgets) => "watch_ledgers",
            StoreCall::Watch(ObjectKind::Crashes) => "watch_crashes",
            StoreCall::ReadLedger => "read_ledger",
            StoreCall::ReadStaleLedger => "read_stale_ledger",
            StoreCall::WriteLedger => "write_ledger",
            StoreCall::Register => "register",
            StoreCall::ReadStaleEntry => "read_stale_entry",
            StoreCall::ReadCrashes => "read_crashes",
            StoreCall::WriteCrashes => "write_crashes",
            StoreCall::Probe => "probe",
        }
    }
}
