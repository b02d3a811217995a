//! An HTTP request for a page, with a total timeout.

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

/// Longest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// A process's answer: status and content, `Null` if that is not JSON. None if there is no complete
/// answer in time.
pub async fn request_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    time_limit: Duration,
) -> Option<(u16, Value)> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
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
    timeout(time_limit, exchange).await.ok().flatten()
}
