//! One instance on the simulator's protocol: its names, its events, and the actions it writes.

use super::error::LineError;
use super::line::Line;
use crate::api::*;
use crate::balancer::Balancer;
use crate::settings::{self, DecodedSettings, NameTable};
use base64::{Engine, engine::general_purpose::STANDARD};
use std::collections::HashMap;
use std::fmt::Write as _;

/// An entry of a catalog, with names as text.
pub struct CatalogEntry {
    endpoint: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: u64,
    status: EndpointStatus,
    size: f64,
    started: Option<Micros>,
}

impl CatalogEntry {
    pub fn read(line: &Line) -> Result<Self, LineError> {
        let status = match line.required("Status")? {
            "1" => EndpointStatus::Ready,
            "2" => EndpointStatus::Draining,
            "0" => EndpointStatus::Removed,
            other => {
                return Err(LineError::UnknownValue {
                    message: "m".to_owned(),
                    field: "Status",
                    value: other.to_owned(),
                });
            }
        };
        Ok(Self {
            endpoint: line.required("Endpoint")?.to_owned(),
            zone: line.find("Campus").map(str::to_owned),
            kind: line.find("Model").map(str::to_owned),
            cell: line.optional("Group")?.unwrap_or(0),
            status,
            size: line.optional("Size")?.unwrap_or(1.0),
            started: line.optional("ReadyAtUs")?.filter(|at| *at != 0),
        })
    }
}

pub struct Instance {
    pub balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: NameTable,
    kinds: NameTable,
    endpoints: NameTable,
}

impl Instance {
    pub fn start(line: &Line) -> Result<Self, LineError> {
        let seed: i128 = line.get("RandomSeed")?;
        let decoded = settings::decode(line.text("Conf")?)?;
        let DecodedSettings {
            settings,
            classes,
            tenants,
            zones,
            ..
        } = decoded;
        let balancer = Balancer::new(settings, seed as u64)?;
        Ok(Self {
            balancer,
            classes,
            tenants,
            zones,
            kinds: NameTable::default(),
            endpoints: NameTable::default(),
        })
    }

