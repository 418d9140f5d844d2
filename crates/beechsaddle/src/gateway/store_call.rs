//! The `store_call` module provides the names of store calls in logs and metrics.

use beechsaddle_platform::ObjectKind;

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreCall {
    /// Lists all objects of a kind.
    List(ObjectKind),
    /// Waits for changes of a kind.
    Watch(ObjectKind),
    /// Reads the newest configuration.
    ReadConfig,
    /// Reads the current ledger.
    ReadLedger,
    /// Reads a ledger that may be some seconds old.
    ReadStaleLedger,
    /// Writes a change to a ledger.
    WriteLedger,
    /// Creates a ledger, or writes a router's entry or the shared secret of routers.
    Register,
    /// Reads a router's entry or the shared secret, which may be some seconds old.
    ReadStaleEntry,
    /// Reads the stored crash reports.
    ReadCrashes,
    /// Writes a change to the stored crash reports.
    WriteCrashes,
    /// Reads the changes of targets up to now.
    RefreshTargets,
    /// Checks whether the store answers.
    Probe,
}

impl StoreCall {
    /// Whether the store counts as away if it does not answer the call.
    ///
    /// The store may cut off a watch at any time while it answers all else, and a call that a caller
    /// waits for is given up early. A listing follows the one, and shows whether the store is away; of
    /// the other the probes do.
    pub(super) fn shows_outage(self) -> bool {
        match self {
            StoreCall::Watch(_) | StoreCall::RefreshTargets => false,
            StoreCall::List(_)
            | StoreCall::ReadConfig
            | StoreCall::ReadLedger
            | StoreCall::ReadStaleLedger
            | StoreCall::WriteLedger
            | StoreCall::Register
            | StoreCall::ReadStaleEntry
            | StoreCall::ReadCrashes
            | StoreCall::WriteCrashes
            | StoreCall::Probe => true,
        }
    }

    /// Returns the name in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            StoreCall::List(ObjectKind::Config) => "list_config",
            StoreCall::List(ObjectKind::Targets) => "list_targets",
            StoreCall::List(ObjectKind::Routers) => "list_routers",
            StoreCall::List(ObjectKind::Budgets) => "list_ledgers",
            StoreCall::List(ObjectKind::Crashes) => "list_crashes",
            StoreCall::List(ObjectKind::Evacuations) => "list_evacuations",
            StoreCall::Watch(ObjectKind::Config) => "watch_config",
            StoreCall::Watch(ObjectKind::Targets) => "watch_targets",
            StoreCall::Watch(ObjectKind::Routers) => "watch_routers",
            StoreCall::Watch(ObjectKind::Budgets) => "watch_ledgers",
            StoreCall::Watch(ObjectKind::Crashes) => "watch_crashes",
            StoreCall::Watch(ObjectKind::Evacuations) => "watch_evacuations",
            StoreCall::ReadConfig => "read_config",
            StoreCall::ReadLedger => "read_ledger",
            StoreCall::ReadStaleLedger => "read_stale_ledger",
            StoreCall::WriteLedger => "write_ledger",
            StoreCall::Register => "register",
            StoreCall::ReadStaleEntry => "read_stale_entry",
            StoreCall::ReadCrashes => "read_crashes",
            StoreCall::WriteCrashes => "write_crashes",
            StoreCall::RefreshTargets => "refresh_targets",
            StoreCall::Probe => "probe",
        }
    }
}
