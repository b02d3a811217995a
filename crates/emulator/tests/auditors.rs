//! Each auditor against a sidecar that breaks its rule: a stand-in of a few lines in place of the
//! real one. One that breaks none is not complained of.

use load_balancer_common::units::Time;
use load_balancer_emulator::audit::Rule;
use load_balancer_emulator::draw::draw;
use load_balancer_emulator::experiment::{Experiment, Fault, FaultKind, Variant};
use load_balancer_emulator::record::Record;
use load_balancer_emulator::run::{Launch, Progress, run};
use load_balancer_emulator::supervisor::PlatformConfig;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    Nothing,
    /// It closes every third connection without an answer.
    Loses,
    /// It answers by itself.
    Forges,
    /// It sends everything twice.
    Doubles,
    /// It asks for the list and goes by that of its start for good.
    Deaf,
    /// It sends all to who has just started.
    Crowds,
    /// It sends requests of its own.
    Invents,
}

/// Reads a head and a body of the length that it states.
async fn message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.lines().find_map(|l| {
        l.strip_prefix("content-length: ")?
            .trim()
            .parse::<usize>()
            .ok()
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    bytes.extend(body);
    Some(bytes)
}

async fn exchange(at: SocketAddr, request: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(request).await.ok()?;
    message(&mut stream).await
}

/// Addresses of the active entries, who has started in the run first.
fn active(list: &Value) -> Vec<SocketAddr> {
    let entries = list["endpoints"].as_array().cloned().unwrap_or_default();
    let mut active: Vec<_> = entries.iter().filter(|e| e["status"] == "active").collect();
    active.sort_by_key(|e| std::cmp::Reverse(e["since_ms"].as_u64()));
    active
        .iter()
        .filter_map(|e| e["address"].as_str()?.parse().ok())
        .collect()
}

async fn sidecar(told: PlatformConfig, wrong: Wrong) {
    let servers = Arc::new(Mutex::new(active(&told.platform["known"])));
    let listener = TcpListener::bind(told.listen)
        .await
        .expect("the address is free");
    let listens = Arc::clone(&servers);
    tokio::spawn(async move {
        loop {
            let list = exchange(
                told.discovery,
                b"GET /discovery/hosts HTTP/1.1\r\nhost: a\r\n\r\n",
            )
            .await;
            let text = list
                .map(|l| String::from_utf8_lossy(&l).into_owned())
                .unwrap_or_default();
            let Some((_, body)) = text.split_once("\r\n\r\n") else {
                return;
            };
            if wrong != Wrong::Deaf {
                *listens.lock().await = active(&serde_json::from_str(body).expect("a list"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let turn = Arc::new(AtomicUsize::new(0));
    while let Ok((mut client, _)) = listener.accept().await {
        let (servers, turn) = (Arc::clone(&servers), Arc::clone(&turn));
        tokio::spawn(async move {
            while let Some(request) = message(&mut client).await {
                let turn = turn.fetch_add(1, Ordering::SeqCst);
                let servers = servers.lock().await.clone();
                let at = servers[if wrong == Wrong::Crowds {
                    0
                } else {
                    turn % servers.len()
                }];
                if wrong == Wrong::Loses && turn.is_multiple_of(3) {
                    return;
                }
                if wrong == Wrong::Invents {
                    let own = b"GET /api HTTP/1.1\r\nhost: a\r\nx-correlation-id: 00000000ffffff00\r\n\r\n";
                    exchange(at, own).await;
                }
                if wrong == Wrong::Doubles {
                    exchange(at, &request).await;
                }
                let answer = match wrong {
                    Wrong::Forges => {
                        Some(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood".to_vec())
                    }
                    _ => exchange(at, &request).await,
                };
                let failed = b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n".to_vec();
                if client.write_all(&answer.unwrap_or(failed)).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The rules that auditors find broken. In the middle of the run a third of the servers is
/// replaced.
async fn broken(wrong: Wrong) -> BTreeSet<Rule> {
    let mut experiment = Experiment {
        name: "faulty".to_owned(),
        ..Experiment::default()
    };
    (experiment.topology.sidecars, experiment.topology.servers) = (2, 6);
    (
        experiment.load.rate,
        experiment.load.lasts,
        experiment.load.warmup,
    ) = (30.0, Time::ms(3500), Time::ms(0));
    // Little work, so that even a server of which all want something serves them; for who crowds,
    // more.
    experiment.load.work = if wrong == Wrong::Crowds { 1.0 } else { 0.05 };
    experiment.network.list_delay = [Time::ms(100), Time::ms(200)];
    experiment.fault = vec![Fault {
        kind: FaultKind::ServersReplace,
        at: Time::ms(500),
        lasts: Time::ms(500),
        zone: None,
        part: Some(0.34),
        size: None,
        way: None,
    }];
    let (plan, variant) = (Arc::new(draw(&experiment, 3)), Variant::default());
    let launch = Launch::InProcess(Arc::new(move |told| Box::pin(sidecar(told, wrong))));
    let (sender, _progress) = watch::channel(Progress::default());
    let played = run(
        &experiment,
        &plan,
        &variant,
        &launch,
        Path::new("/nonexistent"),
        &sender,
        &Record::default(),
    )
    .await;
    let tally = played.expect("it is played");
    assert!(!plan.arrivals.is_empty());
    tally.findings.iter().map(|f| f.rule).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_faulty_sidecar_is_found_by_the_auditor_of_its_rule_and_a_plain_one_by_none() {
    for (wrong, rule) in [
        (Wrong::Nothing, None),
        (Wrong::Loses, Some(Rule::Answers)),
        (Wrong::Forges, Some(Rule::Answers)),
        (Wrong::Doubles, Some(Rule::Repeats)),
        (Wrong::Deaf, Some(Rule::Drains)),
        (Wrong::Crowds, Some(Rule::Cold)),
        (Wrong::Invents, Some(Rule::Listed)),
    ] {
        let found = broken(wrong).await;
        match rule {
            Some(rule) => assert!(found.contains(&rule), "{wrong:?}: {found:?}"),
            None => assert!(found.is_empty(), "{wrong:?}: {found:?}"),
        }
    }
}
