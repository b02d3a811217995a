//! Asks discovery for the list of endpoints, when the module says so, and passes on what it answers. Changes with
//! how discovery is called.

use crate::connection::{Connection, Meter};
use crate::hosts::HostList;
use crate::messages::{Input, Inputs};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

/// What a silent watch misses counts as told this long after it fell silent, as the protocol has it.
const TOLD: Duration = Duration::from_secs(6);
/// How long a connection, and how much longer than a watch or a plain call an answer, may take: this bounds one to
/// which nothing comes back at all.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a watch lets discovery wait for news at the most. One that falls silent as it begins is so given up, asked
/// for anew in vain and asked for once more before what it missed counts as told. Discovery sends no line of the list
/// for a watch that ends without news, so a shorter one is not dearer to it.
const WATCH: Duration = TOLD.saturating_sub(PATIENCE.saturating_mul(3));
/// Least wait, as a part of that: sidecars whose watches were answered at once must not all ask again at once.
const LEAST_WAIT: f64 = 0.75;
/// Least time from one watch call to the next. A watch is only kept when the next call goes within 200 ms of
/// the last answer; less than that keeps a discovery that answers at once from being called in a tight loop.
const SPACING: Duration = Duration::from_millis(50);
/// Longest list taken.
const LONGEST: usize = 4 << 20;

/// What may be asked of discovery.
#[derive(Clone, Copy)]
pub enum Ask {
    /// Changes from now on, until a call fails.
    Watch,
    /// No more changes.
    StopWatch,
    /// The whole list once.
    Fetch,
}

/// Carries out what is asked, one watch at most at a time. Where discovery moves, the watch moves along at once.
pub async fn run(
    mut at: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    seed: u64,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    inputs: Inputs,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let index = Rc::new(Cell::new(known));
    let mut watching: Option<AbortHandle> = None;
    loop {
        let ask = tokio::select! {
            ask = asks.recv() => match ask {
                Some(ask) => ask,
                None => return,
            },
            Ok(()) = at.changed() => {
                let Some(old) = watching.take() else { continue };
                old.abort();
                // Whether versions go on there is not known: the whole list comes first.
                index.set(None);
                Ask::Watch
            }
        };
        let at = *at.borrow();
        match ask {
            // One that runs goes on: a second would only put more load on discovery.
            Ask::Watch if watching.as_ref().is_some_and(|w| !w.is_finished()) => {}
            Ask::Watch => {
                let task = keep_watching(at, rng.fork(), Rc::clone(&index), inputs.clone());
                watching = Some(spawn_local(task).abort_handle());
            }
            Ask::StopWatch => {
                if let Some(watching) = watching.take() {
                    watching.abort();
                }
            }
            Ask::Fetch => {
                let (index, inputs) = (Rc::clone(&index), inputs.clone());
                spawn_local(async move {
                    let mut link = None;
                    tell(call(at, &mut link, None).await, &index, &inputs);
                });
            }
        }
    }
}

/// Call after call until one fails; the module then says when to begin anew.
async fn keep_watching(at: SocketAddr, mut rng: fastrand::Rng, index: Rc<Cell<Option<u64>>>, inputs: Inputs) {
    let mut link = None;
    loop {
        let next = Instant::now() + SPACING;
        let after =
            index.get().map(|index| (index, WATCH.mul_f64(LEAST_WAIT + (1.0 - LEAST_WAIT) * rng.f64())));
        if !tell(call(at, &mut link, after).await, &index, &inputs) {
            return;
        }
        sleep_until(next).await;
    }
}

/// Passes on an answer or a failure; whether it was an answer.
fn tell(answer: Result<HostList, String>, index: &Cell<Option<u64>>, inputs: &Inputs) -> bool {
    match answer {
        Ok(list) => {
            index.set(Some(list.index));
            inputs.send(Input::Hosts(list));
            true
        }
        Err(what) => {
            inputs.send(Input::HostsFailed(what));
            false
        }
    }
}

/// One call, for news after a version within some time where that is given, over the connection of the last one where that is still good. Bounded in time and in size: a
/// discovery that is cut off says nothing at all.
async fn call(
    at: SocketAddr,
    link: &mut Option<Connection>,
    after: Option<(u64, Duration)>,
) -> Result<HostList, String> {
    let (path, wait) = match after {
        Some((index, wait)) => (format!("/discovery/hosts?after={index}&wait_ms={}", wait.as_millis()), wait),
        None => ("/discovery/hosts".to_owned(), Duration::ZERO),
    };
    match timeout(wait + PATIENCE, exchange(at, link, &path)).await {
        Ok(answer) => answer,
        Err(_) => Err("no answer".to_owned()),
    }
}

async fn exchange(at: SocketAddr, link: &mut Option<Connection>, path: &str) -> Result<HostList, String> {
    let request = Request::get(path)
        .header(hyper::header::HOST, at.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let mut connection = match link.take().filter(Connection::usable) {
        Some(connection) => connection,
        None => match timeout(PATIENCE, Connection::open(at)).await {
            Ok(opened) => opened.map_err(|e| e.to_string())?,
            Err(_) => return Err("no connection".to_owned()),
        },
    };
    let response = connection.request(request, Meter::default()).await.map_err(|e| e.to_string())?;
    let (head, body) = response.into_parts();
    let body = connection.drive(Limited::new(body, LONGEST).collect()).await;
    let body = body.ok_or("connection lost")?.map_err(|e| e.to_string())?.to_bytes();
    if head.status != StatusCode::OK {
        return Err(format!("status {}", head.status.as_u16()));
    }
    *link = Some(connection);
    let list: HostList = serde_json::from_slice(&body).map_err(|e| format!("unreadable list: {e}"))?;
    // To follow it would leave nothing to serve with; more likely discovery has lost what it knew.
    if list.snapshot && list.endpoints.is_empty() {
        return Err("empty list".to_owned());
    }
    Ok(list)
}
