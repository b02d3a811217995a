//! An HTTP request for a page with a total time-out.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest page.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// What a process answers: its status and content, `Null` where that is no JSON. None where nothing
/// whole came in time.
pub async fn ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    within: Duration,
) -> Option<(u16, Value)> {
    let asked = async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let content = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "lab")
            .header("content-type", "application/json")
            .header("connection", "close")
            .body(Full::new(Bytes::from(content)));
        let response = sender.send_request(request.ok()?).await.ok()?;
        let status = response.status().as_u16();
        let content = Limited::new(response.into_body(), MAX_PAGE_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        Some((
            status,
            serde_json::from_slice(&content).unwrap_or(Value::Null),
        ))
    };
    timeout(within, asked).await.ok().flatten()
}
