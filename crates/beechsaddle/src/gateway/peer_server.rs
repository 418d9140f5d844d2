//! The `peer_server` module provides the answers to other routers, for loans, returns and changes in the
//! store.

use std::io::Cursor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    CallUrgency, LoanReply, LoanRequest, LoanReturn, PermitReply, TargetLimit, UrgencyNeed,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::ObjectKind;
use beechsaddle_wire::lending_capnp::{
    FollowOutcome, FollowedKind, LoanOutcome, PlaceOutcome, clock_teller, limit_share, news_relay,
    router_peer, stream_registry, token_lender,
};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::changes::{FollowReply, FollowRequest, serve_follow};
use super::connection_ring::{ConnectionRing, ProofMark};
use super::gateway_state::GatewayState;
use super::known_refusals::forget_refusals;
use super::ledger_updates::receive_ledger;
use super::limits::{PermitRequest, answer_permit_request};
use super::origins::read_origin;
use super::peer_codec::{read_incarnation, reader_options, time_before};
use super::token_lender::lend_tokens;
use super::tunnels::{TUNNEL_PREFACE, serve_tunnel};
use super::unproven_reader::{UnprovenMemory, UnprovenReader};
use super::urgency_gate::levels_to_tell;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a new connection may send nothing. Routers connect in order to send a message at once; the
/// time covers retransmissions.
const START_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Serves other routers until the process ends. With too many connections that have not shown the fleet's
/// secret, the oldest one is closed.
pub(super) async fn run_peer_listener(listener: TcpListener, state: Rc<GatewayState>) {
    let settings = state.settings();
    let mut ring = ConnectionRing::new(settings.unproven_peers_max());
    let memory = Rc::new(UnprovenMemory::new(settings.unproven_memory_bytes()));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let mark = ProofMark::default();
                let serving = spawn_local(serve_peer(
                    stream,
                    peer,
                    Rc::clone(&state),
                    Rc::clone(&mark),
                    Rc::clone(&memory),
                ));
                if ring.push(serving.abort_handle(), mark) {
                    state.metrics.peers_evicted.inc();
                }
            }
            Err(error) => {
                let fields = [("error", error.to_string())];
                state.report.log(LogLevel::Warning, "accept_failed", fields);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(
    mut stream: TcpStream,
    peer: SocketAddr,
    state: Rc<GatewayState>,
    mark: ProofMark,
    memory: Rc<UnprovenMemory>,
) {
    // Nagle's algorithm would delay the small messages that calls wait for.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut start = [0; TUNNEL_PREFACE.len()];
    match timeout(START_TIMEOUT, stream.read_exact(&mut start)).await {
        Ok(Ok(_)) => {}
        // A peer that closes its connection before it sends anything needs no handling here.
        Ok(Err(_)) => return,
        Err(_) => {
            let fields = [("peer", peer.to_string())];
            let report = &state.report;
            return report.log(LogLevel::Warning, "peer_silent", fields);
        }
    }
    if start == TUNNEL_PREFACE {
        return serve_tunnel(stream, peer, state, mark).await;
    }
    let (reader, writer) = stream.into_split();
    let reader = Cursor::new(start).chain(reader);
    let reader = UnprovenReader::new(reader, Rc::clone(&mark), memory);
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let server = PeerServer { state, peer, mark };
    let client: router_peer::Client = capnp_rpc::new_client(server);
    // A borrower that terminates closes the connection, which needs no handling here.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

/// The server of one connection from a peer.
pub(super) struct PeerServer {
    pub(super) state: Rc<GatewayState>,
    peer: SocketAddr,
    /// Set once the peer has shown the fleet's secret.
    mark: ProofMark,
}

impl PeerServer {
    /// Rejects peers that do not know the fleet's secret.
    pub(super) fn check_secret(&self, secret: capnp::text::Reader<'_>) -> Result<(), capnp::Error> {
        if self.state.lending.is_secret(secret.as_bytes()) {
            self.mark.set(true);
            return Ok(());
        }
        let fields = [("peer", self.peer.to_string())];
        let report = &self.state.report;
        report.log(LogLevel::Warning, "loan_refused", fields);
        Err(capnp::Error::failed("wrong secret".to_owned()))
    }

    /// Returns what all routers together took of a total, or 0 if unknown.
    fn taken_of(&self, workspace: &WorkspaceName) -> u64 {
        let escrow = self.state.escrow.borrow();
        escrow.taken_of(workspace).unwrap_or(0)
    }
}

impl token_lender::Server for PeerServer {
    async fn borrow(
        self: Rc<Self>,
        parameters: token_lender::BorrowParams,
        mut results: token_lender::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let workspace = WorkspaceName::new(parameters.get_workspace()?.to_str()?);
        let request = LoanRequest {
            least: parameters.get_least(),
            need: parameters.get_need(),
            ahead: parameters.get_ahead(),
            used: parameters.get_used(),
        };
        let domain = parameters.get_domain()?.to_str()?;
        let own = self.state.settings().domain.clone();
        let is_foreign = !domain.is_empty() && domain != own.as_str();
        let needs = parameters.get_needs()?.iter().map(|need| UrgencyNeed {
            urgency: CallUrgency(need.get_urgency()),
            least: need.get_least(),
            need: need.get_need(),
            used: need.get_used(),
        });
        let needs: Vec<_> = needs.collect();
        let reply = lend_tokens(&self.state, &workspace, request, &needs, is_foreign).await;
        let tokens = reply.tokens();
        let outcome = match reply {
            LoanReply::Lent(_) => LoanOutcome::Lent,
            LoanReply::Short => LoanOutcome::Short,
            LoanReply::Exhausted => LoanOutcome::Exhausted,
            LoanReply::LedgerUnreachable => LoanOutcome::LedgerAway,
        };
        self.state.metrics.tokens_lent.inc_by(tokens);
        let fields = [
            ("workspace", workspace.to_string()),
            ("peer", self.peer.ip().to_string()),
            ("outcome", reply.as_str().to_owned()),
            ("tokens", tokens.to_string()),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Info, "tokens_lent", fields);
        let mut answer = results.get();
        answer.set_outcome(outcome);
        answer.set_tokens(tokens);
        answer.set_taken(self.taken_of(&workspace));
        let levels = levels_to_tell(&self.state, &workspace);
        let count = u32::try_from(levels.len()).unwrap_or(u32::MAX);
        let mut list = answer.init_levels(count);
        for (index, level) in (0..count).zip(&levels) {
            let mut entry = list.reborrow().get(index);
            entry.set_urgency(level.urgency.0);
            entry.set_admitted(level.admitted);
        }
        Ok(())
    }

    async fn give_back(
        self: Rc<Self>,
        parameters: token_lender::GiveBackParams,
        mut results: token_lender::GiveBackResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let workspace = WorkspaceName::new(parameters.get_workspace()?.to_str()?);
        let loan_return = LoanReturn {
            tokens: parameters.get_tokens(),
            used: parameters.get_used(),
        };
        let mut escrow = self.state.escrow.borrow_mut();
        let is_taken = escrow.take_back(self.state.now(), &workspace, loan_return);
        drop(escrow);
        forget_refusals(&self.state, &workspace);
        self.state.escrow_changed.notify_waiters();
        let fields = [
            ("workspace", workspace.to_string()),
            ("peer", self.peer.ip().to_string()),
            ("is_taken", is_taken.to_string()),
            ("tokens", loan_return.tokens.to_string()),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Info, "tokens_taken_back", fields);
        let mut answer = results.get();
        answer.set_is_taken(is_taken);
        answer.set_taken(self.taken_of(&workspace));
        Ok(())
    }

    async fn note_ledger(
        self: Rc<Self>,
        parameters: token_lender::NoteLedgerParams,
        _: token_lender::NoteLedgerResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let workspace = WorkspaceName::new(parameters.get_workspace()?.to_str()?);
        let (revision, ledger) = (parameters.get_revision(), parameters.get_ledger()?);
        receive_ledger(&self.state, workspace, revision, ledger).map_err(|error| {
            let fields = [
                ("peer", self.peer.to_string()),
                ("error", error.to_string()),
            ];
            let report = &self.state.report;
            report.log(LogLevel::Error, "ledger_unreadable", fields);
            capnp::Error::failed(error.to_string())
        })
    }
}

impl news_relay::Server for PeerServer {
    async fn follow(
        self: Rc<Self>,
        parameters: news_relay::FollowParams,
        mut results: news_relay::FollowResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let kind = match parameters.get_kind()? {
            FollowedKind::Configuration => ObjectKind::Config,
            FollowedKind::Targets => ObjectKind::Targets,
            FollowedKind::Evacuations => ObjectKind::Evacuations,
        };
        let request = FollowRequest {
            kind,
            revision: parameters.get_revision(),
            wait: Duration::from_millis(parameters.get_wait_ms().into()),
            version: parameters.get_version(),
            config_format: parameters.get_config_format(),
        };
        let answer = serve_follow(&self.state, request).await;
        let mut response = results.get();
        response.set_revision(answer.revision);
        response.set_age_ms(answer.age_ms);
        match answer.reply {
            FollowReply::Changes(batches) => {
                response.set_outcome(FollowOutcome::News);
                let mut bodies = response.init_batches(batches.len() as u32);
                for (index, batch) in batches.iter().enumerate() {
                    bodies.set(index as u32, &batch.body);
                }
            }
            FollowReply::Gone => response.set_outcome(FollowOutcome::Gone),
            FollowReply::Unavailable => response.set_outcome(FollowOutcome::Away),
            FollowReply::Starting => response.set_outcome(FollowOutcome::Beginning),
        }
        Ok(())
    }
}

impl limit_share::Server for PeerServer {
    async fn take_place(
        self: Rc<Self>,
        parameters: limit_share::TakePlaceParams,
        mut results: limit_share::TakePlaceResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let now = self.state.now();
        let request = PermitRequest {
            target: read_incarnation(parameters.get_target()?, parameters.get_started())?,
            limit: TargetLimit {
                per_s: (!parameters.get_is_free()).then_some(parameters.get_per_s()),
                received_at: time_before(now, parameters.get_age_ms()),
            },
        };
        let mut answer = results.get();
        match answer_permit_request(&self.state, &request) {
            PermitReply::Granted => answer.set_outcome(PlaceOutcome::Granted),
            PermitReply::Wait { wait_ms } => {
                answer.set_outcome(PlaceOutcome::Wait);
                answer.set_wait_ms(wait_ms);
            }
            PermitReply::Free(limit) => {
                answer.set_outcome(PlaceOutcome::Free);
                answer.set_age_ms(now.since(limit.received_at));
            }
        }
        Ok(())
    }
}

impl clock_teller::Server for PeerServer {
    async fn read_clock(
        self: Rc<Self>,
        parameters: clock_teller::ReadClockParams,
        mut results: clock_teller::ReadClockResults,
    ) -> Result<(), capnp::Error> {
        self.check_secret(parameters.get()?.get_secret()?)?;
        let reading = self.state.clock.reading();
        let mut answer = results.get();
        answer.set_earliest(reading.earliest.as_millis());
        answer.set_latest(reading.latest.as_millis());
        Ok(())
    }
}

impl stream_registry::Server for PeerServer {
    async fn note_stream(
        self: Rc<Self>,
        parameters: stream_registry::NoteStreamParams,
        _: stream_registry::NoteStreamResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let stream = StreamId::new(parameters.get_stream()?.to_str()?);
        let origin = read_origin(parameters.get_service(), parameters.get_version())?;
        self.state.origins.record(self.state.now(), stream, origin);
        Ok(())
    }

    async fn find_stream(
        self: Rc<Self>,
        parameters: stream_registry::FindStreamParams,
        mut results: stream_registry::FindStreamResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let stream = StreamId::new(parameters.get_stream()?.to_str()?);
        let origin = self.state.origins.find(self.state.now(), &stream);
        let mut answer = results.get();
        answer.set_is_known(origin.is_some());
        if let Some(origin) = origin {
            answer.set_service(origin.service.as_str());
            answer.set_version(origin.version.as_str());
        }
        Ok(())
    }
}

impl router_peer::Server for PeerServer {}
