//! State kept across crashes of real processes.

use crate::harness::*;
use crate::stubs::*;
use std::path::Path;
use std::sync::atomic::Ordering;

/// A configuration with a snapshot directory and a metrics page. The start waits for as long as a
/// machine under load may need: the test checks what is found, not how fast.
fn keeping(dir: &Path, page: std::net::SocketAddr) -> File {
    File::new(&metrics(
        page,
        &format!(
            "[state]\ndir = \"{}\"\nevery = \"50ms\"\nwait = \"20s\"\n",
            dir.display()
        ),
    ))
}

fn directory() -> tempfile::TempDir {
    tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a directory")
}

/// A metric of the page.
fn figure(at: std::net::SocketAddr, name: &str) -> f64 {
    let page = page(at, "/metrics");
    page.lines()
        .find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
        .unwrap_or(-1.0)
}

fn threads(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/task"))
        .expect("it runs")
        .count()
}

fn files(dir: &Path) -> Vec<String> {
    let names = std::fs::read_dir(dir).expect("it is there").flatten();
    let mut names: Vec<_> = names
        .filter_map(|e| e.file_name().into_string().ok())
        .collect();
    names.sort();
    names
}

#[test]
fn after_a_kill_the_list_and_the_circuits_are_restored() {
    let (dir, discovery, at) = (directory(), Discovery::start(), unused_address());
    let old = Endpoint::start(|_| served());
    let [well, sick] = [served as fn() -> Reply, || {
        Reply::Answer(500, "", Vec::new())
    }];
    let (well, sick) = (
        Endpoint::start(move |_| well()),
        Endpoint::start(move |_| sick()),
    );
    let named = [
        ("s-2", well.address, "active"),
        ("s-3", sick.address, "active"),
    ];
    discovery.publish(7, list(7, true, &named));
    let file = keeping(dir.path(), at);
    let (sidecar, said) = start_named("n1", &discovery, &old, &file);
    wait_until("nothing was kept", || {
        said.count("nothing was kept: 0 endpoints") == 1
    });
    discovery.wait_for_watch(7);
    wait_until("the circuit opens", || {
        ask(&sidecar);
        figure(at, "sidecar_circuits_open ") == 1.0
    });
    let commits = figure(at, "sidecar_state_commits_total ");
    wait_until("that is kept", || {
        figure(at, "sidecar_state_commits_total ") > commits
    });
    drop(sidecar);
    // Discovery is gone, and the platform knows only the old list.
    discovery.failing.store(true, Ordering::SeqCst);
    let (before, seen) = (old.requests(), sick.requests());
    let (sidecar, said) = start_named("n1", &discovery, &old, &file);
    let line = "the last life ended without a word: 2 endpoints, pace of 2, 1 open circuits";
    wait_until("it says what it found", || said.count(line) == 1);
    assert_eq!(figure(at, "sidecar_circuits_open "), 1.0);
    for _ in 0..30 {
        assert_eq!(ask(&sidecar), 200);
    }
    assert_eq!(old.requests(), before, "it is on no list any more");
    assert!(sick.requests() <= seen + 2, "one trial at a time");
    assert_eq!(files(dir.path()), ["known", "lock", "numbers"]);
}

#[test]
fn a_second_process_on_a_directory_ends_with_one_line() {
    let (dir, discovery) = (directory(), Discovery::start());
    let endpoint = Endpoint::start(|_| served());
    let file = keeping(dir.path(), unused_address());
    let (sidecar, _said) = start_named("n1", &discovery, &endpoint, &file);
    let platform = File::new(&config(unused_address(), discovery.address, "null"));
    let [product, platform] = [&file, &platform].map(|f| f.0.to_str().expect("text").to_owned());
    for (name, code, words) in [
        ("n1", 69, "another process uses"),
        ("", 78, "snapshot.dir needs a name"),
    ] {
        let output = run(
            &["--config", &product],
            &[("LB_CONFIG", &platform), ("LB_NAME", name)],
        );
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(code), "{said}");
        assert!(said.contains(words) && said.lines().count() == 1, "{said}");
    }
    assert_eq!(ask(&sidecar), 200);
}

#[test]
fn an_unusable_directory_causes_one_log_line_and_a_metric() {
    let (dir, discovery, at) = (directory(), Discovery::start(), unused_address());
    let endpoint = Endpoint::start(|_| served());
    std::fs::write(dir.path().join("n1"), b"").expect("a file in the way");
    let file = keeping(&dir.path().join("n1"), at);
    let (sidecar, said) = start_named("n1", &discovery, &endpoint, &file);
    for _ in 0..20 {
        assert_eq!(ask(&sidecar), 200);
    }
    assert_eq!(
        (
            figure(at, "sidecar_state_failing "),
            said.count("nothing is kept for now")
        ),
        (1.0, 1)
    );
    sidecar.terminate();
    let mut sidecar = sidecar;
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn without_a_directory_there_is_no_thread_no_log_line_and_no_metric() {
    let (discovery, at) = (Discovery::start(), unused_address());
    let endpoint = Endpoint::start(|_| served());
    let file = File::new(&metrics(at, ""));
    let (sidecar, said) = start_named("n1", &discovery, &endpoint, &file);
    assert_eq!((ask(&sidecar), threads(sidecar.process.id())), (200, 1));
    assert!(!page(at, "/metrics").contains("sidecar_state") && said.count("state") == 0);
}

/// Incarnations that end in SIGKILL under load, at a different time each, and one that shuts down.
/// `KILLS` in the environment sets their number.
#[test]
fn each_start_after_a_kill_under_load_has_a_new_incarnation_and_quarantines_nothing() {
    let kills: u64 = std::env::var("KILLS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(15);
    let (dir, discovery) = (directory(), Discovery::start());
    let endpoint = Endpoint::start(|_| served());
    discovery.publish(2, list(2, true, &[("s-1", endpoint.address, "active")]));
    let file = keeping(dir.path(), unused_address());
    let mut last = 0;
    let mut incarnation = |said: &Said| {
        let word = "; incarnation ";
        wait_until("it tells its incarnation", || said.count(word) == 1);
        let text = said.text();
        let number = text
            .split(word)
            .nth(1)
            .and_then(|t| t.lines().next()?.trim().parse().ok());
        let number: u64 = number.expect("a number");
        assert!(std::mem::replace(&mut last, number) < number, "{text}");
    };
    for life in 0..kills {
        let (sidecar, said) = start_named("n1", &discovery, &endpoint, &file);
        incarnation(&said);
        assert_eq!(said.count("set aside"), 0, "{}", said.text());
        for _ in 0..life * 7 % 40 {
            assert_eq!(ask(&sidecar), 200);
        }
    }
    let (mut sidecar, said) = start_named("n1", &discovery, &endpoint, &file);
    incarnation(&said);
    assert!(said.count("ended without a word") == 1, "{}", said.text());
    sidecar.terminate();
    assert!(sidecar.wait_for_exit().success());
    let (_sidecar, said) = start_named("n1", &discovery, &endpoint, &file);
    incarnation(&said);
    assert_eq!(
        said.count("the last life ended cleanly"),
        1,
        "{}",
        said.text()
    );
    assert_eq!(files(dir.path()), ["known", "lock", "numbers"]);
}
