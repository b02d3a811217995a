//! The platform's stand-in over its sockets: what an action does, what a low token does, how
//! servers come back.

use load_balancer_emulator::SECOND;
use load_balancer_emulator::catalogue::Catalogue;
use load_balancer_emulator::directory::State;
use load_balancer_emulator::draw::draw;
use load_balancer_emulator::experiment::Experiment;
use load_balancer_emulator::net::Clock;
use load_balancer_emulator::plan::Returns;
use load_balancer_emulator::platform::Platform;
use load_balancer_emulator::record::{Act, Record, Seen};
use load_balancer_emulator::servers::Servers;
use serde_json::Value;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// A platform with its list, its record and the names of its servers.
fn platform() -> (Arc<Platform>, Catalogue, Record, Vec<String>) {
    let plan = Arc::new(draw(
        &Experiment {
            name: "a".to_owned(),
            ..Experiment::default()
        },
        3,
    ));
    let (clock, record) = (Clock::default(), Record::default());
    clock.begin();
    let servers = Servers::new(Arc::clone(&plan), clock.clone(), record.clone(), 64);
    let catalogue = Catalogue::new(plan.directory.clone());
    let names = plan.servers.iter().map(|spec| spec.name.clone()).collect();
    (
        Platform::new(plan, clock, record.clone(), servers, catalogue.clone()),
        catalogue,
        record,
        names,
    )
}

/// Status and content of an answer.
async fn asked(platform: &Arc<Platform>, what: &str, body: &str) -> (u16, Value) {
    let (mut near, far) = duplex(1 << 16);
    tokio::spawn(Arc::clone(platform).serve(far));
    let head = format!(
        "{what} HTTP/1.1\r\nhost: p\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    near.write_all((head + body).as_bytes())
        .await
        .expect("it is taken");
    let mut text = String::new();
    near.read_to_string(&mut text).await.expect("an answer");
    let (head, content) = text.split_once("\r\n\r\n").expect("a head");
    (
        head[9..12].parse().expect("a status"),
        serde_json::from_str(content).expect("JSON"),
    )
}

fn act(server: &str, token: u64) -> String {
    format!("{{\"server\":\"{server}\",\"window\":1,\"token\":{token}}}")
}

#[tokio::test]
async fn a_server_drains_goes_and_comes_back_and_a_lower_token_does_nothing() {
    let (platform, catalogue, record, names) = platform();
    let name = &names[0];
    let state = || catalogue.with(|d| d.list_at(d.changes.len()).first().map(|(_, state)| *state));
    let (status, list) = asked(&platform, "GET /servers", "").await;
    assert_eq!((status, list.as_array().map(Vec::len)), (200, Some(12)));
    assert_eq!(
        (&list[0]["state"], &list[0]["started_ms"]),
        (&"serving".into(), &0.into()),
        "{list}"
    );
    let (status, answer) = asked(&platform, "POST /drain", &act(name, 5)).await;
    assert_eq!(
        (status, &answer["state"], state()),
        (200, &"draining".into(), Some(State::Leaving))
    );
    let (status, answer) = asked(&platform, "POST /take", &act(name, 4)).await;
    assert_eq!(
        (status, &answer["seen"], state()),
        (409, &5.into(), Some(State::Leaving))
    );
    assert_eq!(
        asked(&platform, "POST /call-back", &act(name, 6)).await.0,
        200
    );
    assert_eq!(
        state(),
        Some(State::Active { since: None }),
        "the same process as before"
    );
    assert_eq!(
        asked(&platform, "POST /drain", &act(name, 5)).await.0,
        409,
        "a late word undoes no call-back"
    );
    for (what, token, place) in [
        ("drain", 7, "draining"),
        ("take", 7, "away"),
        ("take", 7, "away"),
        ("call-back", 8, "away"),
    ] {
        let (status, answer) = asked(&platform, &format!("POST /{what}"), &act(name, token)).await;
        assert_eq!((status, &answer["state"]), (200, &place.into()), "{what}");
    }
    assert_eq!(asked(&platform, "POST /return", &act(name, 8)).await.0, 200);
    // It starts in a task of its own.
    while !matches!(state(), Some(State::Active { since: Some(_) })) {
        tokio::task::yield_now().await;
    }
    let (_, list) = asked(&platform, "GET /servers", "").await;
    assert!(
        list[0]["started_ms"].as_u64() > Some(1_000_000),
        "a new process: {list}"
    );
    let acts: Vec<bool> = record
        .take()
        .into_iter()
        .filter_map(|(_, seen)| {
            if let Seen::Acted { accepted, .. } = seen {
                Some(accepted)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(
        acts,
        [true, false, true, false, true, true, true, true, true]
    );
}

#[tokio::test]
async fn what_cannot_be_understood_gets_a_line_and_changes_nothing() {
    let (platform, _, record, names) = platform();
    for (what, body, status) in [
        ("POST /drain", "{".to_owned(), 400),
        (
            "POST /drain",
            format!("{{\"server\":\"{}\",\"window\":1}}", names[0]),
            400,
        ),
        ("POST /drain", "x".repeat(20_000), 400),
        ("POST /drain", act("nobody", 1), 404),
        ("POST /vanish", act(&names[0], 1), 404),
        ("GET /drain", String::new(), 404),
    ] {
        let (got, answer) = asked(&platform, what, &body).await;
        assert_eq!(got, status, "{what}: {answer}");
        assert!(answer["error"].is_string());
    }
    assert!(record.take().is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_that_comes_back_late_never_or_twice_does_so() {
    for (how, starts, place) in [
        (Returns::Late(5 * SECOND), 1, "serving"),
        (Returns::Never, 0, "returning"),
        (Returns::Twice, 2, "serving"),
    ] {
        let (platform, _, record, names) = platform();
        platform.set_return_mode(2, how);
        for (what, token) in [(Act::Drain, 1), (Act::Take, 1), (Act::Return, 2)] {
            platform.perform(what, &names[2], 1, token);
        }
        tokio::time::sleep(std::time::Duration::from_secs(60)).await;
        let (_, list) = asked(&platform, "GET /servers", "").await;
        let entry = list
            .as_array()
            .expect("a list")
            .iter()
            .find(|e| e["name"] == names[2].as_str());
        assert_eq!(
            entry.map(|entry| &entry["state"]),
            Some(&place.into()),
            "{how:?}"
        );
        let ups = record
            .take()
            .iter()
            .filter(|(_, seen)| *seen == Seen::ServerUp { server: 2 })
            .count();
        assert_eq!(ups, starts, "{how:?}");
    }
}
