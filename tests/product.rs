//! The product parts of the sidecar, from outside: command line, product configuration, logs and metrics.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use stubs::*;

fn served() -> Reply {
    Reply::Answer(200, "", b"served".to_vec())
}

/// A product configuration file.
struct File(PathBuf);

impl File {
    fn new(text: &str) -> Self {
        Self(config_file(text))
    }

    /// As an editor does that writes in place.
    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the file can be written");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// What a sidecar has written to its standard error so far.
#[derive(Clone, Default)]
struct Said(Arc<Mutex<String>>);

impl Said {
    fn text(&self) -> String {
        self.0.lock().expect("no reader panics").clone()
    }

    fn count(&self, words: &str) -> usize {
        self.text().matches(words).count()
    }
}

/// A sidecar with a product configuration, whose standard error is read.
fn start(discovery: &Discovery, endpoint: &Endpoint, file: &File) -> (Sidecar, Said) {
    start_named("", discovery, endpoint, file)
}

fn start_named(name: &str, discovery: &Discovery, endpoint: &Endpoint, file: &File) -> (Sidecar, Said) {
    let mut sidecar = start_piped(name, discovery, endpoint, &file.0);
    let (said, mut pipe) = (Said::default(), sidecar.process.stderr.take().expect("it is a pipe"));
    let into = said.clone();
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok(length @ 1..) = pipe.read(&mut bytes) {
            into.0.lock().expect("no reader panics").push_str(&String::from_utf8_lossy(&bytes[..length]));
        }
    });
    (sidecar, said)
}

fn start_piped(name: &str, discovery: &Discovery, endpoint: &Endpoint, file: &Path) -> Sidecar {
    Sidecar::start_adapted(
        discovery,
        &[("s-1", endpoint)],
        1024,
        |c| c,
        |command| {
            command.arg("--config").arg(file).env("LB_NAME", name).stderr(Stdio::piped());
        },
    )
}

fn ask(sidecar: &Sidecar) -> u16 {
    sidecar.ask(&request("look", "", "")).expect("an answer").status()
}

fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tinflow"));
    command.args(args).env_remove("LB_CONFIG").envs(variables.iter().copied()).stdin(Stdio::null());
    command.output().expect("it starts")
}

/// Reads a page of the metrics' address; empty where the reader is turned away.
fn page(at: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(at) else { return String::new() };
    let mut text = String::new();
    if stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).is_ok() {
        let _ = stream.read_to_string(&mut text);
    }
    text
}

fn metrics(at: SocketAddr, more: &str) -> String {
    format!("[metrics]\nenabled = true\naddress = \"{at}\"\n{more}")
}

#[test]
fn help_version_and_wrong_calls_end_with_their_codes() {
    let help = run(&["--help"], &[]);
    let text = String::from_utf8(help.stdout).expect("text");
    assert_eq!(help.status.code(), Some(0));
    for word in ["--config", "--check", "LINENPROXY_CONFIG", "Exit codes:"] {
        assert!(text.contains(word), "{word} is not in\n{text}");
    }
    let version = run(&["--version"], &[]);
    assert!(String::from_utf8(version.stdout).expect("text").starts_with("tinflow 0."));
    assert_eq!(run(&["--confg", "a"], &[]).status.code(), Some(64));
}

#[test]
fn a_product_configuration_that_cannot_be_used_ends_the_start_with_file_line_and_key() {
    for (text, place) in [
        ("[metrics]\naddres = \"127.0.0.1:1\"\n", ":2: metrics.addres: unknown field"),
        ("[log]\n\nbuffer = \"64s\"\n", ":3: log.buffer: \"64s\" is not a size"),
        ("[metrics]\ntimeout = \"0s\"\n", ":2: metrics.timeout: "),
        ("[log]\nlevel = \"loud\"\n", ":2: log.level: unknown variant"),
        ("[log]\nlevel = \"in", ":2: "),
    ] {
        let file = File::new(text);
        let path = file.0.to_str().expect("a path of text");
        for output in [run(&["--config", path], &[]), run(&["--check"], &[("LINENPROXY_CONFIG", path)])] {
            let said = String::from_utf8(output.stderr).expect("text");
            assert_eq!(output.status.code(), Some(78), "{said}");
            assert!(said.starts_with(&format!("tinflow: {path}{place}")), "{said}");
            assert_eq!(said.lines().count(), 1, "{said}");
        }
    }
}

