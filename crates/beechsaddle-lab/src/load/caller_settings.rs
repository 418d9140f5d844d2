//! The `caller_settings` module provides the settings that callers need to use a fleet.

use std::path::Path;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use super::CallKind;

/// Addresses of a fleet and the names that its callers use, read from a TOML file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Call addresses of the routers, as `address:port`.
    pub routers: Vec<String>,
    /// Address of the platform stand-in. Without it the ledger is not checked.
    #[serde(default)]
    pub platform: Option<String>,
    /// Addresses of the target stand-ins. Without them the runs of calls are not checked.
    #[serde(default)]
    pub targets: Vec<String>,
    /// The model of chats.
    pub model: String,
    /// The service of plain calls.
    pub service: String,
    /// The cost of a plain call in tokens.
    #[serde(default)]
    pub call_cost: u64,
    /// Whether the service declares its calls repeatable.
    #[serde(default)]
    pub repeatable: bool,
    /// The workspaces by descending load.
    pub workspaces: Vec<CallerWorkspace>,
}

/// Name and credentials of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerWorkspace {
    pub name: String,
    /// Its API key.
    pub key: String,
    /// The budget that its calls are billed to.
    pub budget: String,
}

impl CallerSettings {
    /// Whether calls of `kind` may be repeated. A call can restrict the service's declaration but
    /// not relax it.
    pub fn may_repeat(&self, kind: CallKind) -> bool {
        match kind {
            CallKind::StreamedChat | CallKind::WholeChat => true,
            CallKind::Plain => self.repeatable,
            CallKind::NotRepeatable => false,
        }
    }

    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not TOML, has unknown keys, or lists no
    /// router or no workspace.
    pub fn try_read(path: impl AsRef<Path>) -> eyre::Result<Self> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let settings: CallerSettings =
            toml::from_str(&text).wrap_err_with(|| format!("in {}", path.display()))?;
        if settings.routers.is_empty() || settings.workspaces.is_empty() {
            eyre::bail!("{} lists no router or no workspace", path.display());
        }
        Ok(settings)
    }
}
