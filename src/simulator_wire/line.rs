//! A line of the simulator's wire: a message name and fields.

use super::error::LineError;
use crate::api::{Load, Outcome};
use std::str::FromStr;

/// One line, taken apart as far as its message name.
pub struct Line<'a> {
    /// Its message name.
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Self { name, rest }
    }
    pub fn find(&self, field: &str) -> Option<&'a str> {
        self.rest
            .split(' ')
            .find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }
    /// The value of a field of type text, which runs to the end of the line.
    pub fn text(&self, field: &str) -> Result<&'a str, LineError> {
        let mut rest = self.rest;
        loop {
            if let Some(value) = rest.strip_prefix(field).and_then(|r| r.strip_prefix('=')) {
                return Ok(value);
            }
            rest = rest.split_once(' ').ok_or_else(|| self.missing(field))?.1;
        }
    }
    fn missing(&self, field: &str) -> LineError {
        LineError::MissingField {
            message: self.name.to_owned(),
            field: field.to_owned(),
        }
    }
    pub fn need(&self, field: &str) -> Result<&'a str, LineError> {
        self.find(field).ok_or_else(|| self.missing(field))
    }
    pub fn may<T: FromStr>(&self, field: &str) -> Result<Option<T>, LineError> {
        self.find(field)
            .map(|v| {
                v.parse().map_err(|_| LineError::NotANumber {
                    message: self.name.to_owned(),
                    field: field.to_owned(),
                })
            })
            .transpose()
    }
    pub fn get<T: FromStr>(&self, field: &str) -> Result<T, LineError> {
        self.may(field)?.ok_or_else(|| self.missing(field))
    }
    pub fn bounded(&self, field: &str, bits: u32) -> Result<u64, LineError> {
        let value: u64 = self.get(field)?;
        if value >> bits == 0 {
            Ok(value)
        } else {
            Err(LineError::TooLarge {
                message: self.name.to_owned(),
                field: field.to_owned(),
            })
        }
    }
    pub fn load(&self) -> Result<Load, LineError> {
        let mut load = Load::default();
        for pair in self
            .find("Load")
            .unwrap_or("")
            .split(',')
            .filter(|p| !p.is_empty())
        {
            let (name, value) = pair.split_once(':').ok_or(LineError::LoadNotPairs)?;
            let slot = match name {
                "active" => &mut load.active,
                "waiting" => &mut load.waiting,
                "cpu" => &mut load.cpu,
                "avg_ms" => &mut load.avg_ms,
                "rps" => &mut load.rps,
                "err_rps" => &mut load.err_rps,
                _ => continue,
            };
            let value: f64 = value
                .parse()
                .map_err(|_| LineError::LoadNotANumber(name.to_owned()))?;
            *slot = Some(value).filter(|v| v.is_finite());
        }
        Ok(load)
    }
    pub fn outcome(&self) -> Result<Outcome, LineError> {
        Ok(match self.need("Disposition")? {
            "OK" => Outcome::Ok,
            "INTERNAL" => Outcome::Error,
            "RESOURCE_EXHAUSTED" => Outcome::Rejected,
            "DEADLINE_EXCEEDED" => Outcome::TimedOut,
            "UNAVAILABLE" => Outcome::ConnectFailed,
            "ABORTED" => Outcome::Reset,
            "CANCELLED" => Outcome::Cancelled,
            "TOO_LATE" => Outcome::NotSent,
            other => {
                return Err(LineError::UnknownValue {
                    message: self.name.to_owned(),
                    field: "Disposition",
                    value: other.to_owned(),
                });
            }
        })
    }
}
