//! The `admission_codec` module provides the encoding of messages about calls and budgets.

use beechsaddle_core::names::{CallId, KeyText};
use beechsaddle_core::peer::{AdmitRequest, CallProgress, RecordRequest, SettleRequest, UsageCopy};

use super::identity_codec::{read_call, read_key, write_call, write_key};
use super::limits::CALLS_MAX;
use super::text_codec::{check_count, check_name, read_name};
use crate::error::Result;
use crate::peer_capnp;

/// Encodes an admit request.
pub(super) fn write_admit(
    request: &AdmitRequest,
    mut builder: peer_capnp::admit_request::Builder<'_>,
) -> Result<()> {
    write_call(&request.call, builder.reborrow().init_call())?;
    write_key(&request.key, builder.reborrow().init_key())?;
    builder.set_budget(check_name(request.budget.as_str())?);
    builder.set_bound(request.bound);
    Ok(())
}

/// Decodes an admit request.
pub(super) fn read_admit(reader: peer_capnp::admit_request::Reader<'_>) -> Result<AdmitRequest> {
    Ok(AdmitRequest {
        call: read_call(reader.get_call()?)?,
        key: read_key(reader.get_key()?)?,
        budget: read_name(reader.get_budget()?)?.into(),
        bound: reader.get_bound(),
    })
}

/// Encodes the usage of running calls.
pub(super) fn write_progress(
    calls: &[CallProgress],
    mut builder: capnp::struct_list::Builder<'_, peer_capnp::call_progress::Owned>,
) -> Result<()> {
    for (index, progress) in (0..builder.len()).zip(calls) {
        let mut item = builder.reborrow().get(index);
        write_call(&progress.call, item.reborrow().init_call())?;
        item.set_tokens(progress.tokens);
    }
    Ok(())
}

/// Decodes the usage of running calls.
pub(super) fn read_progress(
    list: capnp::struct_list::Reader<'_, peer_capnp::call_progress::Owned>,
) -> Result<Vec<CallProgress>> {
    check_count(list.len() as usize, CALLS_MAX)?;
    list.iter()
        .map(|item| {
            Ok(CallProgress {
                call: read_call(item.get_call()?)?,
                tokens: item.get_tokens(),
            })
        })
        .collect()
}

/// Encodes call ids.
pub(super) fn write_calls(
    calls: &[CallId],
    mut builder: capnp::struct_list::Builder<'_, peer_capnp::call_name::Owned>,
) -> Result<()> {
    for (index, call) in (0..builder.len()).zip(calls) {
        write_call(call, builder.reborrow().get(index))?;
    }
    Ok(())
}

/// Decodes call ids.
pub(super) fn read_calls(
    list: capnp::struct_list::Reader<'_, peer_capnp::call_name::Owned>,
) -> Result<Vec<CallId>> {
    check_count(list.len() as usize, CALLS_MAX)?;
    list.iter().map(read_call).collect()
}

/// Encodes a settle request.
pub(super) fn write_settle(
    request: &SettleRequest,
    mut builder: peer_capnp::settle_request::Builder<'_>,
) -> Result<()> {
    write_call(&request.call, builder.reborrow().init_call())?;
    write_key(&request.key, builder.reborrow().init_key())?;
    builder.set_budget(check_name(request.budget.as_str())?);
    builder.set_bound(request.bound);
    builder.set_tokens(request.tokens);
    builder.set_ran(request.ran);
    builder.set_complete(request.complete);
    if let Some(journal) = &request.against {
        builder.set_against(check_name(journal.as_str())?);
    }
    Ok(())
}

/// Decodes a settle request.
pub(super) fn read_settle(reader: peer_capnp::settle_request::Reader<'_>) -> Result<SettleRequest> {
    Ok(SettleRequest {
        call: read_call(reader.get_call()?)?,
        key: read_key(reader.get_key()?)?,
        budget: read_name(reader.get_budget()?)?.into(),
        bound: reader.get_bound(),
        tokens: reader.get_tokens(),
        ran: reader.get_ran(),
        complete: reader.get_complete(),
        against: read_against(reader)?,
    })
}

fn read_against(reader: peer_capnp::settle_request::Reader<'_>) -> Result<Option<KeyText>> {
    match reader.has_against() {
        true => Ok(Some(read_name(reader.get_against()?)?.into())),
        false => Ok(None),
    }
}

/// Encodes the usage of a call for its backup router.
pub(super) fn write_usage_copy(
    copy: &UsageCopy,
    mut builder: peer_capnp::witness_note::Builder<'_>,
) -> Result<()> {
    builder.set_journal(check_name(copy.journal.as_str())?);
    builder.set_ended(copy.ended);
    write_settle(&copy.settle, builder.init_settle())
}

/// Decodes the usage of a call for its backup router.
pub(super) fn read_usage_copy(reader: peer_capnp::witness_note::Reader<'_>) -> Result<UsageCopy> {
    Ok(UsageCopy {
        journal: read_name(reader.get_journal()?)?.into(),
        settle: read_settle(reader.get_settle()?)?,
        ended: reader.get_ended(),
    })
}

/// Encodes a record request.
pub(super) fn write_record(
    request: &RecordRequest,
    mut builder: peer_capnp::record_request::Builder<'_>,
) -> Result<()> {
    write_call(&request.call, builder.reborrow().init_call())?;
    write_key(&request.key, builder.init_key())
}

/// Decodes a record request.
pub(super) fn read_record(reader: peer_capnp::record_request::Reader<'_>) -> Result<RecordRequest> {
    Ok(RecordRequest {
        call: read_call(reader.get_call()?)?,
        key: read_key(reader.get_key()?)?,
    })
}
