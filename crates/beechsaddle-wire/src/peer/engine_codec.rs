//! The `engine_codec` module provides the encoding of targets' load and engine state.

use beechsaddle_core::target::{EngineRole, EngineState, LoadReport};

use super::limits::ADAPTERS_MAX;
use super::text_codec::{check_count, check_name, check_text, read_name, read_text};
use crate::error::Result;
use crate::peer_capnp;

/// Encodes the load into the update of its target.
pub(super) fn write_load(load: &LoadReport, builder: &mut peer_capnp::target_news::Builder<'_>) {
    builder.set_has_load(true);
    builder.set_running(load.running);
    builder.set_waiting(load.waiting);
    builder.set_cache_permille(load.cache_permille);
}

/// Decodes the load from the update of its target.
pub(super) fn read_load(reader: peer_capnp::target_news::Reader<'_>) -> Option<LoadReport> {
    reader.get_has_load().then(|| LoadReport {
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        cache_permille: reader.get_cache_permille(),
    })
}

/// Encodes what an engine serves.
pub(super) fn write_engine(
    engine: &EngineState,
    mut builder: peer_capnp::engine_state::Builder<'_>,
) -> Result<()> {
    builder.set_model(check_name(engine.model.as_str())?);
    builder.set_version(engine.version);
    builder.set_role(match engine.role {
        EngineRole::Whole => peer_capnp::EngineRole::Whole,
        EngineRole::Prefill => peer_capnp::EngineRole::Prefill,
        EngineRole::Decode => peer_capnp::EngineRole::Decode,
    });
    if engine.adapters.is_empty() {
        return Ok(());
    }
    let count = check_count(engine.adapters.len(), ADAPTERS_MAX)?;
    let mut list = builder.init_adapters(count);
    for (index, adapter) in (0..count).zip(&engine.adapters) {
        list.set(index, check_text(adapter)?);
    }
    Ok(())
}

/// Decodes what an engine serves.
pub(super) fn read_engine(reader: peer_capnp::engine_state::Reader<'_>) -> Result<EngineState> {
    let list = reader.get_adapters()?;
    check_count(list.len() as usize, ADAPTERS_MAX)?;
    let mut adapters = Vec::new();
    for adapter in list.iter() {
        adapters.push(read_text(adapter?)?.to_owned());
    }
    Ok(EngineState {
        model: read_name(reader.get_model()?)?.into(),
        version: reader.get_version(),
        adapters,
        role: match reader.get_role()? {
            peer_capnp::EngineRole::Whole => EngineRole::Whole,
            peer_capnp::EngineRole::Prefill => EngineRole::Prefill,
            peer_capnp::EngineRole::Decode => EngineRole::Decode,
        },
    })
}
