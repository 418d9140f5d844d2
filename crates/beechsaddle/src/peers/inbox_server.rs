//! The `inbox_server` module provides what a proven peer may call.

use std::rc::Rc;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::report::{CounterName, LogLevel};
use beechsaddle_wire::WireError;
use beechsaddle_wire::peer::{BATCH_MESSAGES_MAX, read_message};
use beechsaddle_wire::peer_capnp::peer_inbox;

use super::edge_context::EdgeContext;
use super::peers_stats::add;

/// Takes the messages of one proven peer. The sender is the one that was proven; a message cannot
/// claim another.
pub(super) struct InboxServer {
    from: RouterIncarnation,
    context: Rc<EdgeContext>,
}

impl InboxServer {
    /// An inbox for one peer.
    pub(super) fn new(from: RouterIncarnation, context: Rc<EdgeContext>) -> Self {
        InboxServer { from, context }
    }

    fn take(&self, parameters: &peer_inbox::DeliverParams) -> Result<(), capnp::Error> {
        let messages = parameters.get()?.get_messages()?;
        if messages.len() as usize > BATCH_MESSAGES_MAX {
            return Err(capnp::Error::failed("too many messages".to_owned()));
        }
        for message in messages.iter() {
            // One message of a newer version must not cost the others that came with it.
            match read_message(message) {
                Ok(message) => self.context.hand_over(&self.from, message),
                Err(error) => self.note_invalid(&error),
            }
        }
        Ok(())
    }

    fn note_invalid(&self, error: &WireError) {
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
