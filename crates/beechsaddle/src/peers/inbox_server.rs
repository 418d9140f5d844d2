//! The `inbox_server` module provides the calls available to an authenticated peer.

use std::rc::Rc;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::report::{CounterName, LogLevel};
use beechsaddle_wire::WireError;
use beechsaddle_wire::peer::{BATCH_MESSAGES_MAX, read_message};
use beechsaddle_wire::peer_capnp::peer_inbox;

use super::edge_context::EdgeContext;
use super::peers_stats::add;

/// Receives the messages of one authenticated peer. The sender is always the authenticated one; a
/// message cannot name another.
pub(super) struct InboxServer {
    from: RouterIncarnation,
    context: Rc<EdgeContext>,
}

impl InboxServer {
    /// Creates an inbox for one peer.
    pub(super) fn new(from: RouterIncarnation, context: Rc<EdgeContext>) -> Self {
        InboxServer { from, context }
    }

    fn take(&self, parameters: &peer_inbox::DeliverParams) -> Result<(), capnp::Error> {
        let messages = parameters.get()?.get_messages()?;
        if messages.len() as usize > BATCH_MESSAGES_MAX {
            return Err(capnp::Error::failed("too many messages".to_owned()));
        }
        for message in messages.iter() {
            // An unknown message of a newer version must not discard the others in the batch.
            match read_message(message) {
                Ok(message) => self.context.send_to_core(&self.from, message),
                Err(error) => self.record_invalid(&error),
            }
        }
        Ok(())
    }

    fn record_invalid(&self, error: &WireError) {
        add(&self.context.stats.invalid, 1);
        let reports = &self.context.reports;
        reports.count(CounterName::PeerMessagesInvalid);
        reports.log(
            LogLevel::Warning,
            "peer_message_invalid",
            [
                ("peer", self.from.to_string()),
                ("reason", error.to_string()),
            ],
        );
    }
}

impl peer_inbox::Server for InboxServer {
    async fn deliver(
        self: Rc<Self>,
        parameters: peer_inbox::DeliverParams,
        _results: peer_inbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.take(&parameters)
    }
}
