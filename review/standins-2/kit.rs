//! What the cases share: a record, endpoints, a discovery agent, clients, and sidecar processes.
//! Standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of a run: one line an event, with the time since the start in milliseconds.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}"))));
        Arc::new(Self { file, start: Instant::now() })
    }

    pub fn since(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let at = self.since(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what was started, and the run: the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    if let Ok(started) = STARTED.lock() {
        started.iter().for_each(|process| signal(*process, SIGKILL));
    }
    std::process::exit(2)
}

pub fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of random numbers (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from).max(1)
    }
}

/// An HTTP message.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-correlation-id").unwrap_or("-")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection was closed or reset.
    Closed,
    /// The time was over.
    TimedOut,
}

/// A connection on which messages are read.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, ms(1000)).ok().map(Self::new)
    }

    pub fn send(&mut self, text: &[u8]) -> bool {
        self.stream.write_all(text).is_ok()
    }

    /// Reads the next whole message.
    pub fn read(&mut self, until: Instant) -> Result<Message, NoMessage> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(message);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoMessage::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(left.max(ms(1))));
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(NoMessage::Closed),
                Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(_) => return Err(NoMessage::Closed),
            }
        }
    }

    fn take_message(&mut self) -> Option<Message> {
        let head_end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect();
        let length = headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
            .and_then(|(_, v)| v.parse().ok())
            .unwrap_or(0usize);
        let whole = head_end + 4 + length;
        if self.buffer.len() < whole {
            return None;
        }
        let body = self.buffer[head_end + 4..whole].to_vec();
        self.buffer.drain(..whole);
        Some(Message { first_line, headers, body })
    }
}

/// What an endpoint does with a request that has wholly arrived.
pub enum Deed {
    /// Works for that long, then answers 200.
    Serve(Duration),
    /// Answers nothing until told otherwise.
    Hang,
    /// Answers with these bytes after that time.
    Bytes(Duration, Vec<u8>),
    /// Resets the connection after that time.
    Reset(Duration),
    /// Answers by itself, given the connection, the request and its answer; returns whether the
    /// connection stays.
    Script(Box<dyn FnOnce(&mut Conn, &Message, &[u8]) -> bool + Send>),
}

/// One request that reached an endpoint whole.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub at: Instant,
    pub time_left_us: u64,
    pub key: Option<String>,
    pub class: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;
type Behaviour = dyn Fn(&Message) -> Deed + Send + Sync;

/// A server of the fleet.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    /// Open connections from the sidecar.
    pub connections: Arc<AtomicU64>,
}

/// `480m` or `480000u`, in microseconds.
pub fn time_left_us(text: &str) -> u64 {
    let (number, factor) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.trim_end_matches('u'), 1.0),
    };
    (number.parse::<f64>().unwrap_or(0.0) * factor) as u64
}

