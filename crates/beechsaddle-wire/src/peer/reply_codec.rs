//! The `reply_codec` module provides the encoding of replies to requests about calls, and of
//! refusals.

use beechsaddle_core::names::{CallId, KeyText};
use beechsaddle_core::refusal::{CallRefusal, RanState, RefusalReason};

use super::identity_codec::{read_call, write_call};
use super::text_codec::{check_name, read_name, read_text};
use crate::error::{Result, WireError};
use crate::peer_capnp;

/// Encodes the reply to an admit request.
pub(super) fn write_admit_reply(
    call: &CallId,
    outcome: &std::result::Result<KeyText, CallRefusal>,
    mut builder: peer_capnp::admit_reply::Builder<'_>,
) -> Result<()> {
    write_call(call, builder.reborrow().init_call())?;
    match outcome {
        Ok(journal) => builder.set_journal(check_name(journal.as_str())?),
        Err(refusal) => write_refusal(refusal, builder.init_refused()),
    }
    Ok(())
}

/// Decodes the reply to an admit request.
pub(super) fn read_admit_reply(
    reader: peer_capnp::admit_reply::Reader<'_>,
) -> Result<(CallId, std::result::Result<KeyText, CallRefusal>)> {
    let call = read_call(reader.get_call()?)?;
    let outcome = match reader.which()? {
        peer_capnp::admit_reply::Journal(journal) => Ok(read_name(journal?)?.into()),
        peer_capnp::admit_reply::Refused(refusal) => Err(read_refusal(refusal?)?),
    };
    Ok((call, outcome))
}

/// Encodes the reply to a record request.
pub(super) fn write_record_reply(
    call: &CallId,
    outcome: &std::result::Result<(), CallRefusal>,
    mut builder: peer_capnp::record_reply::Builder<'_>,
) -> Result<()> {
    write_call(call, builder.reborrow().init_call())?;
    match outcome {
        Ok(()) => builder.set_durable(()),
        Err(refusal) => write_refusal(refusal, builder.init_refused()),
    }
    Ok(())
}

/// Decodes the reply to a record request.
pub(super) fn read_record_reply(
    reader: peer_capnp::record_reply::Reader<'_>,
) -> Result<(CallId, std::result::Result<(), CallRefusal>)> {
    let call = read_call(reader.get_call()?)?;
    let outcome = match reader.which()? {
        peer_capnp::record_reply::Durable(()) => Ok(()),
        peer_capnp::record_reply::Refused(refusal) => Err(read_refusal(refusal?)?),
    };
    Ok((call, outcome))
}

/// Encodes the report that a call does not run under a reservation.
pub(super) fn write_unknown(
    call: &CallId,
    journal: &KeyText,
    mut builder: peer_capnp::call_unknown::Builder<'_>,
) -> Result<()> {
    write_call(call, builder.reborrow().init_call())?;
    builder.set_journal(check_name(journal.as_str())?);
    Ok(())
}

/// Decodes the report that a call does not run under a reservation.
pub(super) fn read_unknown(
    reader: peer_capnp::call_unknown::Reader<'_>,
) -> Result<(CallId, KeyText)> {
    let call = read_call(reader.get_call()?)?;
    Ok((call, read_name(reader.get_journal()?)?.into()))
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
