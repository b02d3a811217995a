//! Requests every window of a plan from the coordinators, as an operator's tool does.

use super::{Coordinators, POLL_INTERVAL, REQUEST_TIMEOUT};
use crate::draw::DRAINS_FOR;
use crate::page::request_json;
use crate::plan::WindowSpec;
use crate::platform::ServerPlace;
use crate::record::Seen;
use crate::site;
use crate::{SECOND, Us};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A server counts as away until it is warm again: this is requested in addition to the time until
/// its return, with time for two polls, in microseconds.
const WARMUP_TIME_US: Us = site::WARM_WITHIN + 3 * SECOND;
/// Interval of the reports that work is finished.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Requests all windows, each at its time, and records the answers.
pub async fn request_windows(coordinators: Arc<Coordinators>) {
    let mut requests = JoinSet::new();
    for window in 0..coordinators.plan.windows.len() {
        let coordinators = Arc::clone(&coordinators);
        requests.spawn(async move {
            let Some(window_id) = coordinators.request_window(window).await else {
                return;
            };
            let spec = &coordinators.plan.windows[window];
            let mut work_tasks = JoinSet::new();
            for server in spec.servers.clone() {
                let (coordinators, length) = (Arc::clone(&coordinators), spec.length);
                work_tasks.spawn(async move {
                    coordinators.finish_work(window_id, server, length).await
                });
            }
            while work_tasks.join_next().await.is_some() {}
        });
    }
    while requests.join_next().await.is_some() {}
}

impl Coordinators {
    fn request_json(&self, number: usize, window: &WindowSpec) -> Value {
        let unix_ms = |at: u64| self.clock.began_ms() + at / 1000;
        let names: Vec<&str> = window
            .servers
            .iter()
            .map(|i| self.plan.servers[*i].name.as_str())
            .collect();
        json!({"name": format!("w{number}"), "target": {"servers": names}, "earliest_ms": unix_ms(window.at),
            "latest_ms": unix_ms(window.latest), "length_ms": (window.length + WARMUP_TIME_US) / 1000,
            "overrun_ms": window.overrun / 1000, "priority": window.priority, "split": window.split})
    }

    async fn request_window(&self, number: usize) -> Option<u64> {
        let window = &self.plan.windows[number];
        self.clock.until(window.at).await;
        let request = self.request_json(number, window);
        for coordinator in (0..self.pages.len()).cycle().skip(number) {
            // Requests with the same name are for the same window.
            let answer = request_json(
                self.pages[coordinator],
                "POST",
                "/windows",
                Some(&request),
                REQUEST_TIMEOUT,
            )
            .await;
            if let Some((status, answer)) = answer {
                let booked = (200..300).contains(&status);
                let rejected = matches!(status, 400 | 409 | 422);
                let window_id = answer["booked"]["window"].as_u64();
                if booked || rejected {
                    let what = format!("{status} {answer}");
                    self.record.note(
                        self.clock.now(),
                        Seen::Window {
                            window: number,
                            booked,
                            what,
                        },
                    );
                    return window_id;
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

    /// Performs the work on a server whenever it is away, and reports that it is finished.
    async fn finish_work(&self, window: u64, server: usize, length: Us) {
        let (path, name) = (
            format!("/windows/{window}/finished"),
            &self.plan.servers[server].name,
        );
        loop {
            while self.platform.place(server) != ServerPlace::Away {
                sleep(POLL_INTERVAL).await;
            }
            sleep(Duration::from_micros(length.saturating_sub(DRAINS_FOR))).await;
            while self.platform.place(server) == ServerPlace::Away {
                for at in &self.pages {
                    request_json(
                        *at,
                        "POST",
                        &path,
                        Some(&json!({"server": name})),
                        REQUEST_TIMEOUT,
                    )
                    .await;
                }
                sleep(REPORT_INTERVAL).await;
            }
        }
    }
}
