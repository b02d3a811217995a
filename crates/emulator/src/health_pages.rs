//! Stand-ins for the sidecars' pages on server health, which report the true state with a member's
//! usual delay.

use crate::listing::started_ms;
use crate::net::Clock;
use crate::plan::Plan;
use crate::platform::Platform;
use crate::servers::Servers;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Usual age of members' observations: half of the interval between gossip messages, in
/// milliseconds.
const OBSERVATION_AGE_MS: u64 = 500;

/// The source of all pages.
#[derive(Clone)]
pub struct TrueHealth {
    /// The plan of the run.
    pub plan: Arc<Plan>,
    /// The clock of the run.
    pub clock: Clock,
    /// The servers of the run.
    pub servers: Arc<Servers>,
    /// The platform, for what is listed.
    pub platform: Arc<Platform>,
}

impl TrueHealth {
    fn page(&self, sidecar: usize) -> Value {
        let now = self.clock.now();
        let warmth_if_healthy = |server: usize| {
            self.servers.with(|world, at, done| {
                world.advance(at, done);
                world
                    .is_responding(server)
                    .then(|| world.warmth(server, at))
            })
        };
        let entry = |server: usize| {
            let warmth = warmth_if_healthy(server);
            let state = if warmth.is_some() { "well" } else { "sick" };
            json!({"name": self.plan.servers[server].name, "state": state, "age_ms": OBSERVATION_AGE_MS,
                "started_ms": started_ms(self.platform.since(server, now), self.clock.began_ms()),
                "warm": warmth.is_some_and(|warmth| warmth >= 1.0)})
        };
        let servers: Vec<Value> = (0..self.plan.servers.len()).map(entry).collect();
        json!({"member": format!("n{sidecar}"), "answers": true, "servers": servers})
    }

    /// Serves the page of one sidecar forever.
    pub async fn serve(self, sidecar: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let health = self.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let text = health.page(sidecar).to_string();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            tokio::spawn(async move {
                // Errors of a connection concern only its client.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }
}
