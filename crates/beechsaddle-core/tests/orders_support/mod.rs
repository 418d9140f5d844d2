//! The `orders_support` module provides a bench of routers that order engines.

#![allow(dead_code, unused_imports)]

mod fake_engine;
mod order_bench;
mod order_envelope;

use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueEntry, EntryClass, EntryHeader, EntryLimits, ModelEntry, ServiceEntry,
    ServiceKind,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineRole, EngineState};

pub use fake_engine::FakeEngine;
pub use order_bench::OrderBench;
pub use order_envelope::Envelope;

/// The service of all engines.
pub const SERVICE: &str = "pomocnik";

/// Returns a model that differs from others only in its name and version.
pub fn model(name: &str, version: u64) -> ModelEntry {
    ModelEntry {
        header: header(),
        name: ModelName::new(name),
        service: ServiceName::new(SERVICE),
        version,
        adapters: vec!["alergeni".to_owned()],
        role: EngineRole::Whole,
        output_limit: 1_000,
    }
}

/// Returns the engine state that serves a model.
pub fn state(name: &str, version: u64) -> EngineState {
    EngineState {
        model: ModelName::new(name),
        version,
        adapters: vec!["alergeni".to_owned()],
        role: EngineRole::Whole,
    }
}

impl OrderBench {
    /// Loads a catalogue with these models at a router.
    pub fn declare(&mut self, node: usize, revision: u64, models: &[ModelEntry]) {
        let service = ServiceEntry {
            header: header(),
            name: ServiceName::new(SERVICE),
            kind: ServiceKind::Engine,
            repeatable: true,
            call_cost: 0,
            head_timeout_ms: 1_000,
        };
        let mut entries = vec![(revision, CatalogueEntry::Service(service))];
        for model in models {
            entries.push((revision, CatalogueEntry::Model(model.clone())));
        }
        let base = CatalogueBase { revision, entries };
        assert!(self.nodes[node].catalogue.load_base([base]));
    }
}

fn header() -> EntryHeader {
    EntryHeader {
        owner: OwnerName::new("nocna-smjena"),
        class: EntryClass::Standard,
        limits: EntryLimits::default(),
    }
}