#[test]
fn a_check_prints_what_would_hold_and_reads_the_platforms_file_too() {
    let file = File::new("[metrics]\nreaders = 7\n");
    let path = file.0.to_str().expect("a path of text");
    let output = run(&["--check", "--config", path], &[]);
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(output.status.code(), Some(0));
    for line in ["readers = 7", "enabled = false", "level = \"info\"", "buffer = \"64KiB\""] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    // What is printed is a configuration itself.
    let again = File::new(&text);
    let repeated = run(&["--check", "--config", again.0.to_str().expect("a path of text")], &[]);
    assert_eq!(String::from_utf8(repeated.stdout).expect("text"), text);

    let address = "127.0.0.1:9".parse().expect("an address");
    let (good, bad) = (File::new(&config(address, address, "null")), File::new("{}"));
    let with = |platform: &File| run(&["--check"], &[("LB_CONFIG", platform.0.to_str().expect("text"))]);
    assert!(String::from_utf8(with(&good).stdout).expect("text").contains("can be used: listen 127.0.0.1:9"));
    assert_eq!(with(&bad).status.code(), Some(78));
}

#[test]
fn without_a_product_configuration_the_words_on_call_are_as_ever() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("");
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    await_that("it says so", || said.text() == "tinflow: told to stop\n");
}

// What a writer has got to as the signal comes: the file is cut, and later whole.
#[test]
fn a_reload_takes_a_whole_file_or_nothing_of_it() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let whole = metrics(at, "readers = 3\n") + "[log]\nlevel = \"info\"\n";
    let file = File::new(&whole);
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    file.write(&whole.replace("\"info\"", "\"deb"));
    sidecar.signal("-HUP");
    await_that("the cut file is refused", || {
        said.count("reload failed, the old product configuration stays") == 1
    });
    assert_eq!(ask(&sidecar), 200);
    assert_eq!(said.count("debug:"), 0, "half of a file was taken in");
    file.write(&whole.replace("\"info\"", "\"debug\"").replace("readers = 3", "readers = 2"));
    sidecar.signal("-HUP");
    let taken = "product configuration reloaded: log.level, metrics.readers changed\n";
    await_that("the whole file is taken in", || said.count(taken) == 1);
    assert_eq!(ask(&sidecar), 200);
    await_that("each line of a request has its id", || said.count("debug: answered id=\"9b1f03aa\"") == 1);
    let other = unused_address();
    file.write(&whole.replace(&at.to_string(), &other.to_string()));
    sidecar.signal("-HUP");
    let waits = "reloaded: log.level, metrics.readers changed; metrics.address waits for a restart\n";
    await_that("what waits is named", || said.count(waits) == 1);
    assert!(page(at, "/metrics").contains("tinflow_requests_total"), "the old address stays");
}

#[test]
fn ten_signals_in_a_burst_cost_no_answer() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("[log]\nlevel = \"warn\"\n");
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    thread::scope(|scope| {
        scope.spawn(|| (0..10).for_each(|_| sidecar.signal("-HUP")));
        for _ in 0..50 {
            assert_eq!(ask(&sidecar), 200);
        }
    });
    file.write("[log]\nlevel = \"info\"\n");
    sidecar.signal("-HUP");
    await_that("the last one is followed", || said.count("reloaded: log.level changed") == 1);
}

