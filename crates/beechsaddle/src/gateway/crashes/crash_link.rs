//! The `crash_link` module provides the messages about crashes and trials to other routers.

use beechsaddle_core::gateway::{CrashFacts, CrashReport, PeerRecord, SuspectKey, TrialReply};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::{crash_listener, crash_note};

use crate::gateway::peer_codec::{read_incarnation, time_before};
use crate::gateway::peer_link::PeerLinks;

impl PeerLinks {
    /// Sends crash reports to a router; `is_broadcast` states that this router sends them to the receiver's
    /// whole domain itself.
    pub(super) async fn send_crashes(
        &self,
        peer: &PeerRecord,
        secret: &str,
        now: ClockTime,
        reports: &[CrashReport],
        is_broadcast: bool,
    ) -> Result<(), String> {
        let client = self.crash_listener(peer).await?;
        let mut call = client.note_crashes_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_is_spread(is_broadcast);
        let mut messages = parameters.init_notes(reports.len() as u32);
        for (index, report) in reports.iter().enumerate() {
            write_crash(messages.reborrow().get(index as u32), now, report);
        }
        match call.send().promise.await {
            Ok(_) => Ok(()),
            // Routers of older versions do not support the call, and block no requests.
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => Ok(()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Asks a router whether a request may be the trial of a suspect.
    pub(super) async fn request_trial(
        &self,
        peer: &PeerRecord,
        secret: &str,
        key: SuspectKey,
    ) -> Result<TrialReply, String> {
        let client = self.crash_listener(peer).await?;
        let mut call = client.begin_trial_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_fingerprint(&key.to_bytes());
        let reply = match call.send().promise.await {
            Ok(reply) => reply,
            // Routers of older versions do not support the call, and try such requests themselves.
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => {
                return Ok(TrialReply::Granted);
            }
            Err(error) => return Err(error.to_string()),
        };
        let answer = reply.get().map_err(|error| error.to_string())?;
        match answer.get_is_granted() {
            true => Ok(TrialReply::Granted),
            false => Ok(TrialReply::Wait {
                wait_ms: answer.get_wait_ms(),
            }),
        }
    }

    /// Tells the router that granted a trial that the request has ended.
    pub(super) async fn end_trial(
        &self,
        peer: &PeerRecord,
        secret: &str,
        key: SuspectKey,
    ) -> Result<(), String> {
        let client = self.crash_listener(peer).await?;
        let mut call = client.end_trial_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_fingerprint(&key.to_bytes());
        let ended = call.send().promise.await;
        ended.map(|_| ()).map_err(|error| error.to_string())
    }

    async fn crash_listener(&self, peer: &PeerRecord) -> Result<crash_listener::Client, String> {
        let client = self.open_client(peer).await?;
        Ok(crash_listener::Client { client })
    }
}

/// Encodes a crash report. Times are sent as ages, since the clocks of hosts differ.
pub(super) fn write_crash(
    mut message: crash_note::Builder<'_>,
    now: ClockTime,
    report: &CrashReport,
) {
    let facts = report.facts;
    message.set_fingerprint(&report.key.to_bytes());
    message.set_target(report.target.name.as_str());
    message.set_started(report.target.started.unwrap_or(0));
    message.set_known_before(facts.known_before);
    message.set_run_ms(facts.run_ms);
    message.set_is_cleared(facts.is_cleared);
    message.set_age_ms(now.since(facts.seen_at));
}

/// Decodes a crash report.
///
/// # Errors
///
/// If the message is malformed.
pub(super) fn read_crash(
    message: crash_note::Reader<'_>,
    now: ClockTime,
) -> Result<CrashReport, capnp::Error> {
    let key = read_key(message.get_fingerprint()?)?;
    Ok(CrashReport {
        key,
        target: read_incarnation(message.get_target()?, message.get_started())?,
        facts: CrashFacts {
            known_before: message.get_known_before(),
            run_ms: message.get_run_ms(),
            is_cleared: message.get_is_cleared(),
            seen_at: time_before(now, message.get_age_ms()),
        },
    })
}

/// Decodes the key of a suspect.
///
/// # Errors
///
/// If the message is malformed.
pub(super) fn read_key(bytes: &[u8]) -> Result<SuspectKey, capnp::Error> {
    let key = SuspectKey::try_from_bytes(bytes);
    key.ok_or_else(|| capnp::Error::failed("a fingerprint has 16 bytes".to_owned()))
}
