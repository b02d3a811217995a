//! Stand-ins for clients, endpoints and discovery, written from the protocol page, and the process
//! of the sidecar as the deploy file starts it. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case must end within 120 s; the watchdog ends it before that.
const WATCHDOG: Duration = Duration::from_secs(112);

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Processes that this test started, by id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Temporary folders of this test.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this test started.
pub fn signal(name: &str, pid: u32) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .stderr(Stdio::null())
        .status();
}

fn kill_all() {
    for pid in lock(&STARTED).drain(..) {
        signal("KILL", pid);
    }
}

/// Ends the test and all processes that it started, and removes its temporary folders.
pub fn finish(code: i32) -> ! {
    kill_all();
    thread::sleep(Duration::from_millis(100));
    for folder in lock(&FOLDERS).drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Opens the record named by the first argument, and starts the watchdog.
    pub fn open() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| {
            eprintln!("cannot write {path}: {e}");
            std::process::exit(COULD_NOT_RUN)
        });
        let record = Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        };
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(WATCHDOG);
            watched.line("the case did not end in time: it could not run");
            finish(COULD_NOT_RUN)
        });
        let panicked = record.clone();
        std::panic::set_hook(Box::new(move |info| {
            panicked.line(&format!("the test itself failed: {info}"));
            finish(COULD_NOT_RUN)
        }));
        record
    }

    /// Seconds since the start of the test.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:9.4} {text}", self.now());
        let _ = file.flush();
    }

    /// Also prints the line.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Whether the disruption is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A message of HTTP/1.1 with a Content-Length, or none.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.get(9..12);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => unread.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .and_then(|(_, value)| value.parse::<usize>().ok())
        .unwrap_or(0);
    unread.drain(..head_end + 4);
    while unread.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => unread.extend_from_slice(&chunk[..n]),
        }
    }
    let body = unread.drain(..length).collect();
    Ok(Some(Message {
        first_line,
        headers,
        body,
    }))
}

/// Accepts connections on a free loopback port, each served by a thread.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// A port that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// A request that arrived at an endpoint, whole.
#[derive(Clone)]
pub struct Arrival {
    pub at: f64,
    pub endpoint: String,
    pub id: String,
    pub message: Message,
}

