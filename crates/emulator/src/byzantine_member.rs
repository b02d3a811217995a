//! A Byzantine member that reports every server as dead.

use load_balancer_gossip::core::Core;
use load_balancer_gossip::frame::{self, Content, FrameHeader, KIND_OBSERVATION, MessagePart};
use load_balancer_gossip::observation_table::{Observation, ObservedHealth, Process};
use load_balancer_gossip::section::FleetSection;
use load_balancer_gossip::{Micros, hash};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Duration, sleep};

/// Interval of its false reports.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Its name.
const NAME: &str = "liar";

fn now() -> Micros {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Micros::try_from(unix.as_micros()).unwrap_or(0)
}

/// Joins the fleet like any member and, while `is_lying` is set, reports all of `servers` as
/// unhealthy to all of `others`. Runs forever.
pub async fn run_byzantine_member(
    section: FleetSection,
    zone: &'static str,
    servers: Vec<String>,
    others: Vec<SocketAddr>,
    is_lying: watch::Receiver<bool>,
) {
    let Ok(socket) = UdpSocket::bind(section.listen).await else {
        return;
    };
    let started_at = now();
    let mut core = Core::new(
        &section,
        NAME,
        zone,
        started_at.unsigned_abs(),
        1,
        started_at,
    );
    let (mut bytes, mut sequence) = (vec![0; 65_536], 0);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => {
                if let Ok((length, from)) = received {
                    core.handle_datagram(now(), from, &bytes[..length]);
                }
            }
            () = sleep(ROUND_INTERVAL) => core.tick(now()),
        }
        for (to, bytes) in core.take_effects().datagrams {
            let _ = socket.try_send_to(&bytes, to);
        }
        if !*is_lying.borrow() {
            continue;
        }
        let observed_at = now();
        for chunk in servers.chunks(10) {
            let head = FrameHeader {
                cluster: &section.cluster,
                sent_at: observed_at,
                content: Content::Updates,
            };
            let mut frame = frame::begin(&head);
            for server in chunk {
                sequence += 1;
                let observation = Observation {
                    origin: hash(NAME),
                    incarnation: started_at.unsigned_abs(),
                    sequence,
                    zone: hash(zone),
                    seen: observed_at,
                    process: Process {
                        name: hash(server),
                        started: 0,
                    },
                    health: ObservedHealth::Unhealthy,
                };
                if let Ok(bytes) = postcard::to_stdvec(&observation) {
                    frame::try_append(
                        &mut frame,
                        &MessagePart {
                            kind: KIND_OBSERVATION,
                            bytes: &bytes,
                        },
                    );
                }
            }
            for other in &others {
                let _ = socket.try_send_to(&frame, *other);
            }
        }
    }
}
