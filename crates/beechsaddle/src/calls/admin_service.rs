//! The `admin_service` module provides the HTTP service for operators.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_core::status::RouterStatus;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use motore::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use super::edge_state::EdgeState;

/// Time limit for the core to answer a status query.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves `/admin/status` on the operators' listener.
#[derive(Clone)]
pub(crate) struct AdminService {
    state: Arc<EdgeState>,
}

impl Service<ServerContext, Request<Body>> for AdminService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response, Infallible> {
        if request.uri().path() != "/admin/status" {
            return Ok(text_answer(
                StatusCode::NOT_FOUND,
                "there is no such path\n",
            ));
        }
        if request.method() != Method::GET {
            return Ok(text_answer(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"));
        }
        Ok(match self.query_status().await {
            Some(status) => status_answer(&status),
            None => text_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "the router is busy; ask again\n",
            ),
        })
    }
}

impl AdminService {
    pub(crate) fn new(state: Arc<EdgeState>) -> Self {
        AdminService { state }
    }

    async fn query_status(&self) -> Option<Box<RouterStatus>> {
        let (query, answer) = self.state.queries.open();
        let is_sent = self.state.ring.try_raise(CoreEvent::StatusQuery { query });
        let status = match is_sent {
            true => tokio::time::timeout(STATUS_TIMEOUT, answer).await.ok(),
            false => None,
        };
        self.state.queries.close(query);
        status?.ok()
    }
}

fn status_answer(status: &RouterStatus) -> Response {
    let text = serde_json::to_vec(status).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text_answer(status: StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
