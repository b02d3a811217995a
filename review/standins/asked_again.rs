//! An update tool asks for one maintenance window a server, loses one answer, and asks again under
//! the same name at the end of its pass. The platform counts how often that server is taken.

mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SERVERS: usize = 280;
const COORDINATORS: usize = 3;

#[derive(Clone)]
struct Server {
    state: &'static str,
    started_ms: u64,
    token: u64,
    windows_of_takes: Vec<u64>,
    returns: usize,
}

type Fleet = Arc<Mutex<BTreeMap<String, Server>>>;

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn answer(stream: &mut std::net::TcpStream, status: u16, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).is_ok()
}

/// The platform of docs/emulator.md, "The platform".
fn platform(fleet: &Fleet, record: &Record) -> SocketAddr {
    let (fleet, record) = (Arc::clone(fleet), record.clone());
    serve(move |mut stream| {
        let mut unread = Vec::new();
        while let Ok(Some(message)) = read_message(&mut stream, &mut unread) {
            let mut servers = lock(&fleet);
            let path = message.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body) = if path == "/servers" {
                let entries: Vec<String> = servers
                    .iter()
                    .map(|(name, s)| {
                        format!(
                            "{{\"name\":\"{name}\",\"zone\":\"z\",\"group\":\"g\",\"weight\":10,\
                             \"started_ms\":{},\"state\":\"{}\",\"in_flight\":0}}",
                            s.started_ms, s.state
                        )
                    })
                    .collect();
                (200, format!("[{}]", entries.join(",")))
            } else {
                let text = message.text();
                let name = member(&text, "server").unwrap_or("").to_owned();
                let token: u64 = member(&text, "token").and_then(|t| t.parse().ok()).unwrap_or(0);
                let window: u64 = member(&text, "window").and_then(|t| t.parse().ok()).unwrap_or(0);
                match servers.get_mut(&name) {
                    None => (404, "{}".to_owned()),
                    Some(server) if token < server.token => {
                        (409, format!("{{\"seen\":{}}}", server.token))
                    }
                    Some(server) => {
                        server.token = token;
                        match (path.as_str(), server.state) {
                            ("/drain", "serving") => server.state = "draining",
                            ("/take", "serving" | "draining") => {
                                server.state = "away";
                                server.windows_of_takes.push(window);
                            }
                            ("/return", "away") => {
                                server.state = "serving";
                                server.started_ms = unix_ms();
                                server.returns += 1;
                            }
                            ("/return" | "/call-back", "draining") => server.state = "serving",
                            _ => {}
                        }
                        record.line(&format!(
                            "platform: {path} {name} by window {window}, token {token}: now {}",
                            server.state
                        ));
                        let body = format!(
                            "{{\"server\":\"{name}\",\"state\":\"{}\",\"started_ms\":{}}}",
                            server.state, server.started_ms
                        );
                        (200, body)
                    }
                }
            };
            drop(servers);
            if !answer(&mut stream, status, &body) {
                return;
            }
        }
    })
}

/// A sidecar's page `GET /fleet/servers`, which tells the truth.
fn sidecar_page(member: String, fleet: &Fleet) -> SocketAddr {
    let fleet = Arc::clone(fleet);
    serve(move |mut stream| {
        let mut unread = Vec::new();
        while let Ok(Some(_)) = read_message(&mut stream, &mut unread) {
            let entries: Vec<String> = lock(&fleet)
                .iter()
                .map(|(name, s)| {
                    let state = if s.state == "away" { "sick" } else { "well" };
                    format!(
                        "{{\"name\":\"{name}\",\"started_ms\":{},\"state\":\"{state}\",\"age_ms\":20}}",
                        s.started_ms
                    )
                })
                .collect();
            let entries = entries.join(",");
            let body = format!("{{\"member\":\"{member}\",\"answers\":true,\"servers\":[{entries}]}}");
            if !answer(&mut stream, 200, &body) {
                return;
            }
        }
    })
}

/// A proxy on the caller's way to a coordinator. It passes requests on; where `loses` is set it
/// closes the connection instead of passing the answer back.
fn proxy(to: Arc<Mutex<SocketAddr>>, loses: bool, record: &Record) -> SocketAddr {
    let record = record.clone();
    serve(move |mut stream| {
        if let Ok(Some(message)) = read_message(&mut stream, &mut Vec::new()) {
            let path = message.first_line.split(' ').nth(1).unwrap_or("/").to_owned();
            let coordinator = *lock(&to);
            let Ok((status, body)) = exchange(coordinator, "POST", &path, &message.text()) else {
                return;
            };
            record.line(&format!("a coordinator answered {status}: {body}"));
            if loses && status == 200 {
                record.line("this answer is lost on its way to the tool");
            } else {
                answer(&mut stream, status, &body);
            }
        }
    })
}

