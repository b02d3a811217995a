//! Stand-ins for the sidecars' pages on server health, which report the truth as a member would see
//! it a moment later.

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

/// Age that members' observations have as a rule: half of the time between two words of the fleet.
const AGE_MS: u64 = 500;

/// What all pages are made from.
#[derive(Clone)]
pub struct Truth {
    /// The run.
    pub plan: Arc<Plan>,
    /// Its clock.
    pub clock: Clock,
    /// Its servers.
    pub servers: Arc<Servers>,
    /// What is listed.
    pub platform: Arc<Platform>,
}

impl Truth {
    fn page(&self, sidecar: usize) -> Value {
        let now = self.clock.now();
        let well = |server: usize| {
            self.servers.with(|world, at, done| {
                world.advance(at, done);
                world
                    .is_responding(server)
                    .then(|| world.warmth(server, at))
            })
        };
        let seen = |server: usize| {
            let warmth = well(server);
            let state = if warmth.is_some() { "well" } else { "sick" };
            json!({"name": self.plan.servers[server].name, "state": state, "age_ms": AGE_MS,
                "started_ms": started_ms(self.platform.since(server, now), self.clock.began_ms()),
                "warm": warmth.is_some_and(|warmth| warmth >= 1.0)})
        };
        let servers: Vec<Value> = (0..self.plan.servers.len()).map(seen).collect();
        json!({"member": format!("n{sidecar}"), "answers": true, "servers": servers})
    }

    /// Serves the page of one sidecar, for good.
    pub async fn tell(self, sidecar: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = self.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let text = this.page(sidecar).to_string();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            tokio::spawn(async move {
                // What is wrong with a connection concerns its other end alone.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }
}