#[test]
fn lines_are_json_where_that_is_configured() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("[log]\nformat = \"json\"\ntargets = { \"tinflow::request\" = \"debug\" }\n");
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    await_that("the last line is there", || said.count("told to stop") == 1);
    let lines: Vec<serde_json::Value> =
        said.text().lines().map(|line| serde_json::from_str(line).expect(line)).collect();
    let of_request: Vec<_> = lines.iter().filter(|l| l["target"] == "tinflow::request").collect();
    let words: Vec<_> = of_request.iter().map(|l| l["message"].as_str().expect("words")).collect();
    assert_eq!(words, ["taken", "sent", "attempt ended", "answered"]);
    assert!(of_request.iter().all(|l| l["id"] == "9b1f03aa" && l["level"] == "DEBUG"));
    assert_eq!(lines.last().expect("a line")["message"], "told to stop");
}

// Nobody reads the pipe: four lines a request fill it long before the requests are through.
#[test]
fn standard_error_that_takes_nothing_costs_lines_and_no_answer() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let file = File::new("[log]\nlevel = \"debug\"\nbuffer = \"1KiB\"\n");
    let mut sidecar = start_piped("", &discovery, &endpoint, &file.0);
    for _ in 0..1000 {
        assert_eq!(ask(&sidecar), 200);
    }
    let mut pipe = sidecar.process.stderr.take().expect("it is a pipe");
    // Its capacity is 64 KiB; the rest of 1,000 requests' lines is gone. Room makes it speak again, with the count.
    pipe.read_exact(&mut vec![0; 48 << 10]).expect("it was filled");
    assert_eq!(ask(&sidecar), 200);
    sidecar.terminate();
    let mut rest = String::new();
    pipe.read_to_string(&mut rest).expect("text until it ends");
    assert!(rest.contains("lines dropped, standard error did not take them\n"), "{rest}");
    assert!(rest.ends_with("tinflow: told to stop\n"), "{rest}");
    assert!(rest.lines().skip(1).all(|line| line.starts_with("tinflow: ")), "a line is not whole: {rest}");
}

#[test]
fn metrics_count_what_happened_and_a_reload_in_between_loses_nothing() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|message| match message.header("x-fail") {
        Some(_) => Reply::Answer(500, "", Vec::new()),
        None => served(),
    });
    let at = unused_address();
    let file = File::new(&metrics(at, ""));
    let (sidecar, said) = start(&discovery, &endpoint, &file);
    for _ in 0..20 {
        assert_eq!(ask(&sidecar), 200);
    }
    assert_eq!(sidecar.ask(&request("book", "X-Fail: 1\r\n", "{}")).expect("an answer").status(), 502);
    thread::scope(|scope| {
        scope.spawn(|| (0..5).for_each(|_| sidecar.signal("-HUP")));
        for _ in 0..20 {
            assert!(page(at, "/metrics").starts_with("HTTP/1.1 200 OK\r\n"));
        }
    });
    await_that("a reload was made", || said.count("product configuration reloaded: nothing changed") >= 1);
    let text = page(at, "/metrics");
    for line in [
        "tinflow_requests_total{class=\"look\",outcome=\"served\"} 20",
        "tinflow_requests_total{class=\"book\",outcome=\"failed\"} 1",
        "tinflow_attempts_total{outcome=\"served\"} 20",
        "tinflow_attempts_total{outcome=\"error\"} 1",
        "tinflow_request_duration_seconds_count{class=\"look\"} 20",
        "tinflow_given_up_total{reason=\"failing\"} 1",
        "tinflow_endpoints{state=\"ready\"} 1",
        "tinflow_open_requests 0",
        "tinflow_circuits_open 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert!(!text.contains("9b1f03aa"), "an id is no label");
    assert!(page(at, "/else").starts_with("HTTP/1.1 404 "));
}

#[test]
fn readers_that_say_nothing_hold_up_no_request() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let file = File::new(&metrics(at, "readers = 2\ntimeout = \"600s\"\n"));
    let (sidecar, _said) = start(&discovery, &endpoint, &file);
    let stuck: Vec<_> = (0..2).map(|_| TcpStream::connect(at).expect("it accepts")).collect();
    await_that("both are in", || page(at, "/metrics").is_empty());
    assert_eq!(ask(&sidecar), 200);
    drop(stuck);
    await_that("there is room again", || page(at, "/metrics").contains("tinflow_requests_total"));
}

