//! The `settings` module provides the settings of a router, read from its TOML file.
//!
//! All findings of a file are reported together, and a router does not start with invalid settings.
//! `docs/SETTINGS.md` lists every key with its default.

mod budget_settings;
mod limit_settings;
mod log_settings;
mod metric_settings;
mod peer_secret;
mod peer_settings;
mod platform_settings;
mod router_settings;
mod routing_settings;
mod settings_file;

pub use budget_settings::BudgetSettings;
pub use limit_settings::LimitSettings;
pub use log_settings::LogSettings;
pub use metric_settings::MetricSettings;
pub use peer_secret::PeerSecret;
pub use peer_settings::{PeerSettings, SeedSettings};
pub use platform_settings::PlatformSettings;
pub use router_settings::RouterSettings;
pub use routing_settings::RoutingSettings;
pub(crate) use settings_file::{load_settings, parse_settings, require_table};

use crate::findings::FindingList;

/// The findings of a settings file.
pub type SettingsFindings = FindingList;
