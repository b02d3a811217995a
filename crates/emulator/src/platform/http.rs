//! The platform's interface over HTTP/1.1 with JSON; docs/emulator.md describes it.

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

/// Longest body of an act.
const MAX_BODY_BYTES: usize = 16 << 10;

/// An act on one server.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    server: String,
    window: u64,
    token: u64,
}

impl Platform {
    /// Serves whoever connects, for good.
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
        // What is wrong with a connection concerns its other end alone.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let act = match (&head.method, head.uri.path()) {
            (&Method::GET, "/servers") => return Ok(says(StatusCode::OK, &self.servers())),
            (&Method::POST, "/drain") => Act::Drain,
            (&Method::POST, "/take") => Act::Take,
            (&Method::POST, "/return") => Act::Return,
            (&Method::POST, "/call-back") => Act::CallBack,
            _ => {
                return Ok(says(
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
        let asked: Asked = match serde_json::from_slice(&body) {
            Ok(asked) => asked,
            Err(e) => {
                return Ok(says(
                    StatusCode::BAD_REQUEST,
                    &json!({"error": e.to_string()}),
                ));
            }
        };
        Ok(
            match self.act(act, &asked.server, asked.window, asked.token) {
                Answer::Done(place) => {
                    let started = self
                        .plan
                        .servers
                        .iter()
                        .position(|spec| spec.name == asked.server);
                    let started =
                        started.map_or(0, |server| self.started_ms(server, self.clock.now()));
                    says(
                        StatusCode::OK,
                        &json!({"server": asked.server, "state": place, "started_ms": started}),
                    )
                }
                Answer::Refused(seen) => says(
                    StatusCode::CONFLICT,
                    &json!({"error": "a higher token was seen", "seen": seen}),
                ),
                Answer::Unknown => says(StatusCode::NOT_FOUND, &json!({"error": "no such server"})),
            },
        )
    }
}

fn says(status: StatusCode, what: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(what.to_string())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