#[test]
fn an_address_in_use_ends_the_start() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = holder.local_addr().expect("an address");
    let file = File::new(&metrics(at, ""));
    let platform = File::new(&config(unused_address(), unused_address(), "null"));
    let output = run(
        &["--config", file.0.to_str().expect("text")],
        &[("LB_CONFIG", platform.0.to_str().expect("text"))],
    );
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(69), "{said}");
    assert!(said.starts_with(&format!("tinflow: cannot listen on metrics.address {at}: ")), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}

/// A free address for datagrams.
fn unused_datagrams() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a free port")
}

fn member(listen: SocketAddr, seed: SocketAddr, page: SocketAddr) -> File {
    let fleet = format!("[fleet]\nenabled = true\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\n");
    File::new(&metrics(page, &fleet))
}

/// Datagram sockets that a process holds.
fn datagram_sockets(process: u32) -> usize {
    let table = std::fs::read_to_string("/proc/net/udp").expect("it is there");
    let inodes: Vec<String> = table
        .lines()
        .skip(1)
        .filter_map(|l| Some(format!("socket:[{}]", l.split_whitespace().nth(9)?)))
        .collect();
    let held = std::fs::read_dir(format!("/proc/{process}/fd")).expect("it runs").flatten();
    let held = held.filter_map(|fd| std::fs::read_link(fd.path()).ok()?.into_os_string().into_string().ok());
    held.filter(|socket| inodes.contains(socket)).count()
}

#[test]
fn members_find_each_other_and_one_that_stops_is_gone_at_once() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let [one, two] = [unused_datagrams(), unused_datagrams()];
    let pages = [unused_address(), unused_address()];
    let files = [member(one, two, pages[0]), member(two, one, pages[1])];
    let (first, _said) = start_named("one", &discovery, &endpoint, &files[0]);
    let (second, _said) = start_named("two", &discovery, &endpoint, &files[1]);
    for (at, other) in [(pages[0], "two"), (pages[1], "one")] {
        await_that("the other is known", || {
            page(at, "/fleet").contains(&format!("\"name\": \"{other}\",\n      \"zone\""))
        });
        await_that("it is counted", || page(at, "/metrics").contains("tinflow_fleet_members 1"));
    }
    assert_eq!((ask(&first), ask(&second)), (200, 200));
    assert_eq!(datagram_sockets(first.process.id()), 1);
    second.terminate();
    await_that("it has left", || page(pages[0], "/metrics").contains("tinflow_fleet_members 0"));
    assert_eq!(ask(&first), 200);
}

#[test]
fn without_a_fleet_there_is_neither_socket_nor_page() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| served());
    let at = unused_address();
    let file = File::new(&metrics(at, "[fleet]\nenabled = false\n"));
    let (sidecar, _said) = start(&discovery, &endpoint, &file);
    assert_eq!(ask(&sidecar), 200);
    assert!(page(at, "/fleet").starts_with("HTTP/1.1 404 "));
    assert!(!page(at, "/metrics").contains("fleet"));
    assert_eq!(datagram_sockets(sidecar.process.id()), 0);
}

#[test]
fn a_fleet_without_a_name_or_with_a_taken_address_ends_the_start() {
    let holder = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let at = holder.local_addr().expect("an address");
    let file = File::new(&format!("[fleet]\nenabled = true\nlisten = \"{at}\"\n"));
    let platform = File::new(&config(unused_address(), unused_address(), "null"));
    let paths = [&file, &platform].map(|f| f.0.to_str().expect("text").to_owned());
    for (name, code, words) in [
        ("a", 69, format!("tinflow: cannot listen on fleet.listen {at}: ")),
        ("", 78, "tinflow: fleet.enabled needs a name".to_owned()),
    ] {
        let output = run(&["--config", &paths[0]], &[("LB_CONFIG", &paths[1]), ("LB_NAME", name)]);
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(code), "{said}");
        assert!(said.starts_with(&words) && said.lines().count() == 1, "{said}");
    }
}
