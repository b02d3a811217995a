//! A member of a fleet on lines of text, without sockets and clock: what an earlier revision's
//! member says and reads. This file is built as an example of the gossip package of a pinned
//! revision, and as a part of today's emulator. The names come from `member_interface`, which is
//! another file for each form of that package.
//!
//! Told, a line each: `start NAME ZONE INCARNATION SEED NOW ADDRESS SEEDS`, `list NOW NAMES`, `tick
//! NOW`, `datagram NOW FROM HEX`, `witness NOW ENDPOINT SERVED`, `carry NOW KIND HEX`, `leave NOW`,
//! `state`. Answered: any of `datagram TO HEX`, `word ENDPOINT REST`, `carried KIND HEX`, `state
//! MEMBERS RECEIVED HEARD DROPPED`, then `.`.

use super::lines::{bytes, hex, read};
use super::member_interface::{self as interface, Core, FleetSection};

/// A member, once it has been started.
#[derive(Default)]
pub struct Session {
    core: Option<Core>,
}

impl Session {
    /// Does what a line says; the lines that come of it.
    ///
    /// # Errors
    /// The line is none of those above.
    pub fn line(&mut self, line: &str) -> Result<Vec<String>, String> {
        let words: Vec<&str> = line.split(' ').collect();
        if let ["start", name, zone, incarnation, seed, now, address, seeds] = words[..] {
            let mut section = FleetSection {
                enabled: true,
                listen: read(address)?,
                ..FleetSection::default()
            };
            section.seeds = seeds
                .split(',')
                .filter(|s| *s != "-")
                .map(read)
                .collect::<Result<_, _>>()?;
            interface::prepare(&mut section);
            let core = Core::new(
                &section,
                name,
                zone,
                read(incarnation)?,
                read(seed)?,
                read(now)?,
            );
            self.core = Some(core);
            return Ok(Vec::new());
        }
        let core = self.core.as_mut().ok_or("not started")?;
        match words[..] {
            ["list", now, names] => interface::set_endpoints(core, read(now)?, names.split(',')),
            ["tick", now] => core.tick(read(now)?),
            ["datagram", now, from, hex] => {
                interface::handle_datagram(core, read(now)?, read(from)?, &bytes(hex)?);
            }
            ["witness", now, endpoint, served] => {
                interface::observe(core, read(now)?, read(endpoint)?, served == "1");
            }
            ["carry", now, kind, hex] => {
                interface::carry(core, read(now)?, read(kind)?, &bytes(hex)?)
            }
            ["leave", now] => core.leave(read(now)?),
            ["state"] => {
                let (received, observations, dropped) = interface::counts(core);
                let dropped: Vec<String> = dropped.iter().map(u64::to_string).collect();
                return Ok(vec![format!(
                    "state {} {received} {observations} {}",
                    core.members(),
                    dropped.join(",")
                )]);
            }
            _ => return Err(format!("cannot read {line:?}")),
        }
        let effects = interface::take_effects(core);
        let mut answers: Vec<String> = interface::carried(&effects)
            .into_iter()
            .map(|(kind, content)| format!("carried {kind} {}", hex(&content)))
            .collect();
        answers.extend(
            interface::datagrams(&effects)
                .iter()
                .map(|(to, bytes)| format!("datagram {to} {}", hex(bytes))),
        );
        answers.extend(
            interface::ejections(&effects)
                .into_iter()
                .map(|(endpoint, status)| format!("word {endpoint} {status}")),
        );
        Ok(answers)
    }
}
