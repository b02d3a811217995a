//! Starts the parts of a run.

use super::mix::starts_with_old;
use super::running_fleet::{RunningFleet, Sidecar};
use super::{FLEET, Launch, METRICS, RunError, STATE, Tasks};
use crate::affinity_dumps::{AFFINITY_SECTION, poll_dumps};
use crate::agent::Agent;
use crate::byzantine_member::run_byzantine_member;
use crate::catalogue::Catalogue;
use crate::coordinators::{Coordinators, Environment};
use crate::datagrams::DatagramFaults;
use crate::experiment::{Carried, Experiment, FaultKind, Variant, Version};
use crate::health_pages::TrueHealth;
use crate::member_addresses::MemberAddresses;
use crate::net::{Clock, Net};
use crate::observer::poll_connectivity;
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

/// A host of the loopback range, by purpose, distinct for each run.
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

/// Starts the parts of a run; their tasks end with `tasks`.
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
    let io_error = |what: &str| {
        let message = what.to_owned();
        move |e| RunError::Io(message, e)
    };
    let (clock, record) = (Clock::default(), record.clone());
    let (net, agent_mode) = (Net::new(&experiment.network), watch::channel(Mood::Well).0);
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
    let (datagrams, lying) = (
        watch::channel(DatagramFaults::default()).0,
        watch::channel(false).0,
    );
    let byzantine_member = experiment
        .fault
        .iter()
        .find(|fault| fault.kind == FaultKind::MemberLies);
    // Only variants that configure a fleet get its sockets.
    let member_addresses = match variant.config.contains(FLEET) {
        true => {
            let mut zones: Vec<usize> = plan.sidecars.iter().map(|spec| spec.zone).collect();
            // The last address is reserved for a Byzantine member.
            zones.push(byzantine_member.and_then(|fault| fault.zone).unwrap_or(0));
            let hosts = |sidecar| (host(3, sidecar), host(4, sidecar));
            let opened = MemberAddresses::open(&zones, hosts, &net, &datagrams.subscribe()).await;
            let (fronts, handles) = opened.map_err(io_error("no socket between sidecars"))?;
            tasks.0.extend(handles);
            if let Some(zone) = byzantine_member.map(|_| zones[plan.sidecars.len()]) {
                let others = fronts.addresses[..plan.sidecars.len()]
                    .iter()
                    .map(|a| a.public)
                    .collect();
                let servers = plan.servers.iter().map(|s| s.name.clone()).collect();
                let section = fronts.member_section(plan.sidecars.len());
                tasks.spawn(run_byzantine_member(
                    section,
                    site::ZONES[zone],
                    servers,
                    others,
                    lying.subscribe(),
                ));
            }
            Some(fronts)
        }
        false => None,
    };
    let (mut sidecars, mut pages, mut reserved) = (Vec::new(), Vec::new(), Vec::new());
    for (sidecar, sidecar_spec) in plan.sidecars.iter().enumerate() {
        let mut addresses = Vec::new();
        for server in 0..plan.servers.len() {
            let listener = servers.listener(host(0, server), &net, sidecar, server);
            let (address, task) = listener.map_err(io_error("no socket for a server"))?;
            addresses.push(address);
            tasks.0.push(task);
        }
        let agent = Agent::new(
            Arc::clone(plan),
            clock.clone(),
            record.clone(),
            sidecar,
            Arc::new(addresses),
            (agent_mode.subscribe(), catalogue.clone()),
        );
        let (discovery, task) = agent
            .listen(host(1, sidecar))
            .map_err(io_error("no socket for an agent"))?;
        tasks.0.push(task);
        let reserved_address =
            Reserved::on(host(2, sidecar)).map_err(io_error("no address for a sidecar"))?;
        let listen = reserved_address.address();
        reserved.push(reserved_address);
        let platform_config = PlatformConfig::new(
            (sidecar, plan.sidecars.len()),
            sidecar_spec.zone,
            listen,
            discovery,
            agent.cached_list(),
        );
        sidecars.push(match launch {
            Launch::Program(launch_options) => {
                let mut options = launch_options.clone();
                options.program = variant.program.clone().unwrap_or(options.program);
                let program = options.program.clone();
                let mut variant = variant.clone();
                let reserved_pages = Reserved::on(host(5, sidecar))
                    .map_err(io_error("no address for a sidecar's pages"))?;
                let metrics = reserved_pages.address();
                reserved.push(reserved_pages);
                pages.push(metrics);
                let section = member_addresses
                    .as_ref()
                    .map(|f| f.section_text(sidecar, sidecar_spec.clock_offset_ms));
                // Nothing remains of an earlier run, but the state of earlier incarnations in this
                // one does.
                let state = folder.join(format!("n{sidecar}-state"));
                remove_directory(&state).map_err(io_error("cannot empty a sidecar's state"))?;
                let fill_placeholders = |config: &str| {
                    let config = config.replace(METRICS, &metrics.to_string());
                    let config = config.replace(STATE, &state.display().to_string());
                    section
                        .as_ref()
                        .map_or(config.clone(), |section| config.replace(FLEET, section))
                };
                let template = std::mem::take(&mut variant.config);
                variant.config = fill_placeholders(&template);
                let needs_health_pages =
                    variant.windows == Carried::Asked && !template.contains(METRICS);
                if needs_health_pages {
                    let listener = tokio::net::TcpListener::bind(metrics).await;
                    let listener = listener.map_err(io_error("no socket for a sidecar's pages"))?;
                    let (plan, platform) = (Arc::clone(plan), Arc::clone(&platform));
                    let true_health = TrueHealth {
                        plan,
                        clock: clock.clone(),
                        servers: Arc::clone(&servers),
                        platform,
                    };
                    tasks.spawn(true_health.serve(sidecar, listener));
                }
                if template.contains(METRICS) && template.contains(AFFINITY_SECTION) {
                    let context = (clock.clone(), record.clone());
                    tasks.spawn(poll_dumps(
                        sidecar,
                        metrics,
                        Arc::clone(plan),
                        context.0,
                        context.1,
                    ));
                }
                if template.contains(METRICS) {
                    tasks.spawn(poll_connectivity(
                        sidecar,
                        metrics,
                        clock.clone(),
                        record.clone(),
                    ));
                }
                let seed = plan.seed.wrapping_add(sidecar as u64);
                let context = (clock.clone(), record.clone());
                let supervised =
                    Supervised::new(platform_config, options, &variant, folder, seed, context);
                let mut supervised =
                    supervised.map_err(io_error("cannot write a sidecar's files"))?;
                if let Some(mix) = &variant.mix {
                    let program = mix
                        .program
                        .clone()
                        .ok_or_else(|| RunError::Unbuilt(mix.revision.clone()))?;
                    let config = fill_placeholders(mix.config.as_deref().unwrap_or(&template));
                    let prepared = supervised.add_old_release(program, &config, folder);
                    prepared.map_err(io_error("cannot write a sidecar's files"))?;
                    if starts_with_old(mix, plan, sidecar) {
                        supervised.switch_release(Version::Old);
                    }
                }
                let start_error = || format!("cannot start {}", program.display());
                supervised
                    .start()
                    .map_err(|e| RunError::Io(start_error(), e))?;
                Sidecar::Process(listen, Box::new(Mutex::new(supervised)))
            }
            Launch::InProcess(in_process) => {
                tasks.spawn(in_process(platform_config));
                Sidecar::Task(listen)
            }
        });
    }
    for (number, sidecar) in sidecars.iter().enumerate() {
        if let Sidecar::Process(_, process) = sidecar {
            process
                .lock()
                .await
                .wait_until_ready()
                .await
                .map_err(|what| RunError::Start(number, what))?;
        }
    }
    let coordinators = match (&experiment.coordinators, launch) {
        (Some(coordinator_settings), Launch::Program(launch_options))
            if variant.windows == Carried::Asked =>
        {
            let listener = tokio::net::TcpListener::bind((host(8, 0), 0)).await;
            let listener = listener.map_err(io_error("no socket for the platform"))?;
            let at = listener
                .local_addr()
                .map_err(io_error("no address for the platform"))?;
            tasks.spawn(Arc::clone(&platform).listen(listener));
            let mut bringing = launch_options.clone();
            bringing.program = bringing.program.with_file_name("coordinator");
            let environment = Environment {
                net: &net,
                platform: (Arc::clone(&platform), at),
                sidecars: &pages,
                host,
                folder,
            };
            let context = (plan, &clock, &record);
            let started =
                Coordinators::start(coordinator_settings, &bringing, environment, context).await;
            let (coordinators, handles) =
                started.map_err(io_error("cannot start the coordinators"))?;
            tasks.0.extend(handles);
            coordinators.ready().await.map_err(RunError::Coordinators)?;
            Some(coordinators)
        }
        _ => None,
    };
    let uses_affinity =
        variant.config.contains(METRICS) && variant.config.contains(AFFINITY_SECTION);
    Ok(RunningFleet {
        plan: Arc::clone(plan),
        affinity_pages: uses_affinity.then_some(pages),
        drain_queries: Mutex::default(),
        coordinators,
        clock,
        record,
        net,
        servers,
        platform,
        agent_mode,
        datagrams,
        lying,
        member_addresses,
        sidecars,
        _reserved: reserved,
        pending_restarts: Mutex::default(),
    })
}

/// Removes a directory, if it exists.
fn remove_directory(directory: &Path) -> io::Result<()> {
    match std::fs::remove_dir_all(directory) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
