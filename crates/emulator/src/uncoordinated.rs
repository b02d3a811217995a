//! A maintenance crew without coordination, the baseline that coordinators are compared with.

use crate::Us;
use crate::draw::DRAINS_FOR;
use crate::experiment::Carried;
use crate::net::Clock;
use crate::plan::Plan;
use crate::platform::{Place, Platform};
use crate::record::Act;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How often the crew looks whether a server is back, before it goes on to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Carries out all windows of a plan.
pub async fn carry_out(plan: Arc<Plan>, clock: Clock, platform: Arc<Platform>, how: Carried) {
    let mut crews = JoinSet::new();
    for (number, window) in plan.windows.iter().enumerate() {
        for server in window.servers.clone() {
            let (at, length, name) = (window.at, window.length, plan.servers[server].name.clone());
            let (clock, platform) = (clock.clone(), Arc::clone(&platform));
            let one = async move {
                clock.until(at).await;
                away(&platform, server, &name, number as u64, length).await;
            };
            match how {
                Carried::Blind => drop(crews.spawn(one)),
                Carried::OneByOne => one.await,
                Carried::Not | Carried::Asked => {}
            }
        }
    }
    while crews.join_next().await.is_some() {}
}

/// Has one server away. Each server is in one window, so that a crew needs no more than two tokens
/// for it.
async fn away(platform: &Arc<Platform>, server: usize, name: &str, window: u64, length: Us) {
    platform.act(Act::Drain, name, window, 1);
    sleep(Duration::from_micros(DRAINS_FOR)).await;
    platform.act(Act::Take, name, window, 1);
    sleep(Duration::from_micros(length.saturating_sub(DRAINS_FOR))).await;
    platform.act(Act::Return, name, window, 2);
    while platform.place(server) != Place::Serving {
        sleep(POLL_INTERVAL).await;
    }
}
