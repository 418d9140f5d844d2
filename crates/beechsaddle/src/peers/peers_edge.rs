//! The `peers_edge` module provides the thread that exchanges messages with other routers.

use std::io;
use std::net::TcpListener as StdTcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::Builder as ThreadBuilder;
use std::time::Duration;

use beechsaddle_core::event::CoreEvent;
use beechsaddle_core::names::RouterIncarnation;
use crossbeam_channel::Sender;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::{self, Receiver};
use tokio::task::{LocalSet, spawn_local};

use super::accept_loop::AcceptLoop;
use super::edge_context::EdgeContext;
use super::link_table::{LinkTable, OutboundMessage};
use super::peers_stats::PeersStats;
use super::{PeersHandle, PeersOptions};
use crate::report::ReportHandle;

/// The edge between routers, with its own thread and runtime, since Cap'n Proto's clients cannot
/// move between threads.
pub struct PeersEdge {
    context: EdgeContext,
    listener: StdTcpListener,
    ring: Receiver<OutboundMessage>,
}

impl PeersEdge {
    /// Starts listening. Messages of peers arrive as [`CoreEvent::Peer`].
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, or the thread cannot be started.
    pub fn try_start(
        options: PeersOptions,
        own_incarnation: RouterIncarnation,
        events: Sender<CoreEvent>,
        reports: ReportHandle,
    ) -> io::Result<PeersHandle> {
        let listener = StdTcpListener::bind(options.listen)?;
        listener.set_nonblocking(true)?;
        let local_address = listener.local_addr()?;
        let thread_name = options.thread_name.clone();
        let (sender, ring) = mpsc::channel(options.ring_size.max(1));
        let stats = Arc::new(PeersStats::default());
        let edge = PeersEdge {
            context: EdgeContext {
                options,
                own_incarnation,
                stats: Arc::clone(&stats),
                reports: reports.clone(),
                events,
            },
            listener,
            ring,
        };
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = ThreadBuilder::new()
            .name(thread_name)
            .spawn(move || edge.run(&runtime))?;
        Ok(PeersHandle::new(
            sender,
            thread,
            stats,
            reports,
            local_address,
        ))
    }

    fn run(self, runtime: &Runtime) {
        let tasks = LocalSet::new();
        tasks.block_on(runtime, self.serve());
    }

    async fn serve(mut self) {
        let context = Rc::new(self.context);
        let accept_loop = AcceptLoop::new(Rc::clone(&context));
        // Fails only without a reactor, which this runtime has.
        let Ok(listener) = TcpListener::from_std(self.listener) else {
            return;
        };
        let accepting = spawn_local(accept_loop.run(listener));
        let links = LinkTable::new(Rc::clone(&context));
        while let Some(outbound) = self.ring.recv().await {
            links.send(outbound);
        }
        // The last messages of a leaving router announce to its peers that it leaves; without them
        // the peers would have to detect its failure.
        links
            .close(Duration::from_millis(context.options.drain_ms))
            .await;
        accepting.abort();
    }
}
