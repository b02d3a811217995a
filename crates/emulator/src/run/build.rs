//! Starts everything that a run needs.

use super::mix::begins_old;
use super::running_fleet::{RunningFleet, Sidecar};
use super::{FLEET, Launch, METRICS, RunError, STATE, Tasks};
use crate::affinity_dumps::{BINDINGS, follow};
use crate::agent::Agent;
use crate::byzantine_member::lie;
use crate::catalogue::Catalogue;
use crate::coordinators::{Around, Coordinators};
use crate::datagrams::Datagrams;
use crate::experiment::{Carried, Experiment, FaultKind, Variant, Version};
use crate::health_pages::Truth;
use crate::member_addresses::MemberAddresses;
use crate::net::{Clock, Net};
use crate::observer::observe;
use crate::plan::{Mood, Plan};
use crate::platform::Platform;
use crate::record::Record;
use crate::reserved::Reserved;
use crate::servers::Servers;
use crate::site;
use crate::supervisor::{PlatformConfig, Supervised};
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::sync::Arc;
use tokio::sync::{Mutex, watch};

/// Hosts of the loopback range that one run uses, by purpose.
fn host(purpose: u8, number: usize) -> IpAddr {
    let process = std::process::id();
    let low = (number % 250 + 1) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        16 + purpose,
        (process % 250) as u8 + (number / 250) as u8 % 5,
        low,
    ))
}

