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

/// How long a reply waits before it tries a full ring towards the core again.
const RING_PAUSE: Duration = Duration::from_millis(1);

/// The edge towards the platform.
#[derive(Clone, Debug)]
pub struct PlatformEdge {
    client: PlatformClient,
    events: Sender<CoreEvent>,
}

impl PlatformEdge {
    /// Starts the thread. Its replies go to `events`, each with the ticket of its call.
    pub fn try_start(
        options: &PlatformOptions,
        me: &RouterIncarnation,
        events: Sender<CoreEvent>,
    ) -> eyre::Result<PlatformHandle> {
        let (ring, calls) = mpsc::channel(options.calls_max.max(1));
        let handle = PlatformHandle::new(ring, options.calls_max);
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot make the platform runtime")?;
        let client = {
            // The client starts tasks when it is made, and needs a runtime for them.
            let _entered = runtime.enter();
            PlatformClient::try_new(options, Some(me))?
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
                tokio::spawn(edge.carry_out(ticket_call));
            }
        });
    }

    async fn carry_out(self, ticket_call: TicketCall) {
        let TicketCall {
            ticket,
            call,
            place,
        } = ticket_call;
        let client = self.client.clone();
        let exchange = tokio::spawn(async move { client.call(&call).await });
        // A ticket without a reply would leave its duty waiting until the process ends. A call
        // that panics is the only way to lose one, and its outcome is not known.
        let reply = exchange.await.unwrap_or(PlatformReply::Unknown);
        self.deliver(CoreEvent::Platform { ticket, reply }).await;
        drop(place);
    }

    /// Waits for room in the ring. It is bounded, and so are the calls that wait here, since each
    /// keeps its place in flight.
    async fn deliver(&self, event: CoreEvent) {
        let mut event = event;
        loop {
            match self.events.try_send(event) {
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(returned)) => event = returned,
            }
            tokio::time::sleep(RING_PAUSE).await;
        }
    }
}
