//! The `identity_codec` module provides the encoding of incarnations, call ids and idempotency
//! keys.

use beechsaddle_core::names::{CallId, KeyOrigin, RequestKey, RouterIncarnation};

use super::text_codec::{check_name, read_name};
use crate::error::Result;
use crate::peer_capnp;

/// Encodes an incarnation.
pub(super) fn write_incarnation(
    router: &RouterIncarnation,
    mut builder: peer_capnp::incarnation::Builder<'_>,
) -> Result<()> {
    builder.set_host(check_name(router.host.as_str())?);
    builder.set_epoch(router.epoch);
    Ok(())
}

/// Decodes an incarnation.
pub(super) fn read_incarnation(
    reader: peer_capnp::incarnation::Reader<'_>,
) -> Result<RouterIncarnation> {
    let host = read_name(reader.get_host()?)?;
    Ok(RouterIncarnation::new(host, reader.get_epoch()))
}

/// Encodes a call id.
pub(super) fn write_call(
    call: &CallId,
    mut builder: peer_capnp::call_name::Builder<'_>,
) -> Result<()> {
    write_incarnation(&call.router, builder.reborrow().init_router())?;
    builder.set_number(call.number);
    Ok(())
}

/// Decodes a call id.
pub(super) fn read_call(reader: peer_capnp::call_name::Reader<'_>) -> Result<CallId> {
    Ok(CallId {
        router: read_incarnation(reader.get_router()?)?,
        number: reader.get_number(),
    })
}

/// Encodes an idempotency key.
pub(super) fn write_key(
    key: &RequestKey,
    mut builder: peer_capnp::request_key::Builder<'_>,
) -> Result<()> {
    builder.set_workspace(check_name(key.workspace.as_str())?);
    builder.set_text(check_name(key.text.as_str())?);
    builder.set_origin(match key.origin {
        KeyOrigin::Caller => peer_capnp::KeyOrigin::Caller,
        KeyOrigin::Router => peer_capnp::KeyOrigin::Router,
    });
    Ok(())
}

/// Decodes an idempotency key.
pub(super) fn read_key(reader: peer_capnp::request_key::Reader<'_>) -> Result<RequestKey> {
    Ok(RequestKey {
        workspace: read_name(reader.get_workspace()?)?.into(),
        text: read_name(reader.get_text()?)?.into(),
        origin: match reader.get_origin()? {
            peer_capnp::KeyOrigin::Caller => KeyOrigin::Caller,
            peer_capnp::KeyOrigin::Router => KeyOrigin::Router,
        },
    })
}
