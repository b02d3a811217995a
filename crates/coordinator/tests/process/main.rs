//! Coordinators as real processes: invalid requests, shutdown, and recovery of a lost disk.

mod cluster;

use cluster::{Cluster, exchange, rejects_unlisted_server, wait_for};
use serde_json::json;
use std::net::TcpStream;
use std::process::Command;

// Configurations with the earlier names of the sections are still accepted.
#[test]
fn earlier_sections_mean_the_same_as_todays() {
    let folder = tempfile::tempdir().expect("a folder");
    let today = cluster::configuration(
        folder.path(),
        0,
        &["127.0.0.1:1".parse().expect("an address")],
        1,
    );
    let earlier = today
        .replace("[coordinator]", "[steward]")
        .replace("[coordinators]", "[stewards]")
        .replace("[observations", "[evidence")
        .replace("[disruption_budget]", "[agreement]")
        + "\n[clear]\nask = true\n[log.targets]\nsteward = \"warn\"\n";
    let today = today + "\n[affinity_drain]\nask = true\n[log.targets]\ncoordinator = \"warn\"\n";
    let check_output = |text: &str| {
        let file = folder.path().join("a.toml");
        std::fs::write(&file, text).expect("it is written");
        let mut command = Command::new(cluster::PROGRAM);
        command.args(["run", "--check", "--config"]).arg(&file);
        let done = command.output().expect("it runs");
        assert_eq!(done.status.code(), Some(0), "{done:?}");
        String::from_utf8(done.stdout).expect("text")
    };
    let written = check_output(&today);
    assert_eq!(check_output(&earlier), written);
    assert!(written.contains("[affinity_drain]"), "{written}");
}

#[test]
fn a_bad_configuration_is_one_line_with_file_line_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = cluster::configuration(
        folder.path(),
        0,
        &["127.0.0.1:1".parse().expect("an address")],
        1,
    );
    for (from, to, code, words) in [
        (
            "most_away",
            "most_awya",
            78,
            ": disruption_budget.most_awya: unknown field",
        ),
        (
            "name = \"s0\"",
            "name = \"s9\"",
            78,
            "a.toml:2: coordinator.name: \"s9\" is not one of [coordinators]",
        ),
        (
            "keep = 10",
            "keep = \"10\"",
            78,
            ": disruption_budget.keep: invalid type",
        ),
        (
            "period = \"100ms\"",
            "period = \"7s\"",
            78,
            ": observations.period: evidence would be older",
        ),
        ("[disruption_budget]", "[disruption_budget", 78, "a.toml:"),
    ] {
        let file = folder.path().join("a.toml");
        std::fs::write(&file, good.replace(from, to)).expect("it is written");
        let done = Command::new(cluster::PROGRAM)
            .arg("--config")
            .arg(&file)
            .output()
            .expect("it runs");
        let stderr = String::from_utf8_lossy(&done.stderr);
        assert_eq!(
            (done.status.code(), stderr.lines().count()),
            (Some(code), 1),
            "{stderr}"
        );
        assert!(
            stderr.starts_with("coordinator: ") && stderr.contains(words),
            "{stderr}"
        );
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let file = folder.path().join("a.toml");
    std::fs::write(&file, cluster::configuration(folder.path(), 0, &[at], 1))
        .expect("it is written");
    let done = Command::new(cluster::PROGRAM)
        .arg("--config")
        .arg(&file)
        .output()
        .expect("it runs");
    let stderr = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(69), "{stderr}");
    assert!(
        stderr.contains(&format!("cannot listen on {at}")),
        "{stderr}"
    );
}