    /// Reads the event of a line. Returns `None` if it does not concern this instance.
    pub fn event(
        &mut self,
        line: &Line,
        catalogs: &HashMap<u64, Vec<CatalogEntry>>,
    ) -> Result<Option<Event>, LineError> {
        Ok(Some(match line.name {
            "endpoints" => {
                line.get::<i64>("Epoch")?;
                let kind: u8 = line.get("Kind")?;
                if kind == 0 {
                    return Ok(Some(Event::Endpoints(ListUpdate::Failed)));
                }
                let catalog: u64 = line.get("RosterId")?;
                let entries = catalogs
                    .get(&catalog)
                    .ok_or(LineError::UnknownCatalog(catalog))?;
                let list = entries.iter().map(|e| self.listing(e)).collect();
                Event::Endpoints(match kind {
                    1 => ListUpdate::Delta(list),
                    2 => ListUpdate::Cached(list),
                    3 => ListUpdate::Full(list),
                    _ => {
                        return Err(LineError::UnknownValue {
                            message: "endpoints".to_owned(),
                            field: "Kind",
                            value: kind.to_string(),
                        });
                    }
                })
            }
            "demand" => {
                let profile = line.required("Profile")?;
                let class = self.classes.iter().position(|c| c == profile);
                let flags: u64 = line.optional("Flags")?.unwrap_or(0);
                let project = line.find("Project");
                Event::Request(NewRequest {
                    id: line.bounded_integer("Ticket", 52)?,
                    class: class.ok_or_else(|| LineError::UnknownValue {
                        message: "demand".to_owned(),
                        field: "Profile",
                        value: profile.to_owned(),
                    })?,
                    tenant: self
                        .tenants
                        .iter()
                        .position(|t| Some(t.as_str()) == project),
                    key: line.optional("PartitionKey")?,
                    affinity_endpoints: Vec::new(),
                    deadline: line.get("DueUs")?,
                    work: line.optional("WorkHintUs")?.filter(|_| flags & 1 != 0),
                    is_retry: flags & 2 != 0,
                })
            }
            "under_way" => Event::StreamStarted {
                request: line.bounded_integer("Ticket", 52)?,
                attempt: line.get("Go")?,
            },
            "returned" => {
                let request = line.bounded_integer("Ticket", 52)?;
                let (attempt, outcome) = (line.get("Go")?, line.outcome()?);
                let (took, load) = (line.get("TookUs")?, line.load()?);
                let settled = matches!(line.find("Settled"), Some("1"));
                let Some(endpoint) = self.endpoints.lookup(line.required("Endpoint")?) else {
                    return Ok(None);
                };
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    endpoint,
                    outcome,
                    elapsed: took,
                    request_answered: settled,
                    load,
                })
            }
            "health_result" => {
                let (outcome, took, load) = (line.outcome()?, line.get("TookUs")?, line.load()?);
                let Some(endpoint) = self.endpoints.lookup(line.required("Endpoint")?) else {
                    return Ok(None);
                };
                Event::ProbeEnded {
                    endpoint,
                    outcome,
                    elapsed: took,
                    load,
                }
            }
            "withdrawn" => Event::Abandoned(line.bounded_integer("Ticket", 52)?),
            "peer_data" => {
                let text = line.required("Bytes")?;
                let bytes = if text == "-" {
                    Ok(Vec::new())
                } else {
                    STANDARD.decode(text)
                };
                let bytes = bytes?;
                Event::PeerMessage {
                    from: line.get("By")?,
                    bytes,
                }
            }
            "alarm" => Event::Timer(line.bounded_integer("Ctx", 63)?),
            _ => return Ok(None),
        }))
    }

    fn listing(&mut self, entry: &CatalogEntry) -> ListedEndpoint {
        ListedEndpoint {
            endpoint: self.endpoints.id(&entry.endpoint),
            zone: entry.zone.as_deref().map(|z| self.zones.id(z)),
            cell: entry.cell,
            kind: entry.kind.as_deref().map(|k| self.kinds.id(k)),
            status: entry.status,
            size: entry.size,
            started: entry.started,
            alias: 0,
        }
    }

    pub fn write_action(&self, instance: u64, action: &Action, out: &mut String) {
        let name = |e: &usize| self.endpoints.name(*e);
        let id = instance;
        let written = match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                ..
            } => {
                let endpoint = name(endpoint);
                writeln!(
                    out,
                    "hand_off I={id} Ticket={request} Endpoint={endpoint} TimeoutUs={timeout}"
                )
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                writeln!(
                    out,
                    "not_now I={id} Ticket={request} HoldOffUs={retry_after}"
                )
            }
            Action::Fail(request) => writeln!(out, "error I={id} Ticket={request}"),
            Action::Cancel { request, attempt } => {
                writeln!(out, "recall I={id} Ticket={request} Go={attempt}")
            }
            Action::Probe(endpoint) => {
                writeln!(out, "health_check I={id} Endpoint={}", name(endpoint))
            }
            Action::SetTimer { after, token } => {
                writeln!(out, "defer I={id} FromNowUs={after} Ctx={token}")
            }
            Action::Subscribe(on) => writeln!(out, "tail I={id} Active={}", u8::from(*on)),
            Action::FetchList => writeln!(out, "read_list I={id}"),
            Action::CloseIdle(endpoint) => {
                writeln!(out, "free_links I={id} Endpoint={}", name(endpoint))
            }
            Action::SendToPeer { to, bytes } => {
                let to = to.map_or(-1, i64::from);
                let bytes = if bytes.is_empty() {
                    "-".to_owned()
                } else {
                    STANDARD.encode(bytes)
                };
                writeln!(out, "post I={id} Dst={to} Bytes={bytes}")
            }
            // The simulator does not exchange health observations.
            Action::ReportHealth { .. } => Ok(()),
            Action::Log(text) => writeln!(
                out,
                "say_log I={id} Text={}",
                text.replace(['\n', '\r'], " ")
            ),
        };
        written.expect("writing to a string cannot fail");
    }
}
