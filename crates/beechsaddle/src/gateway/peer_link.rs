//! The `peer_link` module provides connections to other routers, for loans, returns and changes in the
//! store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    CallUrgency, ChangeBatch, ClockReading, LoanReply, LoanRequest, LoanReturn, PeerRecord,
    PermitReply, TargetLimit, UrgencyLevel, UrgencyNeed,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::ObjectKind;
use beechsaddle_wire::lending_capnp::{
    FollowOutcome, FollowedKind, LoanOutcome, PlaceOutcome, clock_teller, limit_share, news_relay,
    router_peer, token_lender,
};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::task::AbortOnDropHandle;

use super::changes::{FollowAnswer, FollowReply, FollowRequest};
use super::limits::PermitRequest;
use super::peer_codec::{reader_options, time_before};

/// Timeout of connecting to a router: some hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The answer of a lender.
#[derive(Clone, Debug)]
pub(super) struct LenderAnswer {
    /// The outcome of the request.
    pub(super) reply: LoanReply,
    /// The tokens that all routers together took of the total, as known to the lender; `None` if unknown.
    pub(super) taken: Option<u64>,
    /// The part of calls that is admitted, by urgency; empty from a lender that keeps no tokens.
    pub(super) levels: Vec<UrgencyLevel>,
}

/// Why a return of tokens failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReturnFailure {
    /// The other router did not accept the tokens.
    Refused,
    /// Nothing was sent.
    Unsent(String),
    /// It is unknown whether the other router received the tokens.
    Unknown(String),
}

struct PeerLink {
    client: router_peer::Client,
    rpc: AbortOnDropHandle<()>,
}

impl PeerLink {
    fn new(client: router_peer::Client, system: RpcSystem<Side>) -> Self {
        let rpc = spawn_local(async move {
            // An error that closes the connection also fails the calls in progress, which report it.
            let _ = system.await;
        });
        PeerLink {
            client,
            rpc: AbortOnDropHandle::new(rpc),
        }
    }

    fn lender(&self) -> token_lender::Client {
        let client = self.client.client.clone();
        token_lender::Client { client }
    }

    fn relay(&self) -> news_relay::Client {
        let client = self.client.client.clone();
        news_relay::Client { client }
    }

    fn limit_share(&self) -> limit_share::Client {
        let client = self.client.client.clone();
        limit_share::Client { client }
    }

    fn clock_teller(&self) -> clock_teller::Client {
        let client = self.client.client.clone();
        clock_teller::Client { client }
    }
}

/// Connections to routers, one for each.
pub(super) struct PeerLinks {
    links: RefCell<BTreeMap<HostName, Rc<PeerLink>>>,
    connect_timeout: Duration,
}

impl Default for PeerLinks {
    /// Links for requests that callers wait for, which give up connecting early.
    fn default() -> Self {
        PeerLinks::with_connect_timeout(CONNECT_TIMEOUT)
    }
}

impl PeerLinks {
    /// Creates links without connections.
    pub(super) fn with_connect_timeout(connect_timeout: Duration) -> Self {
        PeerLinks {
            links: RefCell::default(),
            connect_timeout,
        }
    }