/// The arrivals at all endpoints.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// An endpoint that serves each request after `work`. It listens until the test ends.
pub fn endpoint(name: &str, work: Duration, record: &Record, arrivals: &Arrivals) -> SocketAddr {
    let (name, record, arrivals) = (name.to_owned(), record.clone(), Arc::clone(arrivals));
    serve(move |mut stream| {
        let mut unread = Vec::new();
        while let Ok(Some(message)) = read_message(&mut stream, &mut unread) {
            let id = message.header("x-correlation-id").unwrap_or("").to_owned();
            let told = message.header("x-time-left").unwrap_or("").to_owned();
            record.line(&format!("{name} runs {id}: {} (time left {told})", message.first_line));
            lock(&arrivals).push(Arrival {
                at: record.now(),
                endpoint: name.clone(),
                id: id.clone(),
                message,
            });
            thread::sleep(work);
            let body = format!("{id} by {name}");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Discovery's agent: a list that does not change.
pub fn discovery(endpoints: &[(String, SocketAddr)]) -> (SocketAddr, String) {
    let entries: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, (name, address))| {
            let zone = ["zagreb", "split", "rijeka"][n % 3];
            let kind = ["fast", "standard", "small"][n % 3];
            format!(
                "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"{kind}\",\
                 \"group\":{n},\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}}"
            )
        })
        .collect();
    let list = format!(
        "{{\"index\":41,\"snapshot\":true,\"endpoints\":[{}]}}",
        entries.join(",")
    );
    let whole = list.clone();
    let address = serve(move |mut stream| {
        let mut unread = Vec::new();
        while let Ok(Some(message)) = read_message(&mut stream, &mut unread) {
            let body = match message.first_line.split("wait_ms=").nth(1) {
                Some(wait) => {
                    let digits: String = wait.chars().take_while(char::is_ascii_digit).collect();
                    thread::sleep(Duration::from_millis(digits.parse().unwrap_or(0)));
                    "{\"index\":41,\"snapshot\":false,\"endpoints\":[]}".to_owned()
                }
                None => whole.clone(),
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, list)
}

/// The settings of a small deployment: the example of the wire page, for three sidecars.
pub const SETTINGS: &str = r#"{"Balancers":3,"Clients":{"MarksRetry":true},"CountedBy":"request","Discovery":"pushed","Family":"mesh","FamilyInfo":{"WarmKeys":true},"Goal":{"Whole":0.85,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.05},"Index":0,"Kinds":["fast","standard","small"],"Lanes":[{"AimUs":1000000,"DeadlineUs":3000000,"DedupScope":"all","Effect":"pure","KeyTtlUs":5000000,"LateShare":0.0,"Name":"statement","Streaming":false,"Worth":5.0},{"AimUs":500000,"DeadlineUs":1500000,"DedupScope":"all","Effect":"pure","KeyTtlUs":5000000,"LateShare":0.0,"Name":"balance","Streaming":false,"Worth":2.0},{"AimUs":500000,"DeadlineUs":2500000,"DedupScope":"all","Effect":"token","KeyTtlUs":5000000,"LateShare":0.0,"Name":"entry","Streaming":false,"Worth":5.0},{"AimUs":800000,"DeadlineUs":4000000,"DedupScope":"all","Effect":"side_effect","KeyTtlUs":5000000,"LateShare":0.0,"Name":"close","Streaming":false,"Worth":5.0}],"Limits":{"CpuUsPerRequest":0.0,"CpuUsPerS":8000,"DialTimeoutUs":120000,"IdleCloseUs":15000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"MayCancel":true,"MayDuplicate":true,"MostHeld":20000,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1},"OverShareWorth":0.1,"Prices":{"Connection":0.0,"CrossZone":0.1,"Discovery":0.0,"Handshake":0.0,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0029,"Waste":0.2},"Report":{"Fields":["err_rps","active"],"Source":"pull"},"Rules":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdShare":0.31,"DrainGraceUs":300000,"OverloadFactor":2.5,"TipAfterUs":1000000,"WarmWithinUs":7400000},"Tenants":[],"TickUs":5000,"Tier":0,"Tiers":["ledger-servers"],"WeightSource":"nominal","Zone":"split","Zones":["zagreb","split","rijeka"]}"#;

/// A new temporary folder, removed when the test ends.
pub fn folder() -> PathBuf {
    let stamp = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_nanos());
    let path = std::env::temp_dir().join(format!("review-{}-{stamp}", std::process::id()));
    fs::create_dir_all(&path).expect("a temporary folder");
    lock(&FOLDERS).push(path.clone());
    path
}

/// Starts a process and remembers it.
pub fn start(command: &mut Command, log: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    let child = command
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log file"))
        .stderr(log)
        .spawn();
    let child = child.unwrap_or_else(|e| {
        eprintln!("cannot start {command:?}: {e}");
        finish(COULD_NOT_RUN)
    });
    lock(&STARTED).push(child.id());
    child
}

/// A sidecar, started by `run` of the deploy file. The working directory is the project's root.
pub struct Sidecar {
    pub address: SocketAddr,
    pub child: Child,
}

impl Sidecar {
    pub fn start(record: &Record, discovery: SocketAddr, known: &str, sockets: usize) -> Self {
        let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let Some(run) = run else {
            record.say("no `run` in deploy/balancer.toml: start this from the project's root");
            finish(COULD_NOT_RUN)
        };
        let folder = folder();
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\
             \"known\":{known},\"settings\":{SETTINGS}}}"
        );
        let file = folder.join("config.json");
        fs::write(&file, config).expect("the configuration");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &file)
            .env("TMPDIR", &folder);
        let child = start(&mut command, &folder.join("log"));
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let up = b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
            if let Ok(mut stream) = TcpStream::connect(address)
                && stream.write_all(up).is_ok()
                && let Ok(Some(answer)) = read_message(&mut stream, &mut Vec::new())
                && answer.status() == 200
            {
                break;
            }
            if Instant::now() > until {
                record.say("the sidecar was not ready within 30 s");
                finish(COULD_NOT_RUN)
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("the sidecar is ready at {address}"));
        Self {
            address,
            child,
        }
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    stream
}

/// A request of a class in the form of the protocol page.
pub fn request(class: &str, id: &str, time_left_ms: u64, body: &str) -> String {
    let (method, key) = match class {
        "statement" | "balance" => ("GET", String::new()),
        "entry" => ("POST", format!("Idempotency-Key: {id}{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nCookie: obj=7f3a9c21e0b4d655\r\nX-Time-Left: {time_left_ms}m\r\n\
         {key}{length}\r\n{body}"
    )
}

/// A lock with a condition, for stand-ins that wait for changes.
#[derive(Default)]
pub struct Shared<T> {
    pub state: Mutex<T>,
    pub changed: Condvar,
}

/// The value of a member of a flat JSON object, as text without quotes.
pub fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

/// A request with a JSON body over a connection of its own; status and body of the answer.
pub fn exchange(at: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: coordinator\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((answer.status(), answer.text()))
}

/// Counts by name.
pub fn count<T: Ord + Clone>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    items.for_each(|item| *counts.entry(item).or_default() += 1);
    counts
}