fn main() {
    let record = Record::open();
    let fleet: Fleet = Arc::default();
    for number in 0..SERVERS {
        let server = Server {
            state: "serving",
            started_ms: 0,
            token: 0,
            windows_of_takes: Vec::new(),
            returns: 0,
        };
        lock(&fleet).insert(format!("a{number:03}"), server);
    }
    let platform = platform(&fleet, &record);
    let pages: Vec<String> = (0..2)
        .map(|n| format!("\"{}\"", sidecar_page(format!("n{n}"), &fleet)))
        .collect();
    let at: Vec<SocketAddr> = (0..COORDINATORS)
        .map(|_| SocketAddr::from(([127, 0, 0, 1], free_port())))
        .collect();
    let members: Vec<String> = at.iter().enumerate().map(|(n, a)| format!("c{n} = \"{a}\"\n")).collect();
    let folder = folder();
    for (own, address) in at.iter().enumerate() {
        let data = folder.join(format!("c{own}.data"));
        let config = format!(
            "[coordinator]\nname = \"c{own}\"\nlisten = \"{address}\"\ndata = {data:?}\n\n[coordinators]\n{}\n\
             [platform]\naddress = \"{platform}\"\ntimeout = \"300ms\"\n\n\
             [observations]\nperiod = \"250ms\"\nwarm_after = \"500ms\"\n\n\
             [observations.sidecars]\nz = [{}]\n\n[affinity_drain]\nquiet = \"200ms\"\n\n\
             [disruption_budget]\nkeep = 1000\nmost_away = 64\n",
            members.concat(),
            pages.join(", ")
        );
        let file = folder.join(format!("c{own}.toml"));
        std::fs::write(&file, config).expect("a configuration");
        let mut command = Command::new("target/product/coordinator");
        command.args(["run", "--config"]).arg(&file);
        start(&mut command, &folder.join(format!("c{own}.log")));
    }

    // Ready: all have a vote, one leads and has looked.
    let until = Instant::now() + Duration::from_secs(30);
    let leader = loop {
        let status = |a: &SocketAddr| exchange(*a, "GET", "/status", "").map_or(String::new(), |(_, s)| s);
        let all: Vec<String> = at.iter().map(status).collect();
        let all_vote = all.iter().all(|s| member(s, "voice") == Some("true"));
        let leads = |s: &String| member(s, "looked") == Some("true") && member(s, "acts") == Some("true");
        let servers = |s: &String| member(s, "servers") == Some(&SERVERS.to_string());
        if let Some(n) = all.iter().position(|s| all_vote && leads(s) && servers(s)) {
            break n;
        }
        if Instant::now() > until {
            record.say(&format!("no coordinator was ready within 30 s: {all:?}"));
            finish(COULD_NOT_RUN)
        }
        thread::sleep(Duration::from_millis(100));
    };
    record.line(&format!("coordinator c{leader} leads"));
    let target = Arc::new(Mutex::new(at[leader]));
    let good_way = proxy(Arc::clone(&target), false, &record);
    let way_of_the_first = proxy(Arc::clone(&target), trouble(), &record);

    // The tool asks for a window for each server, one after another, with bodies made once.
    let now = unix_ms();
    let body = |n: usize| {
        format!(
            "{{\"name\":\"kernel-a{n:03}\",\"target\":{{\"servers\":[\"a{n:03}\"]}},\"earliest_ms\":{now},\
             \"latest_ms\":{},\"length_ms\":3000,\"overrun_ms\":1500}}",
            now + 3_600_000
        )
    };
    let mut without_answer = Vec::new();
    for n in 0..SERVERS {
        loop {
            let way = if n == 0 { way_of_the_first } else { good_way };
            match exchange(way, "POST", "/windows", &body(n)) {
                Ok((200, _)) => break,
                Ok((429 | 503, _)) => thread::sleep(Duration::from_millis(100)),
                Ok((status, text)) => {
                    record.say(&format!("kernel-a{n:03} was answered {status}: {text}"));
                    finish(COULD_NOT_RUN)
                }
                Err(error) => {
                    record.line(&format!("tool: no answer for kernel-a{n:03} ({error})"));
                    without_answer.push(n);
                    break;
                }
            }
        }
        if record.now() > 80.0 {
            record.say("the pass did not end in time");
            finish(COULD_NOT_RUN)
        }
    }
    // The pass is over once every server has been away once and is back.
    while !lock(&fleet).values().all(|s| s.returns > 0 && s.state == "serving") {
        if record.now() > 90.0 {
            record.say("the pass did not end in time");
            finish(COULD_NOT_RUN)
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(3));
    record.line("the pass is over: every server was taken and is back");
    for n in &without_answer {
        record.line(&format!("tool: asks again for kernel-a{n:03}, with the same bytes"));
        match exchange(good_way, "POST", "/windows", &body(*n)) {
            Ok((status, text)) => record.say(&format!("kernel-a{n:03}, asked again, was answered {status}: {text}")),
            Err(error) => record.say(&format!("kernel-a{n:03}, asked again, got no answer: {error}")),
        }
    }
    thread::sleep(Duration::from_secs(8));

    let mut broken = false;
    for (name, server) in lock(&fleet).iter() {
        if server.windows_of_takes.len() > 1 {
            broken = true;
            record.say(&format!(
                "{name} was taken out of service {} times, by windows {:?}; one window was asked for",
                server.windows_of_takes.len(),
                server.windows_of_takes
            ));
        }
    }
    record.say(if broken { "BROKEN" } else { "held" });
    finish(if broken { BROKEN } else { HELD })
}
