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
/// A machine under load takes its time; no assertion depends on how long.
const PATIENCE: Duration = Duration::from_secs(60);

pub struct Cluster {
    pub at: Vec<SocketAddr>,
    /// Their addresses, which stay their own while they are down.
    _kept: Vec<TcpSocket>,
    folder: tempfile::TempDir,
    running: Vec<Option<Child>>,
}

/// Waits for something that must come.
pub fn wait_for(what: &str, mut come: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !come() {
        assert!(Instant::now() < until, "{what}: not in {PATIENCE:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An hour from now, in milliseconds of Unix time.
pub fn soon() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    (now.as_millis() + 3_600_000).to_string()
}

/// Asks once: status and content.
pub fn exchange(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
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

/// A platform that lists one server.
fn platform() -> SocketAddr {
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

/// Keeps a port for a coordinator: a bound socket that does not listen and allows reuse, so that
/// the system gives the port to nobody else and the coordinator, which allows reuse as well, may
/// listen there. One that was noted and let go of would now and then be found in use, by other
/// processes or by one just being started, which still holds all sockets of this one.
fn keep() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("it may be bound again");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    socket
}

/// A coordinator's file.
pub fn text(folder: &Path, own: usize, at: &[SocketAddr], platform: u16) -> String {
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
        let kept: Vec<TcpSocket> = (0..size).map(|_| keep()).collect();
        let at: Vec<SocketAddr> = kept
            .iter()
            .map(|k| k.local_addr().expect("an address"))
            .collect();
        let platform = platform().port();
        for own in 0..size {
            let file = folder.path().join(format!("s{own}.toml"));
            fs::write(file, text(folder.path(), own, &at, platform)).expect("it is written");
        }
        let mut cluster = Self {
            at,
            _kept: kept,
            folder,
            running: (0..size).map(|_| None).collect(),
        };
        (0..size).for_each(|n| cluster.run(n));
        wait_for("all have a voice and one leads", || {
            (0..size).all(|n| {
                cluster.status(n)["voters"]
                    .as_array()
                    .is_some_and(|all| all.len() == size)
            }) && cluster.leads().is_some_and(|n| cluster.ready(n))
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
            exchange(self.at[coordinator], "GET", "/status", "").map(|(_, content)| content);
        content
            .and_then(|text| serde_json::from_str(&text).ok())
            .unwrap_or(Value::Null)
    }

    /// Whether it has looked at servers and fleet, and the agreement is taken in: until then it
    /// says "not yet" to asks.
    fn ready(&self, coordinator: usize) -> bool {
        let status = self.status(coordinator);
        status["looked"] == true && status["holds"].is_boolean()
    }

    pub fn leads(&self) -> Option<usize> {
        (0..self.at.len()).find(|n| self.status(*n)["acts"] == true)
    }

    pub fn leader(&self) -> usize {
        wait_for("one leads", || self.leads().is_some());
        self.leads().expect("it still does")
    }

    pub fn said(&self, coordinator: usize) -> String {
        fs::read_to_string(self.file(coordinator, "log")).unwrap_or_default()
    }

    pub fn kill(&mut self, coordinator: usize) {
        if let Some(mut child) = self.running[coordinator].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells it to stop; whether it ended well.
    pub fn stop(&mut self, coordinator: usize) -> bool {
        let Some(mut child) = self.running[coordinator].take() else {
            return false;
        };
        let told = Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status();
        assert!(told.is_ok_and(|told| told.success()), "it cannot be told");
        let mut ended = None;
        wait_for("it ends", || {
            ended = child.try_wait().expect("its state");
            ended.is_some()
        });
        ended.and_then(|ended| ended.code()) == Some(0)
    }

    pub fn empty(&self, coordinator: usize) {
        fs::remove_file(self.file(coordinator, "data")).expect("it is there");
    }

    pub fn tear(&self, coordinator: usize) {
        let file = OpenOptions::new()
            .write(true)
            .open(self.file(coordinator, "data"))
            .expect("it is there");
        let length = file.metadata().expect("its length").len();
        file.set_len(length / 2).expect("it is torn");
    }

    /// Puts something in the place of its file that no program can open as one, and back.
    pub fn block(&self, coordinator: usize) {
        fs::rename(
            self.file(coordinator, "data"),
            self.file(coordinator, "kept"),
        )
        .expect("it is moved");
        fs::create_dir(self.file(coordinator, "data")).expect("a folder in its place");
        File::create(self.file(coordinator, "data").join("x")).expect("which is not empty");
    }

    pub fn free(&self, coordinator: usize) {
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

/// Whether a window of a server that nobody lists is refused by the leader.
pub fn refused(cluster: &Cluster, name: &str) -> bool {
    let latest: i64 = soon().parse().expect("a number");
    let ask = json!({"name": name, "target": {"servers": ["b"]}, "earliest_ms": 0, "latest_ms": latest,
        "length_ms": 5});
    let answer = exchange(
        cluster.at[cluster.leader()],
        "POST",
        "/windows",
        &ask.to_string(),
    );
    answer.is_some_and(|(code, _)| code == 422)
}
