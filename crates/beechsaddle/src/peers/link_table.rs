//! The `link_table` module provides the links to all peers that this router sends to.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::peer::PeerMessage;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::edge_context::EdgeContext;
use super::link_state::LinkState;
use super::peer_link::PeerLink;

/// A message from the core for a link.
#[derive(Debug)]
pub(super) struct OutboundMessage {
    pub(super) to: RouterIncarnation,
    /// Listen address of the receiver.
    pub(super) address: String,
    pub(super) message: PeerMessage,
}

struct LinkEntry {
    address: String,
    state: Rc<LinkState>,
    task: AbortOnDropHandle<()>,
}

/// The links to all peers that this router sends to.
pub(super) struct LinkTable {
    context: Rc<EdgeContext>,
    links: Rc<RefCell<BTreeMap<RouterIncarnation, LinkEntry>>>,
    ended: Rc<Notify>,
}

impl LinkTable {
    pub(super) fn new(context: Rc<EdgeContext>) -> Self {
        LinkTable {
            context,
            links: Rc::new(RefCell::new(BTreeMap::new())),
            ended: Rc::new(Notify::new()),
        }
    }

    /// Queues a message for its link; creates the link if there is none.
    pub(super) fn send(&self, outbound: OutboundMessage) {
        let Some(state) = self.state_for(&outbound.to, outbound.address) else {
            self.context.count_dropped(1);
            return;
        };
        let dropped = state.push(outbound.message);
        self.context.count_dropped(dropped);
    }

    /// Waits until all queued messages are delivered, at most for `span`.
    pub(super) async fn close(&self, span: Duration) {
        for link in self.links.borrow().values() {
            link.state.close();
        }
        let _ = timeout(span, async {
            while !self.links.borrow().is_empty() {
                self.ended.notified().await;
            }
        })
        .await;
    }

    fn state_for(&self, to: &RouterIncarnation, address: String) -> Option<Rc<LinkState>> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(to) {
            // A task that panicked left its entry here. Messages queued there would never be sent,
            // and the peer would look disconnected until this router restarts.
            if link.address == address && !link.task.is_finished() {
                return Some(Rc::clone(&link.state));
            }
        } else if links.len() >= self.context.options.links_max {
            return None;
        }
        // A new link, or the replacement of an old entry, whose task ends when it is dropped.
        let state = Rc::new(LinkState::new(&self.context));
        let task = self.start_link(to.clone(), address.clone(), Rc::clone(&state));
        let entry = LinkEntry {
            address,
            state: Rc::clone(&state),
            task,
        };
        links.insert(to.clone(), entry);
        Some(state)
    }

    fn start_link(
        &self,
        to: RouterIncarnation,
        address: String,
        state: Rc<LinkState>,
    ) -> AbortOnDropHandle<()> {
        let context = Rc::clone(&self.context);
        let links = Rc::clone(&self.links);
        let ended = Rc::clone(&self.ended);
        let link = PeerLink::new(context, to.clone(), address, Rc::clone(&state));
        AbortOnDropHandle::new(spawn_local(async move {
            link.run().await;
            remove_link(&links, &to, &state);
            ended.notify_one();
        }))
    }
}

// A link that ended must not remove the entry of its successor.
fn remove_link(
    links: &RefCell<BTreeMap<RouterIncarnation, LinkEntry>>,
    to: &RouterIncarnation,
    state: &Rc<LinkState>,
) {
    let mut links = links.borrow_mut();
    let is_own = links
        .get(to)
        .is_some_and(|link| Rc::ptr_eq(&link.state, state));
    if is_own {
        links.remove(to);
    }
}
