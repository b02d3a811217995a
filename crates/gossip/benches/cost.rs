//! Cost of membership and ejections per member by fleet size: bytes and processor time per second,
//! and memory. Only a few members are real; the benchmark answers for the others, because their
//! memory would not fit on one machine.
//!
//! `cargo bench --profile product -p load-balancer-gossip --bench cost`

use foca::{Codec, Header, Message, PostcardCodec};
use load_balancer_common::process::usage;
use load_balancer_gossip::core::{Core, ObservedEndpoint};
use load_balancer_gossip::frame::{self, Content, FrameHeader};
use load_balancer_gossip::member::Member;
use load_balancer_gossip::observation_table::ObservedHealth;
use load_balancer_gossip::section::FleetSection;
use load_balancer_gossip::{Micros, SECOND};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

const REAL: usize = 20;
const ENDPOINTS: usize = 200;
const EPOCH: Micros = 1_000_000 * SECOND;
/// Simulated seconds that are measured, after as many for warm-up.
const COUNTED: Micros = 20;

fn member(n: usize) -> Member {
    let ip = Ipv4Addr::new(127, 1, (n / 250) as u8, (n % 250 + 1) as u8);
    Member {
        address: SocketAddr::from((ip, 7946)),
        name: format!("sidecar-{n}"),
        zone: ["a", "b", "c"][n % 3].to_owned(),
        incarnation: 1,
    }
}

/// The reply of a simulated member to a ping.
fn answer(bytes: &[u8], now: Micros) -> Option<Vec<u8>> {
    let (head, content) = frame::read(bytes, "linenproxy").ok()?;
    if head.content != Content::Membership {
        return None;
    }
    let header: Header<Member> = PostcardCodec.decode_header(content).ok()?;
    let Message::Ping(number) = header.message else {
        return None;
    };
    let ack = Header {
        src: header.dst,
        src_incarnation: 0,
        dst: header.src,
        message: Message::Ack(number),
    };
    let mut out = frame::begin(&FrameHeader {
        cluster: "linenproxy",
        sent_at: now,
        content: Content::Membership,
    });
    PostcardCodec.encode_header(&ack, &mut out).ok()?;
    Some(out)
}

fn main() {
    println!(
        "members  bytes/s  datagrams/s  us/s  MB/member  (per member; 10 attempts a second, two endpoints of {ENDPOINTS} silent)"
    );
    for members in [60, 300, 1000, 10_000] {
        let memory = usage().resident_bytes.unwrap_or(0);
        let all: Vec<Member> = (0..members).map(member).collect();
        let by_address: HashMap<SocketAddr, usize> = all
            .iter()
            .enumerate()
            .map(|(n, m)| (m.address, n))
            .collect();
        let mut now = EPOCH;
        let mut cores: Vec<Core> = (0..REAL.min(members))
            .map(|n| {
                let section = FleetSection {
                    enabled: true,
                    listen: all[n].address,
                    members: members as u32,
                    ..FleetSection::default()
                };
                let mut core = Core::new(&section, &all[n].name, &all[n].zone, 1, n as u64, now);
                core.add_known_members(
                    now,
                    all.iter().filter(|m| m.address != all[n].address).cloned(),
                );
                let list = |endpoint| ObservedEndpoint {
                    endpoint,
                    name: format!("s-{endpoint}"),
                    started: None,
                    ready: true,
                };
                core.set_endpoints(now, (0..ENDPOINTS).map(list).collect());
                core
            })
            .collect();
        let mut mail: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
        let (mut before, mut spent) = ((0, 0), 0.0);
        for step in 0..2 * COUNTED * 100 {
            now += SECOND / 100;
            let counted = step >= COUNTED * 100;
            if step == COUNTED * 100 {
                before = cores.iter().fold((0, 0), |(b, d), c| {
                    (b + c.counts().sent_bytes, d + c.counts().sent)
                });
            }
            let start = Instant::now();
            for (to, from, bytes) in std::mem::take(&mut mail) {
                cores[to].handle_datagram(now, from, &bytes);
            }
            for (n, core) in cores.iter_mut().enumerate() {
                if core.next() <= now {
                    core.tick(now);
                }
                if step % 10 == n as i64 % 10 {
                    let endpoint = (step as usize * 7 + n) % ENDPOINTS;
                    core.observe(
                        now,
                        endpoint,
                        if endpoint < 2 {
                            ObservedHealth::Unhealthy
                        } else {
                            ObservedHealth::Healthy
                        },
                    );
                }
            }
            if counted {
                spent += start.elapsed().as_secs_f64();
            }
            for n in 0..cores.len() {
                for (to, bytes) in cores[n].take_effects().datagrams {
                    match by_address.get(&to) {
                        Some(to) if *to < cores.len() => mail.push((*to, all[n].address, bytes)),
                        Some(_) => mail.extend(answer(&bytes, now).map(|back| (n, to, back))),
                        None => {}
                    }
                }
            }
        }
        let after = cores.iter().fold((0, 0), |(b, d), c| {
            (b + c.counts().sent_bytes, d + c.counts().sent)
        });
        let each = (cores.len() as i64 * COUNTED) as f64;
        let memory = usage().resident_bytes.unwrap_or(0).saturating_sub(memory) as f64
            / cores.len() as f64
            / 1e6;
        assert!(
            cores.iter().all(|c| c.members() == members - 1),
            "somebody was lost"
        );
        println!(
            "{members:>7} {:>8.0} {:>12.1} {:>5.0} {memory:>10.2}",
            (after.0 - before.0) as f64 / each,
            (after.1 - before.1) as f64 / each,
            spent * 1e6 / each,
        );
    }
}
