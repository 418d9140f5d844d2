//! The `router_file` module provides the settings file of a router.

use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use toml::{Table, Value};

use super::fleet_plan::RouterPlan;
use super::free_address::free_address;

/// A router with its addresses.
#[derive(Clone, Debug)]
pub struct RouterFile {
    /// The plan of the router.
    pub plan: RouterPlan,
    /// Address for calls.
    pub call_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
}

/// Settings that all routers of a fleet share.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub region: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Shared secret for the authentication of peers.
    pub secret: String,
    /// Additional settings as TOML, which override generated ones.
    pub settings: String,
}

impl RouterFile {
    /// Chooses unused addresses for a router.
    pub fn try_new(plan: &RouterPlan) -> eyre::Result<Self> {
        Ok(RouterFile {
            plan: plan.clone(),
            call_address: free_address()?,
            peer_address: free_address()?,
            admin_address: free_address()?,
        })
    }

    /// Returns the settings as TOML, with the other routers of the fleet as seeds.
    pub fn try_text(&self, shared: &FleetSettings, fleet: &[RouterFile]) -> eyre::Result<String> {
        let mut settings = Table::new();
        settings.insert("router".to_owned(), self.identity(&shared.region));
        let address = shared.platform.to_string();
        settings.insert("platform".to_owned(), table([("address", address)]));
        let mut peers = table([("secret", shared.secret.clone())]);
        if let Some(peers) = peers.as_table_mut() {
            peers.insert("seed".to_owned(), self.seeds(fleet));
        }
        settings.insert("peers".to_owned(), peers);
        let further: Table =
            toml::from_str(&shared.settings).wrap_err("the additional settings are not TOML")?;
        add_tables(&mut settings, further)?;
        Ok(toml::to_string(&settings)?)
    }

    fn identity(&self, region: &str) -> Value {
        table([
            ("host", self.plan.host.to_string()),
            ("domain", self.plan.domain.to_string()),
            ("region", region.to_owned()),
            ("call_address", self.call_address.to_string()),
            ("peer_address", self.peer_address.to_string()),
            ("admin_address", self.admin_address.to_string()),
        ])
    }

    fn seeds(&self, fleet: &[RouterFile]) -> Value {
        let others = fleet
            .iter()
            .filter(|router| router.plan.host != self.plan.host);
        let seeds = others.map(|router| {
            table([
                ("host", router.plan.host.to_string()),
                ("domain", router.plan.domain.to_string()),
                ("address", router.peer_address.to_string()),
            ])
        });
        Value::Array(seeds.collect())
    }
}

fn table(pairs: impl IntoIterator<Item = (&'static str, String)>) -> Value {
    let pairs = pairs
        .into_iter()
        .map(|(key, text)| (key.to_owned(), Value::String(text)));
    Value::Table(pairs.collect())
}

fn add_tables(settings: &mut Table, further: Table) -> eyre::Result<()> {
    for (name, value) in further {
        let Value::Table(keys) = value else {
            return Err(eyre!("{name} is not a table"));
        };
        let entry = settings.entry(name).or_insert(Value::Table(Table::new()));
        if let Some(present) = entry.as_table_mut() {
            present.extend(keys);
        }
    }
    Ok(())
}
