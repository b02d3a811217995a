//! The platform's interface over HTTP/1.1 with JSON, described in docs/emulator.md.

use super::{Answer, Platform};
use crate::record::Act;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;

/// Longest body of an action, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// An action on one server.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ActionRequest {
    server: String,
    window: u64,
    token: u64,
}

impl Platform {
    /// Serves all connections forever.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    /// Serves one connection.
    pub async fn serve(
        self: Arc<Self>,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    ) {
        let service = service_fn(move |request| Arc::clone(&self).answer(request));
        // Errors of a connection concern only its client.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let action = match (&head.method, head.uri.path()) {
            (&Method::GET, "/servers") => {
                return Ok(json_response(StatusCode::OK, &self.servers()));
            }
            (&Method::POST, "/drain") => Act::Drain,
            (&Method::POST, "/take") => Act::Take,
            (&Method::POST, "/return") => Act::Return,
            (&Method::POST, "/call-back") => Act::CallBack,
            _ => {
                return Ok(json_response(
                    StatusCode::NOT_FOUND,
                    &json!({"error": "no such page"}),
                ));
            }
        };
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let action_request: ActionRequest = match serde_json::from_slice(&body) {
            Ok(asked) => asked,
            Err(e) => {
                return Ok(json_response(
                    StatusCode::BAD_REQUEST,
                    &json!({"error": e.to_string()}),
                ));
            }
        };
        Ok(
            match self.perform(
                action,
                &action_request.server,
                action_request.window,
                action_request.token,
            ) {
                Answer::Done(place) => {
                    let started = self
                        .plan
                        .servers
                        .iter()
                        .position(|spec| spec.name == action_request.server);
                    let started =
                        started.map_or(0, |server| self.started_ms(server, self.clock.now()));
                    json_response(
                        StatusCode::OK,
                        &json!({"server": action_request.server, "state": place, "started_ms": started}),
                    )
                }
                Answer::Refused(seen) => json_response(
                    StatusCode::CONFLICT,
                    &json!({"error": "a higher token was seen", "seen": seen}),
                ),
                Answer::Unknown => {
                    json_response(StatusCode::NOT_FOUND, &json!({"error": "no such server"}))
                }
            },
        )
    }
}

fn json_response(status: StatusCode, content: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(content.to_string())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
