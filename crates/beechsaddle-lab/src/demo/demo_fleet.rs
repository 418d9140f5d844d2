//! The `demo_fleet` module provides what the demonstration's fleet is made of.

use std::path::PathBuf;

use sha2::{Digest, Sha256};

use beechsaddle_core::catalogue::ServiceKind;

use crate::fleet::{FleetPlan, RouterPlan, TargetPlan};

/// The workspace that calls.
pub const WORKSPACE: &str = "zadruga";
/// Its key. The catalogue has only the digest of it.
pub const KEY: &str = "zadruga-demo-key";
/// Its budget.
pub const BUDGET: &str = "zadruga-2026";
/// What was paid into the budget, in tokens.
pub const TOP_UP: u64 = 100_000;
/// The service of the engines.
pub const ENGINE_SERVICE: &str = "pomocnik";
/// The plain service.
pub const PLAIN_SERVICE: &str = "trznica";
/// What a call to the plain service costs, in tokens.
pub const CALL_COST: u64 = 25;
/// The model of the engines.
pub const MODEL: &str = "small";

/// The fleet: two domains with two routers and an engine each, and a plain service in the first.
pub fn plan(program: PathBuf) -> FleetPlan {
    let (split, rijeka) = ("split-hala", "rijeka-hala");
    FleetPlan {
        program,
        region: "jadran".to_owned(),
        routers: vec![
            RouterPlan::new("split-1", split),
            RouterPlan::new("split-2", split),
            RouterPlan::new("rijeka-1", rijeka),
            RouterPlan::new("rijeka-2", rijeka),
        ],
        targets: vec![
            TargetPlan::new("pomocnik-1", split, ENGINE_SERVICE, ServiceKind::Engine),
            TargetPlan::new("pomocnik-2", rijeka, ENGINE_SERVICE, ServiceKind::Engine),
            TargetPlan::new("trznica-1", split, PLAIN_SERVICE, ServiceKind::Plain),
        ],
        catalogue: catalogue(),
        settings: String::new(),
    }
}

/// The catalogue as an operator writes it.
pub fn catalogue() -> String {
    catalogue_with_top_ups(&[("first", TOP_UP)])
}

/// The same with other top-ups.
pub fn catalogue_with_top_ups(top_ups: &[(&str, u64)]) -> String {
    let top_ups: String = top_ups
        .iter()
        .map(|(id, tokens)| format!("[[budget.top_up]]\nid = \"{id}\"\ntokens = {tokens}\n\n"))
        .collect();
    let digest = key_digest(KEY);
    format!(
        r#"[[workspace]]
name = "{WORKSPACE}"
owner = "ana"
class = "critical"
keys = ["{digest}"]
budget = "{BUDGET}"
services = ["{ENGINE_SERVICE}", "{PLAIN_SERVICE}"]
models = ["{MODEL}"]

[[budget]]
name = "{BUDGET}"
owner = "ana"
workspace = "{WORKSPACE}"

{top_ups}[[service]]
name = "{ENGINE_SERVICE}"
owner = "ana"
kind = "engine"

[[service]]
name = "{PLAIN_SERVICE}"
owner = "ana"
kind = "plain"
repeatable = true
call_cost = {CALL_COST}

[[model]]
name = "{MODEL}"
owner = "ana"
service = "{ENGINE_SERVICE}"
output_limit = 16384
"#
    )
}

/// The digest of a workspace's key as it stands in a catalogue.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("sha256:{digits}")
}
