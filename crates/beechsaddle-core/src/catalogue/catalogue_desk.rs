//! The `catalogue_desk` module provides the duty that brings applied changes into force.

use super::catalogue_log::CatalogueLog;
use super::catalogue_reader::{CatalogueReader, ReaderNews, ReaderScene};
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

/// What the routers that watch the catalogue are ranked by.
const WATCHER_NAME: &str = "catalogue-watch";

/// How often a router looks at the platform that may not watch yet, in milliseconds.
const SETTLE_POLL_MS: u64 = 500;

/// Follows the catalogue: from the platform where this router watches, from peers otherwise.
///
/// Whatever the source, the revision in force only goes up: a change applies to the revision right
/// before it alone, and a base only when it is newer. A router that lost the platform keeps what it
/// has, and one that restarts meanwhile takes the highest that its peers have.
#[derive(Debug)]
pub struct CatalogueDesk {
    options: CatalogueOptions,
    me: RouterIncarnation,
    view: CatalogueView,
    log: CatalogueLog,
    reader: CatalogueReader,
    started: ClockTime,
    requested: Option<ClockTime>,
}

impl CatalogueDesk {
    /// The desk of the router `me`, without a catalogue.
    pub fn new(options: CatalogueOptions, me: RouterIncarnation) -> Self {
        CatalogueDesk {
            view: CatalogueView::new(),
            log: CatalogueLog::new(options.kept_changes),
            reader: CatalogueReader::new(&me),
            started: ClockTime::ZERO,
            requested: None,
            options,
            me,
        }
    }

    /// The catalogue in force.
    pub fn view(&self) -> &CatalogueView {
        &self.view
    }

    /// Begins to read the catalogue.
    pub fn start(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        self.started = now;
        let scene = self.scene(now, members);
        self.reader.proceed(now, scene, outbox);
    }

    /// Takes a request or an update of a peer.
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
                self.take(bases, changes, outbox);
                if self.view.revision() > before {
                    self.pass_on(from, before, members, outbox);
                    self.ask_for_rest(now, from, members, outbox);
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

    /// Takes the outcome of a platform call.
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
            Some(ReaderNews::Base(parts)) => self.take(parts, Vec::new(), outbox),
            Some(ReaderNews::Changes(changes)) => self.take(Vec::new(), changes, outbox),
            None => {}
        }
        if self.view.revision() > before && before > 0 {
            self.push(before, members, |_| true, outbox);
        }
        let scene = self.scene(now, members);
        self.reader.proceed(now, scene, outbox);
    }

    /// Takes the revision that a peer's heartbeat told: one that is higher shows that an update was
    /// lost, or that this router is cut off from where the peer learnt it.
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
        let waits = self
            .requested
            .is_some_and(|time| now.since(time) < self.options.request_ms);
        if !waits {
            self.request(now, from, members, outbox);
        }
    }

    /// Looks at the platform when it is time.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let scene = self.scene(now, members);
        self.reader.tick(now, scene, outbox);
    }

    fn scene(&self, now: ClockTime, members: &MemberTable) -> ReaderScene {
        let settled = now.since(self.started) >= self.options.settle_ms;
        let mut ranked = members.ranked(WATCHER_NAME);
        ranked.truncate(self.options.watchers);
        ReaderScene {
            revision: self.view.revision(),
            watches: settled && ranked.contains(&self.me),
            poll_ms: match settled {
                true => self.options.poll_ms,
                false => SETTLE_POLL_MS,
            },
        }
    }

    fn take(
        &mut self,
        bases: Vec<CatalogueBase>,
        changes: Vec<CatalogueChange>,
        outbox: &mut CoreOutbox,
    ) {
        let before = self.view.revision();
        if !bases.is_empty() && self.view.load_base(bases) {
            // The kept changes do not reach up to the base: with them a peer would get a gap.
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

    /// An update that came to a bridge from one side may have come through it alone: the other side
    /// gets it at once, and not only after a heartbeat.
    fn pass_on(
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
        wanted: impl Fn(&MemberEntry) -> bool,
        outbox: &mut CoreOutbox,
    ) {
        let Some(changes) = self.log.after(before, self.options.sent_changes) else {
            return;
        };
        for (router, entry) in members.iter() {
            let behind = entry.catalogue_revision < self.view.revision();
            if entry.liveness == MemberLiveness::Live && behind && wanted(entry) {
                let message = PeerMessage::CatalogueUpdate {
                    base: None,
                    changes: changes.clone(),
                };
                send(router, message, members, outbox);
            }
        }
    }

    /// One answer holds a bounded number of changes; a router that is further behind asks on.
    fn ask_for_rest(
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
