//! Requests every window of a plan from the coordinators, as an operator's tool does.

use super::{Coordinators, POLL_INTERVAL, WITHIN};
use crate::draw::DRAINS_FOR;
use crate::page::ask;
use crate::plan::WindowSpec;
use crate::platform::Place;
use crate::record::Seen;
use crate::site;
use crate::{SECOND, Us};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A server is away until it is warm again: that is asked for on top of the time until its return,
/// with the time to look twice.
const WARMS: Us = site::WARM_WITHIN + 3 * SECOND;
/// Pause between two words that work is finished.
const AGAIN: Duration = Duration::from_millis(500);

/// Asks for all windows, each at its time, and notes the answers.
pub async fn ask_for_windows(coordinators: Arc<Coordinators>) {
    let mut asking = JoinSet::new();
    for window in 0..coordinators.plan.windows.len() {
        let coordinators = Arc::clone(&coordinators);
        asking.spawn(async move {
            let Some(named) = coordinators.ask_for(window).await else {
                return;
            };
            let spec = &coordinators.plan.windows[window];
            let mut works = JoinSet::new();
            for server in spec.servers.clone() {
                let (coordinators, length) = (Arc::clone(&coordinators), spec.length);
                works.spawn(async move { coordinators.work(named, server, length).await });
            }
            while works.join_next().await.is_some() {}
        });
    }
    while asking.join_next().await.is_some() {}
}

impl Coordinators {
    fn request(&self, number: usize, window: &WindowSpec) -> Value {
        let unix = |at: u64| self.clock.began_ms() + at / 1000;
        let names: Vec<&str> = window
            .servers
            .iter()
            .map(|i| self.plan.servers[*i].name.as_str())
            .collect();
        json!({"name": format!("w{number}"), "target": {"servers": names}, "earliest_ms": unix(window.at),
            "latest_ms": unix(window.latest), "length_ms": (window.length + WARMS) / 1000,
            "overrun_ms": window.overrun / 1000, "priority": window.priority, "split": window.split})
    }

    async fn ask_for(&self, number: usize) -> Option<u64> {
        let window = &self.plan.windows[number];
        self.clock.until(window.at).await;
        let request = self.request(number, window);
        for coordinator in (0..self.pages.len()).cycle().skip(number) {
            // Asked again under one name it is one window.
            let answer = ask(
                self.pages[coordinator],
                "POST",
                "/windows",
                Some(&request),
                WITHIN,
            )
            .await;
            if let Some((status, answer)) = answer {
                let booked = (200..300).contains(&status);
                let refused = matches!(status, 400 | 409 | 422);
                let named = answer["booked"]["window"].as_u64();
                if booked || refused {
                    let what = format!("{status} {answer}");
                    self.record.note(
                        self.clock.now(),
                        Seen::Window {
                            window: number,
                            booked,
                            what,
                        },
                    );
                    return named;
                }
            }
            if self.clock.now() > window.latest {
                let what = "nobody answered in time".to_owned();
                self.record.note(
                    self.clock.now(),
                    Seen::Window {
                        window: number,
                        booked: false,
                        what,
                    },
                );
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Does the work on a server whenever it is away, and says when that is finished.
    async fn work(&self, window: u64, server: usize, length: Us) {
        let (path, name) = (
            format!("/windows/{window}/finished"),
            &self.plan.servers[server].name,
        );
        loop {
            while self.platform.place(server) != Place::Away {
                sleep(POLL_INTERVAL).await;
            }
            sleep(Duration::from_micros(length.saturating_sub(DRAINS_FOR))).await;
            while self.platform.place(server) == Place::Away {
                for at in &self.pages {
                    ask(*at, "POST", &path, Some(&json!({"server": name})), WITHIN).await;
                }
                sleep(AGAIN).await;
            }
        }
    }
}