impl Endpoint {
    /// Starts a server. It answers `id endpoint` as body, so that an answer shows which request it
    /// belongs to.
    pub fn start(
        name: &str,
        record: &Arc<Record>,
        runs: &Runs,
        behaviour: impl Fn(&Message) -> Deed + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let endpoint = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            hangs: Arc::default(),
            connections: Arc::default(),
        };
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let (this, record, runs) = (endpoint.clone(), Arc::clone(record), Arc::clone(runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record, runs) = (this.clone(), Arc::clone(&record), Arc::clone(&runs));
                let behaviour = Arc::clone(&behaviour);
                thread::spawn(move || {
                    this.connections.fetch_add(1, Ordering::SeqCst);
                    // As accepted, without TCP_NODELAY: small writes may be held back by the system.
                    let conn = Conn { stream, buffer: Vec::new() };
                    this.serve(conn, &record, &runs, &*behaviour);
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    fn serve(&self, mut conn: Conn, record: &Record, runs: &Runs, behaviour: &Behaviour) {
        loop {
            let Ok(request) = conn.read(Instant::now() + ms(15_000)) else { return };
            let at = Instant::now();
            let left = request.header("x-time-left").map_or(0, time_left_us);
            record.line(&format!("run      {} at {} (time left {} ms)", request.id(), self.name, left / 1000));
            runs.lock().unwrap().push(Run {
                id: request.id().to_owned(),
                endpoint: self.name.clone(),
                at,
                time_left_us: left,
                key: request.header("idempotency-key").map(str::to_owned),
                class: request.header("x-service-class").unwrap_or("").to_owned(),
            });
            let answer = |request: &Message| {
                let body = format!("{} {}", request.id(), self.name);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            };
            let (delay, bytes) = match behaviour(&request) {
                Deed::Serve(work) => (work, answer(&request)),
                Deed::Bytes(delay, bytes) => (delay, bytes),
                Deed::Reset(delay) => {
                    thread::sleep(delay);
                    reset(&conn.stream);
                    return;
                }
                Deed::Script(script) => {
                    let text = answer(&request);
                    if script(&mut conn, &request, &text) {
                        continue;
                    }
                    return;
                }
                Deed::Hang => {
                    // Silent until the sidecar closes the connection or the trouble is over.
                    while self.hangs.load(Ordering::SeqCst) {
                        if !matches!(conn.read(Instant::now() + ms(100)), Err(NoMessage::TimedOut)) {
                            return;
                        }
                    }
                    (Duration::ZERO, answer(&request))
                }
            };
            thread::sleep(delay);
            if !conn.send(&bytes) {
                return;
            }
        }
    }

    /// The entry of the list.
    pub fn entry(&self, zone: &str, status: &str, since_ms: u64) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{zone}","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#,
            self.name, self.address
        )
    }
}

/// Resets a connection: the peer gets no orderly end.
pub fn reset(stream: &TcpStream) {
    // A close over unread bytes resets. Without such bytes the linger option does; it needs no
    // more than the C library that the standard library is linked with.
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER of Linux, the same on x86-64 and arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

/// Sends a signal to a process that the test started.
pub fn signal(process: u32, number: i32) {
    unsafe extern "C" {
        fn kill(process: i32, number: i32) -> i32;
    }
    unsafe { kill(process as i32, number) };
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The state of discovery, behind any number of agents.
#[derive(Default)]
pub struct ListState {
    /// Version, and the entries by name with the version of their last change.
    inner: Mutex<ListInner>,
    changed: Condvar,
}

#[derive(Default)]
struct ListInner {
    index: u64,
    entries: Vec<(String, String, u64, bool)>,
    silent: bool,
}

impl ListState {
    /// Sets entries (name, entry as JSON, whether it stays in whole lists).
    pub fn set(&self, entries: &[(String, String, bool)]) {
        let mut inner = self.inner.lock().unwrap();
        inner.index += 1;
        let index = inner.index;
        for (name, json, listed) in entries {
            let entry = (name.clone(), json.clone(), index, *listed);
            match inner.entries.iter_mut().find(|e| e.0 == *name) {
                Some(old) => *old = entry,
                None => inner.entries.push(entry),
            }
        }
        self.changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.inner.lock().unwrap().silent = silent;
        self.changed.notify_all();
    }

    pub fn whole(&self) -> String {
        let inner = self.inner.lock().unwrap();
        Self::text(inner.index, true, inner.entries.iter().filter(|e| e.3).map(|e| &e.1))
    }

    fn text<'a>(index: u64, snapshot: bool, entries: impl Iterator<Item = &'a String>) -> String {
        let entries: Vec<&str> = entries.map(String::as_str).collect();
        format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
    }

    /// The answer to a call, once there is one.
    fn answer(&self, after: Option<u64>, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            if !inner.silent {
                match after {
                    None => return Self::text(inner.index, true, inner.entries.iter().filter(|e| e.3).map(|e| &e.1)),
                    Some(after) if inner.index > after || Instant::now() >= until => {
                        let news = inner.entries.iter().filter(|e| e.2 > after).map(|e| &e.1);
                        return Self::text(inner.index, false, news);
                    }
                    _ => {}
                }
            }
            let left = until.saturating_duration_since(Instant::now()).clamp(ms(1), ms(50));
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

/// An agent of discovery; returns its address.
pub fn start_agent(list: &Arc<ListState>, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let (list, record) = (Arc::clone(list), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, record) = (Arc::clone(&list), Arc::clone(&record));
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(call) = conn.read(Instant::now() + ms(120_000)) {
                    let query = |name: &str| -> Option<u64> {
                        let (_, query) = call.target().split_once('?')?;
                        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
                    };
                    let body = list.answer(query("after"), ms(query("wait_ms").unwrap_or(0)));
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if !conn.send(answer.as_bytes()) {
                        return;
                    }
                    if body.contains("\"name\"") {
                        record.line(&format!("told     {}", body.chars().take(600).collect::<String>()));
                    }
                }
            });
        }
    });
    address
}