#[test]
fn wrong_requests_are_refused_with_key_and_reason_and_readers_keep_nobody_out() {
    let cluster = Cluster::start(3);
    let leader = cluster.leader();
    let at = cluster.addresses[leader];
    // More idle connections than the limit.
    let idle_connections: Vec<TcpStream> = (0..80)
        .map(|_| TcpStream::connect(at).expect("it accepts"))
        .collect();
    let request = json!({"name": "w", "target": {"servers": ["a0"]}, "earliest_ms": 0, "latest_ms": 1, "length_ms": 5});
    let mut misspelt = request.clone();
    misspelt["lenght_ms"] = json!(5);
    let unlisted = json!({"name": "w", "target": {"servers": ["b"]}, "earliest_ms": 0,
        "latest_ms": 4_000_000_000_000i64, "length_ms": 5});
    for (method, path, body, status, words) in [
        ("POST", "/windows", "{".to_owned(), 400, "EOF"),
        (
            "POST",
            "/windows",
            misspelt.to_string(),
            400,
            "\"key\":\"lenght_ms\"",
        ),
        (
            "POST",
            "/windows",
            request.to_string(),
            400,
            "\"key\":\"latest_ms\"",
        ),
        (
            "POST",
            "/windows",
            unlisted
                .to_string()
                .replace("4000000000000", &cluster::in_an_hour_ms()),
            422,
            "b",
        ),
        ("POST", "/windows", " ".repeat(300 << 10), 413, "longer"),
        ("POST", "/windows/7/cancel", String::new(), 422, "window 7"),
        (
            "POST",
            "/windows/7/finished",
            "{}".to_owned(),
            400,
            "server",
        ),
        ("GET", "/windows/x", String::new(), 404, "no such page"),
        ("DELETE", "/windows", String::new(), 405, "method"),
        (
            "POST",
            "/agreement/join",
            json!({"name": "x", "disk": "1"}).to_string(),
            400,
            "\"key\":\"name\"",
        ),
        (
            "POST",
            "/agreement/messages",
            "nonsense".to_owned(),
            400,
            "x-steward",
        ),
    ] {
        let (code, content) = exchange(at, method, path, &body).expect("an answer");
        assert_eq!(code, status, "{method} {path}: {content}");
        assert!(content.contains(words), "{method} {path}: {content}");
    }
    drop(idle_connections);
    let (code, _) = exchange(at, "GET", "/status", "").expect("an answer");
    assert_eq!(
        (code, cluster.leader()),
        (200, leader),
        "the coordinator is unaffected"
    );
}

#[test]
fn a_leader_that_is_told_to_stop_hands_over_and_a_lost_disk_comes_in_anew() {
    let mut cluster = Cluster::start(3);
    let first = cluster.leader();
    let term = cluster.status(first)["term"].as_u64();
    assert!(cluster.stop(first), "it ends by itself");
    assert!(
        cluster.log(first).contains("transferring leadership"),
        "{}",
        cluster.log(first)
    );
    wait_for("another coordinator leads after the transfer", || {
        cluster.current_leader().is_some()
    });
    let second = cluster.leader();
    assert_eq!(
        cluster.status(second)["term"].as_u64(),
        term.map(|term| term + 1),
        "there was no failed election"
    );
    // It lost its disk and must not found a new log, even as the first by name.
    cluster.remove_disk(first);
    cluster.run(first);
    wait_for("the new disk has a vote", || {
        cluster.status(first)["voice"] == true
    });
    let disks = cluster.status(first)["voters"].as_array().map(Vec::len);
    assert_eq!(disks, Some(3));
    // A truncated file is renamed, and logged.
    let follower = (0..3)
        .find(|n| *n != cluster.leader())
        .expect("one that follows");
    cluster.kill(follower);
    cluster.truncate_disk(follower);
    cluster.run(follower);
    wait_for(
        "the coordinator with the truncated file has a vote again",
        || cluster.status(follower)["voice"] == true,
    );
    assert!(
        cluster.log(follower).contains("is invalid"),
        "{}",
        cluster.log(follower)
    );
    assert!(
        cluster.log(follower).contains(".aside-1"),
        "{}",
        cluster.log(follower)
    );
}

#[test]
fn a_coordinator_whose_disk_fails_halts_and_says_so() {
    let mut cluster = Cluster::start(3);
    let follower = (0..3)
        .find(|n| *n != cluster.leader())
        .expect("one that follows");
    cluster.kill(follower);
    cluster.block_disk(follower);
    cluster.run(follower);
    wait_for("it reports the reason", || {
        cluster.status(follower)["halted"].is_string()
    });
    let (code, _) =
        exchange(cluster.addresses[follower], "GET", "/windows", "").expect("an answer");
    assert_eq!(code, 503);
    let lines = cluster.log(follower);
    assert_eq!(lines.matches("halted: ").count(), 1, "{lines}");
    cluster.unblock_disk(follower);
    wait_for("it has a vote again", || {
        cluster.status(follower)["voice"] == true
    });
    assert!(
        rejects_unlisted_server(&cluster, "w0"),
        "an unlisted server is rejected"
    );
}
