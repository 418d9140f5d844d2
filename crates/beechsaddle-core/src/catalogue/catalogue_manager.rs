//! The `catalogue_manager` module provides the application of catalogue changes at one router.

use super::catalogue_log::CatalogueLog;
use super::catalogue_reader::{CatalogueReader, ReaderContext, ReaderOutput};
use super::{CatalogueBase, CatalogueChange, CatalogueOptions, CatalogueView};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::members::{MemberEntry, MemberLiveness, MemberTable};
use crate::names::RouterIncarnation;
use crate::outbox::CoreOutbox;
use crate::peer::PeerMessage;
use crate::platform::{PlatformReply, PlatformTicket};
use crate::report::{LogLevel, LogLine, ReportAction};
use crate::signal::CoreSignal;

/// The name by which the routers that watch the catalogue are ranked.
const WATCHER_NAME: &str = "catalogue-watch";

/// How often a router polls the platform before it may watch, in milliseconds.
const STARTUP_POLL_MS: u64 = 500;

/// Follows the catalogue: from the platform if this router watches it, from peers otherwise.
///
/// The revision in effect only increases: a change applies only to the revision right before it,
/// and a base only if it is newer. A router that cannot reach the platform retains its catalogue,
/// and one that restarts during an outage takes the highest revision of its peers.
#[derive(Debug)]
pub struct CatalogueManager {
    options: CatalogueOptions,
    me: RouterIncarnation,
    view: CatalogueView,
    log: CatalogueLog,
    reader: CatalogueReader,
    started: ClockTime,
    requested: Option<ClockTime>,
}

impl CatalogueManager {
    pub fn new(options: CatalogueOptions, me: RouterIncarnation) -> Self {
        CatalogueManager {
            view: CatalogueView::new(),
            log: CatalogueLog::new(options.retained_changes),
            reader: CatalogueReader::new(&me),
            started: ClockTime::ZERO,
            requested: None,
            options,
            me,
        }
    }

    /// The catalogue in effect.
    pub fn view(&self) -> &CatalogueView {
        &self.view
    }

    /// Starts to read the catalogue.
    pub fn start(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        self.started = now;
        let context = self.context(now, members);
        self.reader.proceed(now, context, outbox);
    }

