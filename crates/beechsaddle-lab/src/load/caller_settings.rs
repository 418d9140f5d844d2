//! The `caller_settings` module provides what callers have to know of a fleet.

use std::path::Path;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use super::CallKind;

/// Where a fleet is and what its callers ask for, read from a TOML file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Where routers take calls, as `address:port`.
    pub routers: Vec<String>,
    /// Where the platform's stand-in listens; without it no statement is checked.
    #[serde(default)]
    pub platform: Option<String>,
    /// Where the targets' stand-ins listen; without them nobody can tell what ran.
    #[serde(default)]
    pub targets: Vec<String>,
    /// The model that chats ask for.
    pub model: String,
    /// The service that plain calls ask for.
    pub service: String,
    /// What a plain call costs, in tokens.
    #[serde(default)]
    pub call_cost: u64,
    /// Whether the service declares that its calls may be repeated.
    #[serde(default)]
    pub repeatable: bool,
    /// The workspaces, the busiest first.
    pub workspaces: Vec<CallerWorkspace>,
}

/// A workspace as its callers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerWorkspace {
    /// Its name.
    pub name: String,
    /// Its key.
    pub key: String,
    /// The budget to spend.
    pub budget: String,
}

impl CallerSettings {
    /// Whether a call of a kind may be repeated; a call can only narrow what its service declares.
    pub fn may_repeat(&self, kind: CallKind) -> bool {
        match kind {
            CallKind::StreamedChat | CallKind::WholeChat => true,
            CallKind::Plain => self.repeatable,
            CallKind::NotRepeatable => false,
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// When it cannot be read, is not TOML, has unknown keys, or names no router or workspace.
    pub fn try_read(path: impl AsRef<Path>) -> eyre::Result<Self> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let settings: CallerSettings =
            toml::from_str(&text).wrap_err_with(|| format!("in {}", path.display()))?;
        if settings.routers.is_empty() || settings.workspaces.is_empty() {
            eyre::bail!("{} names no router or no workspace", path.display());
        }
        Ok(settings)
    }
}
