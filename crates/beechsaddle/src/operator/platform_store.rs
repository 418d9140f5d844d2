//! The `platform_store` module provides operators' calls through the platform's client.

use beechsaddle_core::platform::{PlatformCall, PlatformReply};

use super::ObjectStore;
use crate::platform::PlatformClient;

impl ObjectStore for PlatformClient {
    async fn call(&self, call: &PlatformCall) -> PlatformReply {
        PlatformClient::call(self, call).await
    }
}
