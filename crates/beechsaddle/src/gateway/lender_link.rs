//! The `lender_link` module provides connections to routers that lend, and the loans over them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{LoanReply, LoanRequest, PeerRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::{LoanOutcome, token_lender};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::task::AbortOnDropHandle;

/// How long connecting to a router may take: some hundred round trips of a region.
const CONNECT_SPAN: Duration = Duration::from_millis(150);

/// A connection to a router that lends.
struct LenderLink {
    client: token_lender::Client,
    rpc: AbortOnDropHandle<()>,
}

impl LenderLink {
    fn new(client: token_lender::Client, system: RpcSystem<Side>) -> Self {
        let rpc = spawn_local(async move {
            // What ends the connection also ends the loan that is under way, which tells of it.
            let _ = system.await;
        });
        LenderLink {
            client,
            rpc: AbortOnDropHandle::new(rpc),
        }
    }
}

/// Connections to routers that lend, one each.
#[derive(Default)]
pub(super) struct LenderLinks {
    links: RefCell<BTreeMap<HostName, Rc<LenderLink>>>,
}

impl LenderLinks {
    /// Asks a router for a loan. A failure does not tell whether it has given the tokens up; those are
    /// lost then.
    pub(super) async fn borrow_tokens(
        &self,
        peer: &PeerRecord,
        secret: &str,
        workspace: &WorkspaceName,
        request: LoanRequest,
    ) -> Result<LoanReply, String> {
        let link = self.open(peer).await?;
        let mut call = link.client.borrow_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_workspace(workspace.as_str());
        parameters.set_least(request.least);
        parameters.set_need(request.need);
        parameters.set_ahead(request.ahead);
        let reply = call
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())?;
        let reply = reply.get().map_err(|error| error.to_string())?;
        match reply.get_outcome() {
            Ok(LoanOutcome::Lent) => Ok(LoanReply::Lent(reply.get_tokens())),
            Ok(LoanOutcome::Short) => Ok(LoanReply::Short),
            Ok(LoanOutcome::Exhausted) => Ok(LoanReply::Exhausted),
            Ok(LoanOutcome::LedgerAway) => Ok(LoanReply::LedgerAway),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Closes the connection to a router, if there is one.
    pub(super) fn forget(&self, host: &HostName) {
        self.links.borrow_mut().remove(host);
    }

    async fn open(&self, peer: &PeerRecord) -> Result<Rc<LenderLink>, String> {
        let known = self.links.borrow().get(&peer.host).cloned();
        if let Some(link) = known
            && !link.rpc.is_finished()
        {
            return Ok(link);
        }
        let address = peer.address.ok_or("it lends nothing")?;
        let stream = match timeout(CONNECT_SPAN, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (reader, writer) = stream.into_split();
        let options = capnp::message::ReaderOptions::new();
        let network = VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            options,
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: token_lender::Client = system.bootstrap(Side::Server);
        let link = Rc::new(LenderLink::new(client, system));
        let mut links = self.links.borrow_mut();
        links.insert(peer.host.clone(), Rc::clone(&link));
        Ok(link)
    }
}