/// A class of requests.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
}

/// Classes of a small deployment: one of each effect, with deadlines as the brief has them.
pub const CLASSES: [Class; 4] = [
    Class { name: "statement", effect: "pure", aim_ms: 1000, deadline_ms: 3000, window_ms: 5000 },
    Class { name: "balance", effect: "pure", aim_ms: 500, deadline_ms: 1500, window_ms: 5000 },
    Class { name: "entry", effect: "token", aim_ms: 500, deadline_ms: 2500, window_ms: 5000 },
    Class { name: "close", effect: "side_effect", aim_ms: 800, deadline_ms: 4000, window_ms: 5000 },
];

pub fn class(name: &str) -> &'static Class {
    CLASSES.iter().find(|c| c.name == name).unwrap()
}

/// The settings of a small deployment.
pub fn settings(balancers: usize) -> String {
    let lanes: Vec<String> = CLASSES
        .iter()
        .map(|c| {
            format!(
                r#"{{"AimUs":{},"DeadlineUs":{},"DedupScope":"all","Effect":"{}","KeyTtlUs":{},"LateShare":0.0,"Name":"{}","Streaming":false,"Worth":5.0}}"#,
                c.aim_ms * 1000, c.deadline_ms * 1000, c.effect, c.window_ms * 1000, c.name
            )
        })
        .collect();
    format!(
        r#"{{"Balancers":{balancers},"Clients":{{"MarksRetry":true}},"CountedBy":"request","Discovery":"pushed","Family":"mesh","FamilyInfo":{{"WarmKeys":true}},
"Goal":{{"Whole":0.85,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.05}},"Index":0,"Kinds":["m"],"Lanes":[{}],
"Limits":{{"CpuUsPerRequest":0.0,"CpuUsPerS":8000,"DialTimeoutUs":120000,"IdleCloseUs":15000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"MayCancel":true,"MayDuplicate":true,"MostHeld":20000,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1}},
"OverShareWorth":0.1,"Prices":{{"CrossZone":0.1,"LateFail":0.08,"Probe":0.0029,"Waste":0.2}},"Report":{{"Fields":["err_rps","active"],"Source":"pull"}},
"Rules":{{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdShare":0.31,"DrainGraceUs":300000,"OverloadFactor":2.5,"TipAfterUs":1000000,"WarmWithinUs":7400000}},
"Tenants":[],"TickUs":5000,"Tier":0,"Tiers":["ledger"],"WeightSource":"nominal","Zone":"a","Zones":["a","b","c"]}}"#,
        lanes.join(",")
    )
}

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub seed: u64,
    pub record: Arc<Record>,
}

impl Place {
    /// Takes the folder of the case from the arguments.
    pub fn from_args(case: &str) -> Self {
        let case = PathBuf::from(case);
        let root = case.join("../..").canonicalize().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temp).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| now_unix_ms() % 1_000_000);
        let record = Record::new(&case.join("record.txt"));
        record.line(&format!("begin    trouble {trouble} seed {seed}"));
        Self { root, case, temp, trouble, seed, record }
    }

    /// Writes the verdict, removes the temporary folder, and ends with the status of the case.
    pub fn end(&self, broken: &[String], summary: &str) -> ! {
        for line in broken {
            self.record.line(&format!("BROKEN   {line}"));
            println!("BROKEN {line}");
        }
        let verdict = if broken.is_empty() { "held" } else { "broken" };
        self.record.line(&format!("end      {verdict}: {summary}"));
        println!("{verdict}: {summary}");
        let _ = std::fs::remove_dir_all(&self.temp);
        std::process::exit(i32::from(!broken.is_empty()))
    }
}

/// A sidecar process, started by `run` of the deploy file.
pub struct Sidecar {
    pub address: SocketAddr,
    pub config: PathBuf,
    child: Child,
    record: Arc<Record>,
    ended: bool,
}

