//! Starts real coordinators with a platform that lists one server.

use serde_json::{Value, json};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpSocket;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_coordinator");
/// Time limit of each wait, generous for a loaded machine; no assertion depends on it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

pub struct Cluster {
    pub addresses: Vec<SocketAddr>,
    /// Sockets that reserve the addresses while coordinators are down.
    _reserved: Vec<TcpSocket>,
    folder: tempfile::TempDir,
    running: Vec<Option<Child>>,
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < until, "{what}: not in {WAIT_LIMIT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the time in an hour, in milliseconds of Unix time.
pub fn in_an_hour_ms() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    (now.as_millis() + 3_600_000).to_string()
}

/// Sends one request. Returns status and content.
pub fn exchange(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, content) = text.split_once("\r\n\r\n")?;
    Some((head.get(9..12)?.parse().ok()?, content.to_owned()))
}

/// Starts a platform that lists one server.
fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let list =
                json!([{"name": "a0", "zone": "z", "group": "g", "weight": 10, "started_ms": 0,
                "state": "serving"}])
                .to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                list.len()
            );
            let _ = stream.write_all((head + &list).as_bytes());
        }
    });
    at
}

/// Reserves a port for a coordinator: a bound socket that does not listen and allows reuse. The
/// system assigns the port to no other process, and the coordinator, which also allows reuse, can
/// listen on it. A port that was only looked up and released could be taken by another process, or
/// still be held by a child process that is just being started.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("it may be bound again");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    socket
}

/// Returns the configuration of a coordinator.
pub fn configuration(folder: &Path, own: usize, at: &[SocketAddr], platform: u16) -> String {
    let data = folder.join(format!("s{own}.data"));
    let mut text = format!(
        "[coordinator]\nname = \"s{own}\"\nlisten = \"{}\"\ndata = {data:?}\n\n",
        at[own]
    );
    text += "[coordinators]\n";
    for (number, at) in at.iter().enumerate() {
        text += &format!("s{number} = \"{at}\"\n");
    }
    text += &format!(
        "\n[platform]\naddress = \"127.0.0.1:{platform}\"\n\n[observations]\nperiod = \"100ms\"\n"
    );
    text + "\n[disruption_budget]\nkeep = 10\nmost_away = 1\n"
}

impl Cluster {
    pub fn start(size: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let kept: Vec<TcpSocket> = (0..size).map(|_| reserve_port()).collect();
        let at: Vec<SocketAddr> = kept
            .iter()
            .map(|k| k.local_addr().expect("an address"))
            .collect();
        let platform = start_platform().port();
        for own in 0..size {
            let file = folder.path().join(format!("s{own}.toml"));
            fs::write(file, configuration(folder.path(), own, &at, platform))
                .expect("it is written");
        }
        let mut cluster = Self {
            addresses: at,
            _reserved: kept,
            folder,
            running: (0..size).map(|_| None).collect(),
        };
        (0..size).for_each(|n| cluster.run(n));
        wait_for("all coordinators have a vote and one leads", || {
            (0..size).all(|n| {
                cluster.status(n)["voters"]
                    .as_array()
                    .is_some_and(|all| all.len() == size)
            }) && cluster
                .current_leader()
                .is_some_and(|n| cluster.is_ready(n))
        });
        cluster
    }

    fn file(&self, coordinator: usize, kind: &str) -> PathBuf {
        self.folder.path().join(format!("s{coordinator}.{kind}"))
    }

    pub fn run(&mut self, coordinator: usize) {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file(coordinator, "log"));
        let mut command = Command::new(PROGRAM);
        command
            .arg("--config")
            .arg(self.file(coordinator, "toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command.stderr(log.expect("a log"));
        self.running[coordinator] = Some(command.spawn().expect("it starts"));
    }

    pub fn status(&self, coordinator: usize) -> Value {
        let content =
            exchange(self.addresses[coordinator], "GET", "/status", "").map(|(_, content)| content);
        content
            .and_then(|text| serde_json::from_str(&text).ok())
            .unwrap_or(Value::Null)
    }

    /// Returns whether it has polled the platform and the fleet and committed the disruption
    /// budget; until then it rejects requests.
    fn is_ready(&self, coordinator: usize) -> bool {
        let status = self.status(coordinator);
        status["looked"] == true && status["holds"].is_boolean()
    }

    pub fn current_leader(&self) -> Option<usize> {
        (0..self.addresses.len()).find(|n| self.status(*n)["acts"] == true)
    }

    pub fn leader(&self) -> usize {
        wait_for("a coordinator leads", || self.current_leader().is_some());
        self.current_leader().expect("it still does")
    }

    pub fn log(&self, coordinator: usize) -> String {
        fs::read_to_string(self.file(coordinator, "log")).unwrap_or_default()
    }

    pub fn kill(&mut self, coordinator: usize) {
        if let Some(mut child) = self.running[coordinator].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM. Returns whether the process exited successfully.
    pub fn stop(&mut self, coordinator: usize) -> bool {
        let Some(mut child) = self.running[coordinator].take() else {
            return false;
        };
        let told = Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status();
        assert!(
            told.is_ok_and(|told| told.success()),
            "the signal could not be sent"
        );
        let mut ended = None;
        wait_for("it ends", || {
            ended = child.try_wait().expect("its state");
            ended.is_some()
        });
        ended.and_then(|ended| ended.code()) == Some(0)
    }

    pub fn remove_disk(&self, coordinator: usize) {
        fs::remove_file(self.file(coordinator, "data")).expect("it is there");
    }

    pub fn truncate_disk(&self, coordinator: usize) {
        let file = OpenOptions::new()
            .write(true)
            .open(self.file(coordinator, "data"))
            .expect("it is there");
        let length = file.metadata().expect("its length").len();
        file.set_len(length / 2).expect("it is torn");
    }

    /// Replaces its data file by something that cannot be opened as one; `unblock_disk` reverts it.
    pub fn block_disk(&self, coordinator: usize) {
        fs::rename(
            self.file(coordinator, "data"),
            self.file(coordinator, "kept"),
        )
        .expect("it is moved");
        fs::create_dir(self.file(coordinator, "data")).expect("a folder in its place");
        File::create(self.file(coordinator, "data").join("x")).expect("which is not empty");
    }

    pub fn unblock_disk(&self, coordinator: usize) {
        fs::remove_dir_all(self.file(coordinator, "data")).expect("it is there");
        fs::rename(
            self.file(coordinator, "kept"),
            self.file(coordinator, "data"),
        )
        .expect("it is moved");
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|n| self.kill(n));
    }
}

/// Returns whether the leader rejects a window for an unlisted server.
pub fn rejects_unlisted_server(cluster: &Cluster, name: &str) -> bool {
    let latest: i64 = in_an_hour_ms().parse().expect("a number");
    let request = json!({"name": name, "target": {"servers": ["b"]}, "earliest_ms": 0, "latest_ms": latest,
        "length_ms": 5});
    let answer = exchange(
        cluster.addresses[cluster.leader()],
        "POST",
        "/windows",
        &request.to_string(),
    );
    answer.is_some_and(|(code, _)| code == 422)
}
