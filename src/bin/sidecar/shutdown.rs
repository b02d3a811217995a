//! A graceful shutdown, in stages.

use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long new connections are accepted after SIGTERM: clients continue to open them for up to 400
/// ms.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(500);
/// After SIGTERM the platform waits at least the longest deadline, at most `MAX_GRACE_PERIOD`, plus
/// 700 ms before SIGKILL. Requests still open this long after the deadline are failed, so that
/// their answers are sent before that.
const ANSWER_AFTER_TERM: Duration = Duration::from_millis(500);
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time to write the last answers.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(80);

/// The stages, in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Serving normally.
    Running,
    /// Connections close once their open requests are answered.
    Closing,
    /// New connections are no longer accepted.
    NotAccepting,
    /// Requests that are still open fail at once.
    Immediate,
}

/// Accepts late connections, waits for open requests, and fails the rest in time; `longest_deadline`
/// is the longest time that a client waits.
pub async fn shut_down(
    shutdown: watch::Sender<ShutdownStage>,
    accept_task: JoinHandle<()>,
    longest_deadline: Duration,
) {
    let started = Instant::now();
    let grace_period = longest_deadline.min(MAX_GRACE_PERIOD);
    shutdown.send_replace(ShutdownStage::Closing);
    sleep(ACCEPT_AFTER_TERM).await;
    shutdown.send_replace(ShutdownStage::NotAccepting);
    // Completes once every connection has ended.
    let all_closed = async {
        if accept_task.await.is_ok() {
            shutdown.closed().await;
        }
    };
    tokio::pin!(all_closed);
    tokio::select! {
        () = &mut all_closed => return,
        () = sleep_until(started + grace_period + ANSWER_AFTER_TERM) => {}
    }
    shutdown.send_replace(ShutdownStage::Immediate);
    let _ = timeout(FINAL_WRITE_TIME, all_closed).await;
}