/// An address of loopback that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// The limits of a small sidecar.
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Sidecar {
    /// Starts it and waits until `GET /up` answers 200.
    pub fn start(place: &Place, name: &str, agent: SocketAddr, known: &str, limits: &Limits, settings: &str) -> Self {
        let address = free_address();
        let config = place.temp.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{agent}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{known},"settings":{settings}}}"#,
            Rng(place.seed).next(), limits.memory_mb, limits.sockets
        );
        std::fs::write(&config, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let deploy = std::fs::read_to_string(place.root.join("deploy/balancer.toml")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'))
            .unwrap_or_else(|| cannot_run("no run in the deploy file"));
        // A process never outlives the test.
        let die_with_parent = || {
            unsafe extern "C" {
                fn prctl(option: i32, value: u64) -> i32;
            }
            // PR_SET_PDEATHSIG, the same on x86-64 and arm64.
            unsafe { prctl(1, SIGKILL as u64) };
            Ok(())
        };
        let log = File::create(place.temp.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        unsafe { command.pre_exec(die_with_parent) };
        let child = command
            .args(["-c", &format!("ulimit -n {}; {run}", limits.sockets)])
            .current_dir(&place.root)
            .env("LB_NAME", name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", agent.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &place.temp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().push(child.id());
        place.record.line(&format!("sidecar  {name} started, process {}", child.id()));
        let mut sidecar = Self { address, config, child, record: Arc::clone(&place.record), ended: false };
        let until = Instant::now() + ms(10_000);
        while !sidecar.is_up() {
            if Instant::now() > until || sidecar.exit_status().is_some() {
                cannot_run("the sidecar is not ready");
            }
            thread::sleep(ms(10));
        }
        // Another case that runs at the same time may have got the same free port.
        if !sidecar.listens() {
            cannot_run("another program answers at the sidecar's address");
        }
        place.record.line(&format!("sidecar  {name} is up at {address}"));
        sidecar
    }

    /// Whether its own process holds the socket that listens at its address.
    fn listens(&self) -> bool {
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port = format!(":{:04X}", self.address.port());
        let inodes: Vec<String> = sockets
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>())
            .filter(|fields| fields.len() > 9 && fields[1].ends_with(&port) && fields[3] == "0A")
            .map(|fields| format!("socket:[{}]", fields[9]))
            .collect();
        let held = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        held.into_iter()
            .flatten()
            .flatten()
            .filter_map(|entry| std::fs::read_link(entry.path()).ok())
            .any(|link| inodes.iter().any(|inode| link.as_os_str() == inode.as_str()))
    }

    fn is_up(&self) -> bool {
        let Some(mut conn) = Conn::connect(self.address) else { return false };
        conn.send(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            && conn.read(Instant::now() + ms(500)).is_ok_and(|a| a.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, number: i32) {
        self.record.line(&format!("signal   {number} to process {}", self.child.id()));
        signal(self.child.id(), number);
    }

    /// Its exit status, once it has ended.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        }
        self.ended |= status.is_some();
        status
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if !self.ended && self.exit_status().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        }
    }
}

/// The text of a request.
pub fn request(class_name: &str, id: &str, time_left_ms: u64, body: &str) -> String {
    let class = class(class_name);
    let common = format!(
        "Host: api.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class_name}\r\nCookie: obj=7f3a9c21e0b4d655\r\nX-Time-Left: {time_left_ms}m\r\n"
    );
    match class.effect {
        "pure" => format!("GET /api HTTP/1.1\r\n{common}\r\n"),
        "token" => format!(
            "POST /api HTTP/1.1\r\n{common}Idempotency-Key: {id}key\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ),
        _ => format!("POST /api HTTP/1.1\r\n{common}Content-Length: {}\r\n\r\n{body}", body.len()),
    }
}

/// What became of a request, as its client saw it.
#[derive(Debug, Clone)]
pub struct Fate {
    pub id: String,
    pub sent: Instant,
    /// Status, and when the last byte of the answer came.
    pub answered: Option<(u16, Instant)>,
    /// The connection ended without an answer at that time.
    pub closed: Option<Instant>,
}

/// Counts of the fates of requests.
pub fn summary(fates: &[Fate]) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for fate in fates {
        let what = match (&fate.answered, &fate.closed) {
            (Some((status, _)), _) => status.to_string(),
            (None, Some(_)) => "closed".to_owned(),
            (None, None) => "silent".to_owned(),
        };
        *counts.entry(what).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    let counts: Vec<String> = counts.iter().map(|(what, n)| format!("{what}: {n}")).collect();
    format!("{} requests; {}", fates.len(), counts.join(", "))
}

/// Ends the sending side.
pub fn end_sending(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}
