//! The `platform_edge` module provides the thread that calls the platform.

use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, TrySendError};
use eyre::WrapErr;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;

use beechsaddle_core::event::CoreEvent;
use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::platform::PlatformReply;

use super::platform_client::PlatformClient;
use super::platform_handle::{PlatformHandle, TicketCall};
use super::platform_options::PlatformOptions;

/// The delay before a reply is sent again when the ring to the core is full.
const RING_RETRY_DELAY: Duration = Duration::from_millis(1);

/// The edge to the platform.
#[derive(Clone, Debug)]
pub struct PlatformEdge {
    client: PlatformClient,
    events: Sender<CoreEvent>,
}

impl PlatformEdge {
    /// Starts the thread. It sends replies to `events`, each with the ticket of its call.
    pub fn try_start(
        options: &PlatformOptions,
        incarnation: &RouterIncarnation,
        events: Sender<CoreEvent>,
    ) -> eyre::Result<PlatformHandle> {
        let (ring, calls) = mpsc::channel(options.calls_max.max(1));
        let handle = PlatformHandle::new(ring, options.calls_max);
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot make the platform runtime")?;
        let client = {
            // The client spawns tasks when it is created, which requires a runtime.
            let _entered = runtime.enter();
            PlatformClient::try_new(options, Some(incarnation))?
        };
        let edge = PlatformEdge { client, events };
        thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || edge.run(&runtime, calls))
            .wrap_err("cannot start the platform thread")?;
        Ok(handle)
    }

    fn run(self, runtime: &Runtime, mut calls: mpsc::Receiver<TicketCall>) {
        runtime.block_on(async move {
            while let Some(ticket_call) = calls.recv().await {
                let edge = self.clone();
                tokio::spawn(edge.execute(ticket_call));
            }
        });
    }

    async fn execute(self, ticket_call: TicketCall) {
        let TicketCall {
            ticket,
            call,
            permit,
        } = ticket_call;
        let client = self.client.clone();
        let exchange = tokio::spawn(async move { client.call(&call).await });
        // A ticket without a reply would block its component until the process ends. Only a call
        // that panics loses its reply, and its outcome is unknown.
        let reply = exchange.await.unwrap_or(PlatformReply::Unknown);
        self.deliver(CoreEvent::Platform { ticket, reply }).await;
        drop(permit);
    }

    /// Sends an event, waiting while the ring is full. The ring is bounded, and so is the number of
    /// calls that wait here, since each holds its permit.
    async fn deliver(&self, event: CoreEvent) {
        let mut event = event;
        loop {
            match self.events.try_send(event) {
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(returned)) => event = returned,
            }
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
    }
}