/// Builds the stage; what runs on it ends with `tasks`.
#[expect(
    clippy::too_many_lines,
    reason = "starts every part of a run in order; to be split by part"
)]
pub(super) async fn build(
    experiment: &Experiment,
    plan: &Arc<Plan>,
    variant: &Variant,
    launch: &Launch,
    folder: &Path,
    record: &Record,
    tasks: &mut Tasks,
) -> Result<RunningFleet, RunError> {
    let io = |what: &str| {
        let what = what.to_owned();
        move |e| RunError::Io(what, e)
    };
    let (clock, record) = (Clock::default(), record.clone());
    let (net, mood) = (Net::new(&experiment.network), watch::channel(Mood::Well).0);
    let servers = Servers::new(
        Arc::clone(plan),
        clock.clone(),
        record.clone(),
        experiment.topology.connections,
    );
    let catalogue = Catalogue::new(plan.directory.clone());
    let platform = Platform::new(
        Arc::clone(plan),
        clock.clone(),
        record.clone(),
        Arc::clone(&servers),
        catalogue.clone(),
    );
    let (datagrams, lies) = (
        watch::channel(Datagrams::default()).0,
        watch::channel(false).0,
    );
    let byzantine_member = experiment
        .fault
        .iter()
        .find(|f| f.kind == FaultKind::MemberLies);
    // Only who asks for a fleet has its sockets.
    let fronts = match variant.config.contains(FLEET) {
        true => {
            let mut zones: Vec<usize> = plan.sidecars.iter().map(|spec| spec.zone).collect();
            // The last one is nobody's but a Byzantine member's.
            zones.push(byzantine_member.and_then(|fault| fault.zone).unwrap_or(0));
            let hosts = |sidecar| (host(3, sidecar), host(4, sidecar));
            let opened = MemberAddresses::open(&zones, hosts, &net, &datagrams.subscribe()).await;
            let (fronts, handles) = opened.map_err(io("no socket between sidecars"))?;
            tasks.0.extend(handles);
            if let Some(zone) = byzantine_member.map(|_| zones[plan.sidecars.len()]) {
                let others = fronts.addresses[..plan.sidecars.len()]
                    .iter()
                    .map(|a| a.front)
                    .collect();
                let servers = plan.servers.iter().map(|s| s.name.clone()).collect();
                let section = fronts.member(plan.sidecars.len());
                tasks.spawn(lie(
                    section,
                    site::ZONES[zone],
                    servers,
                    others,
                    lies.subscribe(),
                ));
            }
            Some(fronts)
        }
        false => None,
    };
    let (mut sidecars, mut pages, mut reserved) = (Vec::new(), Vec::new(), Vec::new());
    for (sidecar, spec) in plan.sidecars.iter().enumerate() {
        let mut addresses = Vec::new();
        for server in 0..plan.servers.len() {
            let listener = servers.listener(host(0, server), &net, sidecar, server);
            let (address, task) = listener.map_err(io("no socket for a server"))?;
            addresses.push(address);
            tasks.0.push(task);
        }
        let agent = Agent::new(
            Arc::clone(plan),
            clock.clone(),
            record.clone(),
            sidecar,
            Arc::new(addresses),
            (mood.subscribe(), catalogue.clone()),
        );
        let (discovery, task) = agent
            .listen(host(1, sidecar))
            .map_err(io("no socket for an agent"))?;
        tasks.0.push(task);
        let kept = Reserved::on(host(2, sidecar)).map_err(io("no address for a sidecar"))?;
        let listen = kept.address();
        reserved.push(kept);
        let told = PlatformConfig::new(
            (sidecar, plan.sidecars.len()),
            spec.zone,
            listen,
            discovery,
            agent.known(),
        );
        sidecars.push(match launch {
            Launch::Program(bringing) => {
                let mut bringing = bringing.clone();
                bringing.program = variant.program.clone().unwrap_or(bringing.program);
                let program = bringing.program.clone();
                let mut variant = variant.clone();
                let kept = Reserved::on(host(5, sidecar))
                    .map_err(io("no address for a sidecar's pages"))?;
                let metrics = kept.address();
                reserved.push(kept);
                pages.push(metrics);
                let section = fronts
                    .as_ref()
                    .map(|f| f.section(sidecar, spec.clock_offset_ms));
                // Nothing of an earlier run, but all of earlier lives in this one.
                let state = folder.join(format!("n{sidecar}-state"));
                emptied(&state).map_err(io("cannot empty a sidecar's state"))?;
                let filled = |config: &str| {
                    let config = config.replace(METRICS, &metrics.to_string());
                    let config = config.replace(STATE, &state.display().to_string());
                    section
                        .as_ref()
                        .map_or(config.clone(), |section| config.replace(FLEET, section))
                };
                let whole = std::mem::take(&mut variant.config);
                variant.config = filled(&whole);
                let asked = variant.windows == Carried::Asked && !whole.contains(METRICS);
                if asked {
                    let listener = tokio::net::TcpListener::bind(metrics).await;
                    let listener = listener.map_err(io("no socket for a sidecar's pages"))?;
                    let (plan, platform) = (Arc::clone(plan), Arc::clone(&platform));
                    let truth = Truth {
                        plan,
                        clock: clock.clone(),
                        servers: Arc::clone(&servers),
                        platform,
                    };
                    tasks.spawn(truth.tell(sidecar, listener));
                }
                if whole.contains(METRICS) && whole.contains(BINDINGS) {
                    let both = (clock.clone(), record.clone());
                    tasks.spawn(follow(sidecar, metrics, Arc::clone(plan), both.0, both.1));
                }
                if whole.contains(METRICS) {
                    tasks.spawn(observe(sidecar, metrics, clock.clone(), record.clone()));
                }
                let seed = plan.seed.wrapping_add(sidecar as u64);
                let both = (clock.clone(), record.clone());
                let supervised = Supervised::new(told, bringing, &variant, folder, seed, both);
                let mut supervised = supervised.map_err(io("cannot write a sidecar's files"))?;
                if let Some(mix) = &variant.mix {
                    let program = mix
                        .program
                        .clone()
                        .ok_or_else(|| RunError::Unbuilt(mix.revision.clone()))?;
                    let config = filled(mix.config.as_deref().unwrap_or(&whole));
                    let beside = supervised.beside(program, &config, folder);
                    beside.map_err(io("cannot write a sidecar's files"))?;
                    if begins_old(mix, plan, sidecar) {
                        supervised.turn(Version::Old);
                    }
                }
                let cannot = || format!("cannot start {}", program.display());
                supervised.start().map_err(|e| RunError::Io(cannot(), e))?;
                Sidecar::Process(listen, Box::new(Mutex::new(supervised)))
            }
            Launch::Within(within) => {
                tasks.spawn(within(told));
                Sidecar::Task(listen)
            }
        });
    }
    for (number, sidecar) in sidecars.iter().enumerate() {
        if let Sidecar::Process(_, process) = sidecar {
            process
                .lock()
                .await
                .ready()
                .await
                .map_err(|what| RunError::Start(number, what))?;
        }
    }
    let coordinators = match (&experiment.coordinators, launch) {
        (Some(asked), Launch::Program(bringing)) if variant.windows == Carried::Asked => {
            let listener = tokio::net::TcpListener::bind((host(8, 0), 0)).await;
            let listener = listener.map_err(io("no socket for the platform"))?;
            let at = listener
                .local_addr()
                .map_err(io("no address for the platform"))?;
            tasks.spawn(Arc::clone(&platform).listen(listener));
            let mut bringing = bringing.clone();
            bringing.program = bringing.program.with_file_name("coordinator");
            let around = Around {
                net: &net,
                platform: (Arc::clone(&platform), at),
                sidecars: &pages,
                host,
                folder,
            };
            let both = (plan, &clock, &record);
            let started = Coordinators::start(asked, &bringing, around, both).await;
            let (coordinators, handles) = started.map_err(io("cannot start the coordinators"))?;
            tasks.0.extend(handles);
            coordinators.ready().await.map_err(RunError::Coordinators)?;
            Some(coordinators)
        }
        _ => None,
    };
    let binds = variant.config.contains(METRICS) && variant.config.contains(BINDINGS);
    Ok(RunningFleet {
        plan: Arc::clone(plan),
        binds: binds.then_some(pages),
        asking: Mutex::default(),
        coordinators,
        clock,
        record,
        net,
        servers,
        platform,
        mood,
        datagrams,
        lies,
        fronts,
        sidecars,
        _reserved: reserved,
        under_way: Mutex::default(),
    })
}

/// Removes a directory, where there is one.
fn emptied(directory: &Path) -> io::Result<()> {
    match std::fs::remove_dir_all(directory) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
