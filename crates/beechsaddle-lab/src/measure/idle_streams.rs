//! The `idle_streams` module provides streams that are kept open without traffic.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::load::{
    CallKind, CallerSettings, HttpClient, OpenConnection, PlannedCall, build_request,
};

/// Streams that received their first part and are then left open.
#[derive(Debug)]
pub struct IdleStreams {
    settings: CallerSettings,
    router: String,
    client: HttpClient,
    open: Vec<(Incoming, OpenConnection)>,
}

impl IdleStreams {
    /// Creates an empty set of streams through the router at an address.
    pub fn new(settings: CallerSettings, router: String) -> Self {
        IdleStreams {
            settings,
            router,
            client: HttpClient::new(),
            open: Vec::new(),
        }
    }

    /// Opens streams one after another until `count` are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a stream is refused or its connection fails.
    pub async fn open_until(&mut self, count: usize) -> eyre::Result<()> {
        while self.open.len() < count {
            let stream = self.open_one().await?;
            self.open.push(stream);
        }
        Ok(())
    }

    async fn open_one(&self) -> eyre::Result<(Incoming, OpenConnection)> {
        let number = self.open.len() as u64;
        let call = PlannedCall {
            number,
            offset: Duration::ZERO,
            kind: CallKind::StreamedChat,
            workspace: 0,
            key: format!("idle-{number}"),
            prefix: 0,
            max_tokens: 100,
        };
        let request = build_request(&self.settings, &call, false)?;
        let (response, connection) = self.client.send(&self.router, request).await?;
        let status = response.status();
        eyre::ensure!(status.is_success(), "stream {number} was refused: {status}");
        let mut body = response.into_body();
        let first = body.frame().await;
        let first = first.ok_or_else(|| eyre::eyre!("stream {number} ended without data"))?;
        first?;
        Ok((body, connection))
    }
}
