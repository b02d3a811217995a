//! Maintenance without coordination, the baseline that coordinators are compared with.

use crate::Us;
use crate::draw::DRAINS_FOR;
use crate::experiment::Carried;
use crate::net::Clock;
use crate::plan::Plan;
use crate::platform::{Platform, ServerPlace};
use crate::record::Act;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval of the checks whether a server is back, before the next one is started.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Carries out all windows of a plan.
pub async fn carry_out(plan: Arc<Plan>, clock: Clock, platform: Arc<Platform>, mode: Carried) {
    let mut tasks = JoinSet::new();
    for (number, window) in plan.windows.iter().enumerate() {
        for server in window.servers.clone() {
            let (at, length, name) = (window.at, window.length, plan.servers[server].name.clone());
            let (clock, platform) = (clock.clone(), Arc::clone(&platform));
            let maintain_one = async move {
                clock.until(at).await;
                maintain_server(&platform, server, &name, number as u64, length).await;
            };
            match mode {
                Carried::Blind => drop(tasks.spawn(maintain_one)),
                Carried::OneByOne => maintain_one.await,
                Carried::Not | Carried::Asked => {}
            }
        }
    }
    while tasks.join_next().await.is_some() {}
}

/// Takes one server away and returns it. Each server is in one window, so two tokens are enough.
async fn maintain_server(
    platform: &Arc<Platform>,
    server: usize,
    name: &str,
    window: u64,
    length: Us,
) {
    platform.perform(Act::Drain, name, window, 1);
    sleep(Duration::from_micros(DRAINS_FOR)).await;
    platform.perform(Act::Take, name, window, 1);
    sleep(Duration::from_micros(length.saturating_sub(DRAINS_FOR))).await;
    platform.perform(Act::Return, name, window, 2);
    while platform.place(server) != ServerPlace::Serving {
        sleep(POLL_INTERVAL).await;
    }
}