    /// Handles a request or an update from a peer.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        message: PeerMessage,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        match message {
            PeerMessage::CatalogueRequest { after } => self.answer(from, after, members, outbox),
            PeerMessage::CatalogueUpdate { base, changes } => {
                let before = self.view.revision();
                let bases = base.map(|base| vec![*base]).unwrap_or_default();
                self.apply_updates(bases, changes, outbox);
                if self.view.revision() > before {
                    self.forward_to_other_domain(from, before, members, outbox);
                    self.request_remainder(now, from, members, outbox);
                }
            }
            PeerMessage::Heartbeat(_)
            | PeerMessage::AdmitRequest(_)
            | PeerMessage::AdmitReply { .. }
            | PeerMessage::ProgressReport { .. }
            | PeerMessage::SettleRequest(_)
            | PeerMessage::SettleReply { .. }
            | PeerMessage::BillsDurable { .. }
            | PeerMessage::CallUnknown { .. }
            | PeerMessage::HostsRequest
            | PeerMessage::HostsUpdate { .. }
            | PeerMessage::WitnessNote(_)
            | PeerMessage::WitnessReply { .. }
            | PeerMessage::RecordRequest(_)
            | PeerMessage::RecordReply { .. } => {}
        }
    }

    /// Handles the outcome of a platform call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let before = self.view.revision();
        match self.reader.on_platform(now, ticket, reply) {
            Some(ReaderOutput::Base(parts)) => self.apply_updates(parts, Vec::new(), outbox),
            Some(ReaderOutput::Changes(changes)) => self.apply_updates(Vec::new(), changes, outbox),
            None => {}
        }
        if self.view.revision() > before && before > 0 {
            self.push(before, members, |_| true, outbox);
        }
        let context = self.context(now, members);
        self.reader.proceed(now, context, outbox);
    }

    /// Handles the revision in a peer's heartbeat. A higher one means that an update was lost, or
    /// that this router is cut off from the peer's source.
    pub fn on_heartbeat_revision(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        revision: u64,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        if revision <= self.view.revision() {
            return;
        }
        let is_pending = self
            .requested
            .is_some_and(|time| now.since(time) < self.options.request_ms);
        if !is_pending {
            self.request(now, from, members, outbox);
        }
    }

    /// Polls the platform when it is due.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let context = self.context(now, members);
        self.reader.tick(now, context, outbox);
    }

    fn context(&self, now: ClockTime, members: &MemberTable) -> ReaderContext {
        let may_watch = now.since(self.started) >= self.options.watch_delay_ms;
        let mut ranked = members.ranked(WATCHER_NAME);
        ranked.truncate(self.options.watchers);
        ReaderContext {
            revision: self.view.revision(),
            is_watcher: may_watch && ranked.contains(&self.me),
            poll_ms: match may_watch {
                true => self.options.poll_ms,
                false => STARTUP_POLL_MS,
            },
        }
    }

    fn apply_updates(
        &mut self,
        bases: Vec<CatalogueBase>,
        changes: Vec<CatalogueChange>,
        outbox: &mut CoreOutbox,
    ) {
        let before = self.view.revision();
        if !bases.is_empty() && self.view.load_base(bases) {
            // The retained changes end before the base: sent to a peer, they would leave a gap.
            self.log.clear();
        }
        for change in changes {
            if self.view.apply(&change) {
                self.log.push(change);
            }
        }
        let revision = self.view.revision();
        if revision > before {
            outbox.signal(CoreSignal::CatalogueChanged { revision });
            outbox.act(ReportAction::Log(LogLine {
                level: LogLevel::Info,
                event: "catalogue_in_force",
                fields: vec![
                    ("revision", revision.to_string()),
                    ("before", before.to_string()),
                ],
            }));
        }
    }

    fn answer(
        &self,
        to: &RouterIncarnation,
        after: u64,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        if after >= self.view.revision() {
            return;
        }
        let message = match self.log.after(after, self.options.sent_changes) {
            Some(changes) => PeerMessage::CatalogueUpdate {
                base: None,
                changes,
            },
            None => PeerMessage::CatalogueUpdate {
                base: Some(Box::new(self.view.base())),
                changes: Vec::new(),
            },
        };
        send(to, message, members, outbox);
    }

    /// Forwards an update at once to routers of other domains than the sender's. A bridge may be
    /// the only router through which it reaches them before the next heartbeat.
    fn forward_to_other_domain(
        &self,
        from: &RouterIncarnation,
        before: u64,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        if let Some(sender) = members.get(from) {
            let other_side = |entry: &MemberEntry| entry.domain != sender.domain;
            self.push(before, members, other_side, outbox);
        }
    }

    /// Sends the changes after `before` to live routers that do not have them yet.
    fn push(
        &self,
        before: u64,
        members: &MemberTable,
        is_receiver: impl Fn(&MemberEntry) -> bool,
        outbox: &mut CoreOutbox,
    ) {
        let Some(changes) = self.log.after(before, self.options.sent_changes) else {
            return;
        };
        for (router, entry) in members.iter() {
            let is_behind = entry.catalogue_revision < self.view.revision();
            if entry.liveness == MemberLiveness::Live && is_behind && is_receiver(entry) {
                let message = PeerMessage::CatalogueUpdate {
                    base: None,
                    changes: changes.clone(),
                };
                send(router, message, members, outbox);
            }
        }
    }

    /// Requests more if the peer has a newer revision, since one reply contains a bounded number of
    /// changes.
    fn request_remainder(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let has_more = members
            .get(from)
            .is_some_and(|entry| entry.catalogue_revision > self.view.revision());
        if has_more {
            self.request(now, from, members, outbox);
        }
    }

    fn request(
        &mut self,
        now: ClockTime,
        to: &RouterIncarnation,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        self.requested = Some(now);
        let message = PeerMessage::CatalogueRequest {
            after: self.view.revision(),
        };
        send(to, message, members, outbox);
    }
}

fn send(
    to: &RouterIncarnation,
    message: PeerMessage,
    members: &MemberTable,
    outbox: &mut CoreOutbox,
) {
    let Some(address) = members.address_of(to) else {
        return;
    };
    outbox.act(CoreAction::Peer {
        to: to.clone(),
        address: address.to_string(),
        message,
    });
}