    /// Requests a loan from a router. After an error the lender may have debited the tokens; those are
    /// lost.
    pub(super) async fn borrow_tokens(
        &self,
        peer: &PeerRecord,
        secret: &str,
        domain: &DomainName,
        workspace: &WorkspaceName,
        request: LoanRequest,
        needs: &[UrgencyNeed],
    ) -> Result<LenderAnswer, String> {
        let link = self.open(peer).await?;
        let mut call = link.lender().borrow_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_workspace(workspace.as_str());
        parameters.set_least(request.least);
        parameters.set_need(request.need);
        parameters.set_ahead(request.ahead);
        parameters.set_used(request.used);
        parameters.set_domain(domain.as_str());
        let count = u32::try_from(needs.len()).unwrap_or(u32::MAX);
        let mut list = parameters.init_needs(count);
        for (index, need) in (0..count).zip(needs) {
            let mut entry = list.reborrow().get(index);
            entry.set_urgency(need.urgency.0);
            entry.set_least(need.least);
            entry.set_need(need.need);
            entry.set_used(need.used);
        }
        let reply = call
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())?;
        let answer = reply.get().map_err(|error| error.to_string())?;
        let reply = match answer.get_outcome() {
            Ok(LoanOutcome::Lent) => LoanReply::Lent(answer.get_tokens()),
            Ok(LoanOutcome::Short) => LoanReply::Short,
            Ok(LoanOutcome::Exhausted) => LoanReply::Exhausted,
            Ok(LoanOutcome::LedgerAway) => LoanReply::LedgerUnreachable,
            Err(error) => return Err(error.to_string()),
        };
        let taken = decode_taken(answer.get_taken());
        let levels = answer.get_levels().map_err(|error| error.to_string())?;
        let levels = levels.iter().map(|level| UrgencyLevel {
            urgency: CallUrgency(level.get_urgency()),
            admitted: level.get_admitted(),
        });
        Ok(LenderAnswer {
            reply,
            taken,
            levels: levels.collect(),
        })
    }

    /// Returns tokens to the allocator of their workspace. The result is what all routers together took of
    /// the total, if the allocator knows it.
    pub(super) async fn return_tokens(
        &self,
        peer: &PeerRecord,
        secret: &str,
        workspace: &WorkspaceName,
        loan_return: LoanReturn,
    ) -> Result<Option<u64>, ReturnFailure> {
        let link = self.open(peer).await.map_err(ReturnFailure::Unsent)?;
        let mut call = link.lender().give_back_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_workspace(workspace.as_str());
        parameters.set_tokens(loan_return.tokens);
        parameters.set_used(loan_return.used);
        let unknown = |error: capnp::Error| ReturnFailure::Unknown(error.to_string());
        let reply = call.send().promise.await.map_err(unknown)?;
        let answer = reply.get().map_err(unknown)?;
        match answer.get_is_taken() {
            true => Ok(decode_taken(answer.get_taken())),
            false => Err(ReturnFailure::Refused),
        }
    }

    /// Sends a written ledger of a workspace to a router; `ledger` is the JSON text as in the store.
    pub(super) async fn send_ledger(
        &self,
        peer: &PeerRecord,
        secret: &str,
        workspace: &WorkspaceName,
        revision: u64,
        ledger: &[u8],
    ) -> Result<(), String> {
        let link = self.open(peer).await?;
        let mut call = link.lender().note_ledger_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_workspace(workspace.as_str());
        parameters.set_revision(revision);
        parameters.set_ledger(ledger);
        match call.send().promise.await {
            Ok(_) => Ok(()),
            // Routers of older versions do not support the call, and read the ledger themselves.
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => Ok(()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Requests the changes after a revision from a router.
    pub(super) async fn follow_changes(
        &self,
        peer: &PeerRecord,
        secret: &str,
        request: FollowRequest,
    ) -> Result<FollowAnswer, String> {
        let kind = followed_kind(request.kind).ok_or("objects of this kind are not relayed")?;
        let link = self.open(peer).await?;
        let mut call = link.relay().follow_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_kind(kind);
        parameters.set_revision(request.revision);
        parameters.set_wait_ms(request.wait.as_millis() as u32);
        parameters.set_version(request.version);
        parameters.set_config_format(request.config_format);
        let reply = call.send().promise.await;
        let reply = reply.map_err(|error| error.to_string())?;
        let answer = reply.get().map_err(|error| error.to_string())?;
        let reply = match answer.get_outcome() {
            Ok(FollowOutcome::News) => {
                let batches = answer.get_batches().map_err(|error| error.to_string())?;
                FollowReply::Changes(read_batches(batches, answer.get_revision())?)
            }
            Ok(FollowOutcome::Gone) => FollowReply::Gone,
            Ok(FollowOutcome::Away) => FollowReply::Unavailable,
            Ok(FollowOutcome::Beginning) => FollowReply::Starting,
            Err(error) => return Err(error.to_string()),
        };
        Ok(FollowAnswer {
            reply,
            revision: answer.get_revision(),
            age_ms: answer.get_age_ms(),
        })
    }

    /// Requests a permit for one request to a target.
    pub(super) async fn request_permit(
        &self,
        peer: &PeerRecord,
        secret: &str,
        now: ClockTime,
        request: &PermitRequest,
    ) -> Result<PermitReply, String> {
        let link = self.open(peer).await?;
        let mut call = link.limit_share().take_place_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_target(request.target.name.as_str());
        parameters.set_started(request.target.started.unwrap_or(0));
        parameters.set_per_s(request.limit.per_s.unwrap_or(0.0));
        parameters.set_is_free(request.limit.per_s.is_none());
        parameters.set_age_ms(now.since(request.limit.received_at));
        let reply = call.send().promise.await;
        let reply = reply.map_err(|error| error.to_string())?;
        let answer = reply.get().map_err(|error| error.to_string())?;
        match answer.get_outcome() {
            Ok(PlaceOutcome::Granted) => Ok(PermitReply::Granted),
            Ok(PlaceOutcome::Wait) => Ok(PermitReply::Wait {
                wait_ms: answer.get_wait_ms(),
            }),
            Ok(PlaceOutcome::Free) => Ok(PermitReply::Free(TargetLimit {
                per_s: None,
                received_at: time_before(now, answer.get_age_ms()),
            })),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Requests the clock reading of a router. Returns `None` if it runs an older version without this
    /// call.
    pub(super) async fn read_clock(
        &self,
        peer: &PeerRecord,
        secret: &str,
    ) -> Result<Option<ClockReading>, String> {
        let link = self.open(peer).await?;
        let mut call = link.clock_teller().read_clock_request();
        call.get().set_secret(secret);
        let reply = match call.send().promise.await {
            Ok(reply) => reply,
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => return Ok(None),
            Err(error) => return Err(error.to_string()),
        };
        let answer = reply.get().map_err(|error| error.to_string())?;
        Ok(Some(ClockReading {
            earliest: ClockTime::from_millis(answer.get_earliest()),
            latest: ClockTime::from_millis(answer.get_latest()),
        }))
    }

    /// Closes the connection to a router, if there is one.
    pub(super) fn close(&self, host: &HostName) {
        self.links.borrow_mut().remove(host);
    }

    /// Returns the client of a router for calls that other modules define.
    pub(super) async fn open_client(
        &self,
        peer: &PeerRecord,
    ) -> Result<capnp::capability::Client, String> {
        let link = self.open(peer).await?;
        Ok(link.client.client.clone())
    }

    async fn open(&self, peer: &PeerRecord) -> Result<Rc<PeerLink>, String> {
        let existing = self.links.borrow().get(&peer.host).cloned();
        if let Some(link) = existing
            && !link.rpc.is_finished()
        {
            return Ok(link);
        }
        let address = peer.address.ok_or("the router has no peer address")?;
        let connecting = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("connecting timed out".to_owned()),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: router_peer::Client = system.bootstrap(Side::Server);
        let link = Rc::new(PeerLink::new(client, system));
        let mut links = self.links.borrow_mut();
        links.insert(peer.host.clone(), Rc::clone(&link));
        Ok(link)
    }
}

/// Decodes what all routers together took of a total; 0 means that the sender does not know.
fn decode_taken(taken: u64) -> Option<u64> {
    (taken > 0).then_some(taken)
}

fn followed_kind(kind: ObjectKind) -> Option<FollowedKind> {
    match kind {
        ObjectKind::Config => Some(FollowedKind::Configuration),
        ObjectKind::Targets => Some(FollowedKind::Targets),
        ObjectKind::Evacuations => Some(FollowedKind::Evacuations),
        ObjectKind::Routers | ObjectKind::Budgets | ObjectKind::Crashes => None,
    }
}

fn read_batches(
    batches: capnp::data_list::Reader<'_>,
    revision: u64,
) -> Result<Vec<ChangeBatch>, String> {
    let mut read = Vec::new();
    for body in batches.iter() {
        let body = body.map_err(|error| error.to_string())?;
        read.push(ChangeBatch {
            revision,
            body: body.into(),
        });
    }
    Ok(read)
}
