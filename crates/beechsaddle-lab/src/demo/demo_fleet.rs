//! The `demo_fleet` module provides the fleet and catalogue of the demonstration.

use std::path::PathBuf;

use sha2::{Digest, Sha256};

use beechsaddle_core::catalogue::ServiceKind;

use crate::fleet::{FleetPlan, RouterPlan, TargetPlan};

/// The workspace of all calls.
pub const WORKSPACE: &str = "zadruga";
/// Its API key, of which the catalogue holds only the digest.
pub const KEY: &str = "zadruga-demo-key";
/// The budget that all calls are billed to.
pub const BUDGET: &str = "zadruga-2026";
/// The top-up of the budget in tokens.
pub const TOP_UP: u64 = 100_000;
/// The service of the engines.
pub const ENGINE_SERVICE: &str = "pomocnik";
/// The service of plain calls.
pub const PLAIN_SERVICE: &str = "trznica";
/// The cost of a call to the plain service in tokens.
pub const CALL_COST: u64 = 25;
/// The model of the engines.
pub const MODEL: &str = "small";

/// Returns a fleet of two domains with two routers and an engine each, and a plain service in the
/// first domain.
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

/// Returns the catalogue as an operator writes it.
pub fn catalogue() -> String {
    catalogue_with_top_ups(&[("first", TOP_UP)])
}

/// Returns the catalogue with other top-ups, given as ids and tokens.
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

/// Returns the digest of a workspace's key in the format of the catalogue.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("sha256:{digits}")
}
