//! The `admission_codec` module provides what routers tell each other of calls and budgets.

use beechsaddle_core::names::{CallId, KeyText};
use beechsaddle_core::peer::{
    AdmitRequest, CallProgress, RecordRequest, SettleRequest, WitnessNote,
};
use beechsaddle_core::refusal::{CallRefusal, RanState, RefusalReason};

use super::identity_codec::{read_call, read_key, write_call, write_key};
use super::limits::CALLS_MAX;
use super::text_codec::{check_count, check_name, read_name, read_text};
use crate::error::{Result, WireError};
use crate::peer_capnp;

/// Writes an admit request.
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

/// Reads an admit request.
pub(super) fn read_admit(reader: peer_capnp::admit_request::Reader<'_>) -> Result<AdmitRequest> {
    Ok(AdmitRequest {
        call: read_call(reader.get_call()?)?,
        key: read_key(reader.get_key()?)?,
        budget: read_name(reader.get_budget()?)?.into(),
        bound: reader.get_bound(),
    })
}

/// Writes the answer to an admit request.
pub(super) fn write_admit_reply(
    call: &CallId,
    outcome: &std::result::Result<KeyText, CallRefusal>,
    mut builder: peer_capnp::admit_reply::Builder<'_>,
) -> Result<()> {
    write_call(call, builder.reborrow().init_call())?;
    match outcome {
        Ok(journal) => builder.set_granted(check_name(journal.as_str())?),
        Err(refusal) => write_refusal(refusal, builder.init_refused()),
    }
    Ok(())
}

/// Reads the answer to an admit request.
pub(super) fn read_admit_reply(
    reader: peer_capnp::admit_reply::Reader<'_>,
) -> Result<(CallId, std::result::Result<KeyText, CallRefusal>)> {
    let call = read_call(reader.get_call()?)?;
    let outcome = match reader.which()? {
        peer_capnp::admit_reply::Granted(journal) => Ok(read_name(journal?)?.into()),
        peer_capnp::admit_reply::Refused(refusal) => Err(read_refusal(refusal?)?),
    };
    Ok((call, outcome))
}

/// Writes that a reservation is not used.
pub(super) fn write_unknown(
    call: &CallId,
    journal: &KeyText,
    mut builder: peer_capnp::call_unknown::Builder<'_>,
) -> Result<()> {
    builder.set_journal(check_name(journal.as_str())?);
    write_call(call, builder.init_call())
}

/// Reads that a reservation is not used.
pub(super) fn read_unknown(
    reader: peer_capnp::call_unknown::Reader<'_>,
) -> Result<(CallId, KeyText)> {
    let journal = read_name(reader.get_journal()?)?.into();
    Ok((read_call(reader.get_call()?)?, journal))
}

/// Writes the answer to a request about a call.
pub(super) fn write_outcome(
    call: &CallId,
    outcome: &std::result::Result<(), CallRefusal>,
    mut builder: peer_capnp::outcome::Builder<'_>,
) -> Result<()> {
    write_call(call, builder.reborrow().init_call())?;
    match outcome {
        Ok(()) => builder.set_granted(()),
        Err(refusal) => write_refusal(refusal, builder.init_refused()),
    }
    Ok(())
}

/// Reads the answer to a request about a call.
pub(super) fn read_outcome(
    reader: peer_capnp::outcome::Reader<'_>,
) -> Result<(CallId, std::result::Result<(), CallRefusal>)> {
    let call = read_call(reader.get_call()?)?;
    let outcome = match reader.which()? {
        peer_capnp::outcome::Granted(()) => Ok(()),
        peer_capnp::outcome::Refused(refusal) => Err(read_refusal(refusal?)?),
    };
    Ok((call, outcome))
}

fn write_refusal(refusal: &CallRefusal, mut builder: peer_capnp::refusal::Builder<'_>) {
    builder.set_reason(refusal.reason.as_str());
    builder.set_ran(match refusal.ran {
        RanState::No => peer_capnp::RanState::No,
        RanState::Unknown => peer_capnp::RanState::Unknown,
    });
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        builder.set_has_retry_after(true);
        builder.set_retry_after_ms(retry_after_ms);
    }
}

fn read_refusal(reader: peer_capnp::refusal::Reader<'_>) -> Result<CallRefusal> {
    Ok(CallRefusal {
        reason: read_reason(read_text(reader.get_reason()?)?)?,
        ran: match reader.get_ran()? {
            peer_capnp::RanState::No => RanState::No,
            peer_capnp::RanState::Unknown => RanState::Unknown,
        },
        retry_after_ms: reader
            .get_has_retry_after()
            .then(|| reader.get_retry_after_ms()),
    })
}

fn read_reason(text: &str) -> Result<RefusalReason> {
    RefusalReason::ALL
        .into_iter()
        .find(|reason| reason.as_str() == text)
        .ok_or_else(|| WireError::Decode("unknown refusal reason".to_owned()))
}

/// Writes the usage of running calls.
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

/// Reads the usage of running calls.
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

/// Writes call ids.
pub(super) fn write_calls(
    calls: &[CallId],
    mut builder: capnp::struct_list::Builder<'_, peer_capnp::call_name::Owned>,
) -> Result<()> {
    for (index, call) in (0..builder.len()).zip(calls) {
        write_call(call, builder.reborrow().get(index))?;
    }
    Ok(())
}

/// Reads call ids.
pub(super) fn read_calls(
    list: capnp::struct_list::Reader<'_, peer_capnp::call_name::Owned>,
) -> Result<Vec<CallId>> {
    check_count(list.len() as usize, CALLS_MAX)?;
    list.iter().map(read_call).collect()
}

/// Writes a settle request.
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

/// Reads a settle request.
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

/// Writes the copy of a call.
pub(super) fn write_witness(
    note: &WitnessNote,
    mut builder: peer_capnp::witness_note::Builder<'_>,
) -> Result<()> {
    builder.set_journal(check_name(note.journal.as_str())?);
    builder.set_ended(note.ended);
    write_settle(&note.settle, builder.init_settle())
}

/// Reads the copy of a call.
pub(super) fn read_witness(reader: peer_capnp::witness_note::Reader<'_>) -> Result<WitnessNote> {
    Ok(WitnessNote {
        journal: read_name(reader.get_journal()?)?.into(),
        settle: read_settle(reader.get_settle()?)?,
        ended: reader.get_ended(),
    })
}

/// Writes a record request.
pub(super) fn write_record(
    request: &RecordRequest,
    mut builder: peer_capnp::record_request::Builder<'_>,
) -> Result<()> {
    write_call(&request.call, builder.reborrow().init_call())?;
    write_key(&request.key, builder.init_key())
}

/// Reads a record request.
pub(super) fn read_record(reader: peer_capnp::record_request::Reader<'_>) -> Result<RecordRequest> {
    Ok(RecordRequest {
        call: read_call(reader.get_call()?)?,
        key: read_key(reader.get_key()?)?,
    })
}
