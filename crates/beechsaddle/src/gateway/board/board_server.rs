//! The `board_server` module provides this router's answers to routers that exchange notes with it.

use std::rc::Rc;

use beechsaddle_core::gateway::{BoardSource, NoteScope, TargetNote};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::target_board;

use super::board_exchange::{count_received, count_sent};
use super::board_link::{read_notes, write_notes};
use crate::gateway::peer_server::PeerServer;

/// The size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;

impl target_board::Server for PeerServer {
    async fn exchange_notes(
        self: Rc<Self>,
        parameters: target_board::ExchangeNotesParams,
        mut results: target_board::ExchangeNotesResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let state = &self.state;
        let settings = state.settings();
        if !settings.policy.shares_target_speeds {
            let reason = "the exchange is switched off".to_owned();
            return Err(capnp::Error::unimplemented(reason));
        }
        let now = state.now();
        let host = HostName::new(parameters.get_host()?.to_str()?);
        let domain = DomainName::new(parameters.get_domain()?.to_str()?);
        let is_foreign = domain != settings.domain;
        let received = read_notes(now, parameters.get_notes()?);
        let requests_all = received.notes.iter().any(TargetNote::requests_all);
        let source = match is_foreign {
            true => BoardSource::Domain(domain),
            false => BoardSource::Router(host.clone()),
        };
        let scope = match parameters.get_is_domain() {
            true => NoteScope::Domain,
            false => NoteScope::Router,
        };
        count_received(state, &source, scope, received);
        let board = &state.board;
        let notes = board.next_answer(now, &host, is_foreign, requests_all);
        let mut answer = results.get();
        let list = answer.reborrow().init_notes(notes.len() as u32);
        write_notes(now, &notes, list);
        let size = answer.into_reader().total_size()?;
        count_sent(state, notes.len(), size.word_count * WORD_BYTES);
        Ok(())
    }
}
